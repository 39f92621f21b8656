package router_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/router"
)

const short = 100 * time.Millisecond

func TestNeverMoreThanOwnedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), executors(3, 2)))
		var w sync.WaitGroup
		for range 60 {
			w.Go(func() {
				_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
				is.NoErr(err)
			})
		}
		w.Wait()
		is.Equal(f.most, map[string]int{"e00": 2, "e01": 2, "e02": 2})
		is.Equal(f.refused, 0)
	})
}

func TestAmplificationAtOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		x := executors(10, 8)
		for _, e := range x {
			f.down[e.ID] = true
		}
		r := newRouter(f, snapshot(service(), x))
		const requests = 2000
		var w sync.WaitGroup
		for range requests {
			w.Go(func() {
				_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
				is.Equal(refusal(err), "executor-unreachable not-run")
			})
			time.Sleep(time.Millisecond)
		}
		w.Wait()
		is.True(f.attempts() > requests) // retries are made at all
		is.True(float64(f.attempts()) <= 1.1*requests)
	})
}

func TestRetriesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service()
		s.RetryPercent = 100
		x := executors(9, 2)
		r := newRouter(f, snapshot(s, x))
		f.failures = 1
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
		is.NoErr(err)
		is.Equal(len(f.sent), 2)
		zones := map[string]string{}
		for _, e := range x {
			zones[e.ID] = e.Zone
		}
		is.True(zones[f.sent[0]] != zones[f.sent[1]]) // another zone, so another executor
	})
}

func TestNonIdempotentIsNeverSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service()
		s.RetryPercent = 100
		r := newRouter(f, snapshot(s, executors(9, 2)))
		f.failures = 1
		_, err := r.Do(t.Context(), request("etiquetar", "/print", short))
		is.Equal(refusal(err), "connection-lost unknown")
		is.Equal(f.attempts(), 1)
	})
}

func TestClaims(t *testing.T) {
	for _, c := range []struct {
		name     string
		claim    router.Claim
		down     bool
		want     string
		sent     int
		released int
	}{
		{"granted", router.Granted, false, "none", 1, 0},
		{"taken", router.Taken, false, "already-claimed unknown", 0, 0},
		{"rejected", router.Rejected, false, "malformed-key not-run", 0, 0},
		{"unavailable", router.Unavailable, false, "claim-unavailable unknown", 0, 0},
		{"granted-not-sent", router.Granted, true, "executor-unreachable not-run", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(8)
				f.down["e00"] = c.down
				r := newRouter(f, snapshot(service(), executors(1, 8)))
				claims, released := 0, 0
				r.Claim = func(context.Context, time.Time, router.Request) (router.Claim, error) {
					claims++
					return c.claim, nil
				}
				r.Release = func(context.Context, time.Time, router.Request) { released++ }
				q := request("etiquetar", "/print", short)
				q.Key = key()
				_, err := r.Do(t.Context(), q)
				is.Equal(refusal(err), c.want)
				is.Equal(f.attempts(), c.sent)
				is.Equal(claims, 1)
				is.Equal(released, c.released)
			})
		})
	}
}

func TestClaimThatHangsKeepsNoSlotFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), executors(1, 1)))
		r.Claim = func(ctx context.Context, _ time.Time, _ router.Request) (router.Claim, error) {
			<-ctx.Done()
			return router.Unavailable, ctx.Err()
		}
		q := request("etiquetar", "/print", short)
		q.Key = key()
		hung := make(chan error)
		go func() {
			_, err := r.Do(t.Context(), q)
			hung <- err
		}()
		synctest.Wait() // the claim hangs, as with the log down
		began := time.Now()
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
		is.NoErr(err)
		is.Equal(time.Since(began), short)                     // it ran at once, and for as long as it runs
		is.Equal(refusal(<-hung), "claim-unavailable unknown") // an earlier sending may have run
		is.Equal(f.attempts(), 1)
	})
}

func TestRefusalsOfKeyedRequestsAreCertainOnlyWithTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), nil)) // nothing can be sent
		released := 0
		r.Release = func(context.Context, time.Time, router.Request) { released++ }
		q := request("etiquetar", "/print", short)
		q.Key = key()
		r.Claim = func(context.Context, time.Time, router.Request) (router.Claim, error) { return router.Granted, nil }
		_, err := r.Do(t.Context(), q)
		is.Equal(refusal(err), "no-executor not-run") // the claim is ours, and was not used
		is.Equal(released, 1)
		q.Path = "/nowhere"
		_, err = r.Do(t.Context(), q)
		is.Equal(refusal(err), "unknown-route unknown")
		q.Key = ""
		_, err = r.Do(t.Context(), q)
		is.Equal(refusal(err), "unknown-route not-run")
		is.NoErr(r.Drain(t.Context()))
		q.Key = key()
		_, err = r.Do(t.Context(), q)
		is.Equal(refusal(err), "draining unknown") // it may have run through another VM
		q.Key = ""
		_, err = r.Do(t.Context(), q)
		is.Equal(refusal(err), "draining not-run")
	})
}

