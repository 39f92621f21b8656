package scheduler_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// TestSilentWorkersUnderChangingLeaders draws workers that are silent for up to two lease
// times, outages of the store and changes of the leader. No task may run twice or start
// again once its success counts, and all jobs complete after the last disruption.
func TestSilentWorkersUnderChangingLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.config.Queues["q"] = scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000}
		w.feed(scheduler.ConfigChanged{Config: w.config})
		workers := []string{"w1", "w2", "w3", "w4"}
		for i, id := range workers {
			w.addWorker(id, fmt.Sprintf("r%d", i/2), 4)
		}
		wait := func(d time.Duration) {
			for end := w.now.Add(d); w.now.Before(end); {
				if err := w.advance(); err != nil {
					t.Fatal(err)
				}
			}
		}
		wait(100 * time.Millisecond)
		for range rapid.IntRange(4, 16).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"job", "job", "gang", "cut", "cut", "heal", "lead", "store"}).Draw(t, "event") {
			case "job":
				submit(t, w, "")
			case "gang":
				submit(t, w, "gang")
			case "cut":
				w.unreachable[rapid.SampledFrom(workers).Draw(t, "cut")] = true
			case "heal":
				delete(w.unreachable, rapid.SampledFrom(workers).Draw(t, "heal"))
			case "lead":
				w.startLeader()
			case "store":
				w.storeUp = !w.storeUp
			}
			wait(time.Duration(rapid.IntRange(1, 50).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		w.storeUp = true
		clear(w.unreachable)
		wait(time.Minute)
		for id := range w.jobs {
			if w.stored[id].State != scheduler.StateCompleted {
				t.Fatalf("the state of job %s is %q", id, w.stored[id].State)
			}
		}
	})
}

// submit submits a job of drawn size.
func submit(t *rapid.T, w *world, option string) {
	id := fmt.Sprintf("j%d", len(w.jobs))
	tasks, seconds := rapid.IntRange(1, 4).Draw(t, "tasks"), rapid.IntRange(1, 6).Draw(t, "seconds")
	if err := w.submitJob(id, "q", "o", strconv.Itoa(tasks), "1", strconv.Itoa(seconds), option); err != nil {
		t.Fatal(err)
	}
}
