package router_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// A request at a hanging executor is answered by a hedge, if it is idempotent, the
// retry budget allows a hedge and another slot is free.
func TestHedgeAnswersForHangingExecutor(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		percent  int
		busy     int // requests that take the other slot
		refusal  string
		took     time.Duration
		attempts int
	}{
		"answered":       {"/proof", 100, 0, "none", 3*100*time.Millisecond + short, 2},
		"not-idempotent": {"/print", 100, 0, "deadline-passed unknown", 2 * time.Second, 1},
		"no-budget":      {"/proof", 0, 0, "deadline-passed unknown", 2 * time.Second, 1},
		"no-free-slot":   {"/proof", 100, 1, "deadline-passed unknown", 2 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(8)
				f.hanging["e00"] = true
				s := service()
				s.RetryPercent = c.percent
				r := newRouter(f, snapshot(s, executors(2, 1)))
				start := time.Now()
				var w sync.WaitGroup
				w.Go(func() {
					_, err := r.Do(t.Context(), request("etiquetar", c.path, short))
					is.Equal(refusal(err), c.refusal)
					is.Equal(time.Since(start), c.took)
				})
				synctest.Wait()
				for range c.busy {
					w.Go(func() {
						_, err := r.Do(t.Context(), request("etiquetar", "/print", 1500*time.Millisecond))
						is.NoErr(err)
					})
				}
				w.Wait()
				is.Equal(f.attempts(), c.attempts)
				is.NoErr(r.Drain(t.Context()))
				is.Equal(f.busy["e00"]+f.busy["e01"], 0)
			})
		})
	}
}

// If the first attempt answers before the hedge, its answer is used and the hedge is
// cancelled.
func TestFirstAnswerCancelsHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service()
		s.RetryPercent = 100
		r := newRouter(f, snapshot(s, executors(2, 1)))
		var seen router.Observation
		r.Observe = func(o router.Observation) { seen = o }
		start := time.Now()
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", 350*time.Millisecond))
		is.NoErr(err)
		is.Equal(time.Since(start), 350*time.Millisecond)
		is.Equal(seen.Attempts, 2)
		is.NoErr(r.Drain(t.Context()))
		is.Equal(time.Since(start), 350*time.Millisecond)
	})
}

// There is no hedge while another request waits for a slot, for long work, or if it
// would end after the deadline.
func TestHedgeIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		deadline time.Duration
		longs    int // concurrent long requests; eight run, the others wait
	}{
		"another-waits": {"/proof", 2 * time.Second, 9},
		"long":          {"/rebuild", time.Minute, 0},
		"too-late":      {"/proof", 350 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(8)
				f.hanging["e00"] = true
				s := service(
					decoder.Route{Path: "/proof", Class: "short", Deadline: time.Minute, DeclaredRun: short},
					decoder.Route{Path: "/rebuild", Class: "long", Deadline: time.Minute, DeclaredRun: 10 * time.Second},
				)
				s.RetryPercent = 100
				r := newRouter(f, snapshot(s, executors(5, 2)))
				q := request("etiquetar", c.path, short)
				q.Deadline = time.Now().Add(c.deadline)
				var w sync.WaitGroup
				w.Go(func() {
					_, err := r.Do(t.Context(), q)
					is.Equal(refusal(err), "deadline-passed unknown")
				})
				synctest.Wait()
				for range c.longs {
					w.Go(func() { _, _ = r.Do(t.Context(), request("etiquetar", "/rebuild", 10*time.Second)) })
				}
				time.Sleep(c.deadline + time.Millisecond)
				is.Equal(f.attempts(), 1+min(c.longs, 8))
				w.Wait()
			})
		})
	}
}

// A first attempt that ends just as the hedge starts has no data race with it. A race
// shows only under the race detector.
func TestHedgeStartRacesFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service()
		s.RetryPercent = 100
		r := newRouter(f, snapshot(s, executors(2, 8)))
		for range 1000 {
			_, err := r.Do(t.Context(), request("etiquetar", "/proof", 300*time.Millisecond))
			is.NoErr(err)
		}
		is.NoErr(r.Drain(t.Context()))
		is.True(f.attempts() > 1000) // some hedges started
	})
}

// If the first attempt and its hedge both fail, the retry avoids both executors, even
// if it has to wait for a slot of another.
func TestRetryAvoidsExecutorsOfFailedHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service()
		s.RetryPercent = 100
		r := newRouter(f, snapshot(s, executors(3, 1)))
		for range 2 { // fills the retry budget
			_, err := r.Do(t.Context(), request("etiquetar", "/print", short))
			is.NoErr(err)
		}
		f.sent = nil
		var w sync.WaitGroup
		w.Go(func() {
			_, err := r.Do(t.Context(), request("etiquetar", "/print", time.Second))
			is.NoErr(err)
		})
		synctest.Wait()
		f.pendingLostAnswers = 2
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", 350*time.Millisecond))
		is.NoErr(err)
		w.Wait()
		is.Equal(f.sent[3], f.sent[0])
	})
}

// A hedge does not reduce the number of attempts that a request may make one after
// another.
func TestHedgeDoesNotCountTowardsMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		s := service()
		s.RetryPercent = 100
		r := newRouter(f, snapshot(s, executors(5, 1)))
		for range 4 { // fills the retry budget
			_, err := r.Do(t.Context(), request("etiquetar", "/print", short))
			is.NoErr(err)
		}
		f.pendingLostAnswers = 2
		time.AfterFunc(500*time.Millisecond, func() {
			f.mu.Lock()
			f.pendingResets = 2
			f.mu.Unlock()
		})
		_, err := r.Do(t.Context(), request("etiquetar", "/proof", 350*time.Millisecond))
		is.NoErr(err) // the fourth attempt: one with a hedge and two others failed
	})
}