func TestCallerGone(t *testing.T) {
	for path, want := range map[string]struct {
		refusal string
		took    time.Duration
	}{
		"/proof": {"deadline-passed unknown", short},   // cancelled at the executor too
		"/print": {"caller-gone unknown", time.Second}, // goes on, and holds its slot
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(8)
				r := newRouter(f, snapshot(service(), executors(1, 1)))
				ctx, cancel := context.WithTimeout(t.Context(), short)
				defer cancel()
				start := time.Now()
				_, err := r.Do(ctx, request("etiquetar", path, time.Second))
				is.Equal(refusal(err), want.refusal)
				is.Equal(time.Since(start), short)
				is.NoErr(r.Drain(t.Context()))
				is.Equal(time.Since(start), want.took)
			})
		})
	}
}

func TestCallerGoneBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), executors(1, 1)))
		go r.Do(t.Context(), request("etiquetar", "/proof", time.Second))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), short)
		defer cancel()
		_, err := r.Do(ctx, request("etiquetar", "/print", short))
		is.Equal(refusal(err), "caller-gone not-run")
		is.NoErr(r.Drain(t.Context()))
		is.Equal(f.attempts(), 1)
	})
}

func TestNonIdempotentBeyondDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), executors(1, 1)))
		start := time.Now()
		_, err := r.Do(t.Context(), request("etiquetar", "/print", 3*time.Second))
		is.Equal(refusal(err), "deadline-passed unknown")
		is.Equal(time.Since(start), 2*time.Second)
		_, err = r.Do(t.Context(), request("etiquetar", "/proof", short)) // waits for the slot
		is.NoErr(err)
		is.Equal(time.Since(start), 3*time.Second+short)
		is.Equal(f.most["e00"], 1)
	})
}

func TestDrainFinishesAllThatWasAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), executors(1, 1)))
		var w sync.WaitGroup
		for range 10 { // one runs, nine wait
			w.Go(func() {
				_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
				is.NoErr(err)
			})
		}
		synctest.Wait()
		soon, cancel := context.WithTimeout(t.Context(), short/2)
		defer cancel()
		is.True(errors.Is(r.Drain(soon), context.DeadlineExceeded))
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
		is.Equal(refusal(err), "draining not-run")
		is.NoErr(r.Drain(t.Context()))
		w.Wait()
		is.Equal(f.started, 10)
	})
}

func TestLeavingExecutorGetsNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		f.leaving["e01"] = true
		s := service()
		s.RetryPercent = 0 // the budget does not count these
		r := newRouter(f, snapshot(s, executors(3, 4)))
		var told []string
		r.Leaving = func(id string) { told = append(told, id) }
		for range 50 {
			_, err := r.Do(t.Context(), request("etiquetar", "/print", short))
			is.NoErr(err)
		}
		is.Equal(told, []string{"e01"})
		is.Equal(f.attempts(), 51)
	})
}

func TestSnapshotMovesSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := snapshot(service(), executors(1, 0))
		r := newRouter(f, s)
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
		is.Equal(refusal(err), "no-executor not-run")

		one, two := snapshot(service(), executors(1, 1)), snapshot(service(), executors(2, 1))
		current := one
		r.Snapshot = func() *router.Snapshot { return current }
		var w sync.WaitGroup
		start := time.Now()
		for range 2 {
			w.Go(func() {
				_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
				is.NoErr(err)
			})
		}
		synctest.Wait()
		current = two
		r.Refresh()
		w.Wait()
		is.Equal(time.Since(start), short) // the second did not wait for the first
	})
}

// A service with fewer slots than there are entry VMs is served by all of them,
// one request at a time by a VM that owns none; but by none that the others do
// not count yet.
func TestVMWithoutSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		x := executors(2, 0)
		x[0].Total, x[1].Total = 1, 1
		n := snapshot(service(), x)
		apart := *n
		apart.Apart = true
		_, err := newRouter(f, &apart).Do(t.Context(), request("etiquetar", "/proof", short))
		is.Equal(refusal(err), "no-executor not-run")
		r := newRouter(f, n)
		start := time.Now()
		var w sync.WaitGroup
		for range 6 {
			w.Go(func() {
				_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
				is.NoErr(err)
			})
		}
		w.Wait()
		is.Equal(f.most, map[string]int{"e00": 1, "e01": 1})
		is.Equal(time.Since(start), 6*short)
		f.busy["e00"], f.busy["e01"] = 1, 1 // by another VM
		_, err = r.Do(t.Context(), request("etiquetar", "/print", short))
		is.Equal(refusal(err), "executor-refused not-run")
	})
}

func TestLongestPrefixDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service(
			decoder.Route{Path: "/", Class: "short"},
			decoder.Route{Path: "/print/", Class: "short", NonIdempotent: true},
		)
		s.RetryPercent = 100
		r := newRouter(f, snapshot(s, executors(4, 4)))
		for path, want := range map[string]string{
			"/print": "connection-lost unknown", "/print/7": "connection-lost unknown", "/printer": "none", "/x": "none",
		} {
			f.failures = 1
			_, err := r.Do(t.Context(), request("etiquetar", path, 0))
			is.Equal(refusal(err), want)
		}
	})
}
