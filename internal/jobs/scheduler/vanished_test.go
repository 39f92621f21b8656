package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// advanceBy advances a world and fails the test if a guarantee is violated.
func advanceBy(t *testing.T, w *world, d time.Duration) {
	t.Helper()
	for range d / worldStep {
		if err := w.advance(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a worker that accepts each start, lists no run, and so gets the same tasks
// thousands of times a second while sound workers are idle.
func TestWorkerAtWhichStartsVanishGetsFewOfThem(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.config.Queues["q"] = scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000}
	w.feed(scheduler.ConfigChanged{Config: w.config})
	w.addWorker("none", "r1", 0) // preferred, as the tasks need no accelerators
	w.workers["none"].swallows = true
	w.addWorker("w1", "r1", 8)
	advanceBy(t, w, 100*time.Millisecond)
	is.NoErr(w.submitJob("a", "q", "o", "4", "0", "1"))
	advanceBy(t, w, 5*time.Second)
	is.Equal(w.stored["a"].State, scheduler.StateCompleted)
	is.True(w.workers["none"].swallowed >= 3)
	is.True(w.workers["none"].swallowed <= 8) // one pass of four tasks, and one more that was on its way
	is.NoErr(w.submitJob("b", "q", "o", "1", "0", "120"))
	advanceBy(t, w, 60*time.Second)
	is.True(w.workers["none"].swallowed <= 12) // exclusions of 4, 8, 16 and 32 s
	w.workers["none"].swallows = false
	is.NoErr(w.submitJob("c", "q", "o", "2", "0", "1"))
	advanceBy(t, w, 10*time.Second)
	is.Equal(w.stored["c"].State, scheduler.StateCompleted)
}
