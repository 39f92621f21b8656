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
		is.Equal(f.maxBusy, map[string]int{"e00": 2, "e01": 2, "e02": 2})
		is.Equal(f.refused, 0)
	})
}

// With all executors down, retries stay within 10 % of the requests, so they do not
// multiply the load of an outage.
func TestRetryBudgetBoundsAttemptsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		x := executors(10, 8)
		for _, e := range x {
			f.unreachable[e.ID] = true
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
		is.True(f.attempts() > requests) // there were retries
		is.True(float64(f.attempts()) <= 1.1*requests)
	})
}

// A request may be what crashes the executors that it is sent to.
func TestRequestUnderWhichConnectionsEndIsSentToEveryExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service()
		s.RetryPercent = 100
		r := newRouter(f, snapshot(s, executors(9, 2)))
		for range 20 { // fills the retry budget
			_, err := r.Do(t.Context(), request("etiquetar", "/proof", time.Millisecond))
			is.NoErr(err)
		}
		before := f.attempts()
		f.pendingResets = 100
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
		is.Equal(refusal(err), "connection-lost unknown")
		is.Equal(f.attempts()-before, 4)
	})
}

func TestRetryUsesAnotherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service()
		s.RetryPercent = 100
		x := executors(9, 2)
		r := newRouter(f, snapshot(s, x))
		f.pendingResets = 1
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
		is.NoErr(err)
		is.Equal(len(f.sent), 2)
		zones := map[string]string{}
		for _, e := range x {
			zones[e.ID] = e.Zone
		}
		is.True(zones[f.sent[0]] != zones[f.sent[1]]) // another zone and so another executor
	})
}

func TestNonIdempotentIsNeverSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service()
		s.RetryPercent = 100
		r := newRouter(f, snapshot(s, executors(9, 2)))
		f.pendingResets = 1
		_, err := r.Do(t.Context(), request("etiquetar", "/print", short))
		is.Equal(refusal(err), "connection-lost unknown")
		is.Equal(f.attempts(), 1)
	})
}

func TestClaimOutcomes(t *testing.T) {
	for _, c := range []struct {
		name     string
		claim    router.Claim
		down     bool
		want     string
		sent     int
		released int
	}{
		{"granted", router.Granted, false, "none", 1, 0},
		{"taken", router.AlreadyClaimed, false, "already-claimed unknown", 0, 0},
		{"rejected", router.Rejected, false, "malformed-key not-run", 0, 0},
		{"unavailable", router.Unavailable, false, "claim-unavailable unknown", 0, 0},
		{"granted-not-sent", router.Granted, true, "executor-unreachable not-run", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(8)
				f.unreachable["e00"] = c.down
				r := newRouter(f, snapshot(service(), executors(1, 8)))
				claims, released := 0, 0
				r.Claim = func(context.Context, time.Time, router.Request) (router.Claim, error) {
					claims++
					return c.claim, nil
				}
				r.Release = func(context.Context, time.Time, router.Request) { released++ }
				q := request("etiquetar", "/print", short)
				q.Key = newKey()
				_, err := r.Do(t.Context(), q)
				is.Equal(refusal(err), c.want)
				is.Equal(f.attempts(), c.sent)
				is.Equal(claims, 1)
				is.Equal(released, c.released)
			})
		})
	}
}

// A claim that hangs while the log is down does not block the only slot for requests
// that need no claim.
func TestHangingClaimHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), executors(1, 1)))
		r.Claim = func(ctx context.Context, _ time.Time, _ router.Request) (router.Claim, error) {
			<-ctx.Done()
			return router.Unavailable, ctx.Err()
		}
		q := request("etiquetar", "/print", short)
		q.Key = newKey()
		hung := make(chan error)
		go func() {
			_, err := r.Do(t.Context(), q)
			hung <- err
		}()
		synctest.Wait() // the claim hangs, as when the log is down
		began := time.Now()
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
		is.NoErr(err)
		is.Equal(time.Since(began), short)                     // it did not wait for a slot
		is.Equal(refusal(<-hung), "claim-unavailable unknown") // an earlier request with this key may have run
		is.Equal(f.attempts(), 1)
	})
}

