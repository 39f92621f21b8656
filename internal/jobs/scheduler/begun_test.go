package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// Guards against a job that counts as running, and not as pending, although its only worker has
// refused each start.
func TestJobWithOnlyRefusedStartsIsQueued(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.config.Queues["q"] = scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000}
	w.feed(scheduler.ConfigChanged{Config: w.config})
	w.addWorker("w1", "r1", 8)
	w.workers["w1"].unhealthy = true
	advanceBy(t, w, 100*time.Millisecond)
	is.NoErr(w.submitJob("a", "q", "o", "1", "1", "1"))
	advanceBy(t, w, 6*time.Second)
	is.True(w.stored["a"].State == "" || w.stored["a"].State == scheduler.StateQueued)
	w.workers["w1"].unhealthy = false
	advanceBy(t, w, 4500*time.Millisecond)
	is.True(w.starts["a"] == 1)
	is.True(w.stored["a"].State == scheduler.StateRunning || w.stored["a"].State == scheduler.StateCompleted)
}