// A refused request with an idempotency key is reported as not-run only if this VM
// claimed the key, as the key may have been used through another VM.
func TestKeyedRefusalIsNotRunOnlyAfterClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), nil)) // there is no executor to send to
		released := 0
		r.Release = func(context.Context, time.Time, router.Request) { released++ }
		q := request("etiquetar", "/print", short)
		q.Key = newKey()
		r.Claim = func(context.Context, time.Time, router.Request) (router.Claim, error) { return router.Granted, nil }
		_, err := r.Do(t.Context(), q)
		is.Equal(refusal(err), "no-executor not-run") // the claim was granted and the request not sent
		is.Equal(released, 1)
		q.Path = "/nowhere"
		_, err = r.Do(t.Context(), q)
		is.Equal(refusal(err), "unknown-route unknown")
		q.Key = ""
		_, err = r.Do(t.Context(), q)
		is.Equal(refusal(err), "unknown-route not-run")
		is.NoErr(r.Drain(t.Context()))
		q.Key = newKey()
		_, err = r.Do(t.Context(), q)
		is.Equal(refusal(err), "draining unknown") // the key may have been used through another VM
		q.Key = ""
		_, err = r.Do(t.Context(), q)
		is.Equal(refusal(err), "draining not-run")
	})
}

func TestCallerDisconnects(t *testing.T) {
	for path, want := range map[string]struct {
		refusal string
		took    time.Duration
	}{
		"/proof": {"deadline-passed unknown", short},   // cancelled at the executor
		"/print": {"caller-gone unknown", time.Second}, // runs on and holds its slot
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

func TestCallerDisconnectsWhileQueued(t *testing.T) {
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

// A non-idempotent request that runs beyond its deadline is refused on time, but holds
// its slot until it ends, so the executor is never given more than its slots.
func TestNonIdempotentHoldsSlotBeyondDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), executors(1, 1)))
		start := time.Now()
		_, err := r.Do(t.Context(), request("etiquetar", "/print", 3*time.Second))
		is.Equal(refusal(err), "deadline-passed unknown")
		is.Equal(time.Since(start), 2*time.Second)
		_, err = r.Do(t.Context(), request("etiquetar", "/proof", short)) // waits until the slot is released
		is.NoErr(err)
		is.Equal(time.Since(start), 3*time.Second+short)
		is.Equal(f.maxBusy["e00"], 1)
	})
}

func TestDrainFinishesAcceptedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		r := newRouter(f, snapshot(service(), executors(1, 1)))
		var w sync.WaitGroup
		for range 10 { // one runs and nine wait
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

func TestLeavingExecutorGetsNoMoreRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		f.leaving["e01"] = true
		s := service()
		s.RetryPercent = 0 // a retry after a leaving executor costs no budget
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

func TestRefreshGrantsNewSlots(t *testing.T) {
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
		is.Equal(time.Since(start), short) // both ran at the same time
	})
}

// A VM that owns no slot, because the service has fewer slots than there are entry
// VMs, sends one request at a time. A VM that the others do not yet count sends none.
func TestVMWithoutSlotsSendsOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		x := executors(2, 0)
		x[0].Total, x[1].Total = 1, 1
		n := snapshot(service(), x)
		excluded := *n
		excluded.ExcludedFromDivision = true
		_, err := newRouter(f, &excluded).Do(t.Context(), request("etiquetar", "/proof", short))
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
		is.Equal(f.maxBusy, map[string]int{"e00": 1, "e01": 1})
		is.Equal(time.Since(start), 6*short)
		f.busy["e00"], f.busy["e01"] = 1, 1 // used by another VM
		_, err = r.Do(t.Context(), request("etiquetar", "/print", short))
		is.Equal(refusal(err), "executor-refused not-run")
	})
}

func TestLongestRoutePrefixMatches(t *testing.T) {
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
			f.pendingResets = 1
			_, err := r.Do(t.Context(), request("etiquetar", path, 0))
			is.Equal(refusal(err), want)
		}
	})
}
