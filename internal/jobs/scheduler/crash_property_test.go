package scheduler_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

const packageSeed = "158"

func init() {
	_ = flag.Set("rapid.seed", packageSeed) // its first draw once gave up a neighbour of several crashing tasks; the command line may override it
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestOnlyCrashingTasksAreGivenUp draws tasks that crash their workers, neighbours, workers
// that crash for other causes or are cut off, outages of the store and changes of the leader.
// No task starts three times more after three crashes (checked by the world), and all jobs
// whose tasks crash nothing complete. It draws two other crashes at most: three that each hit
// a task right after its start, while it is alone, look like its own fault.
func TestOnlyCrashingTasksAreGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.config.Queues["q"] = scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000}
		w.feed(scheduler.ConfigChanged{Config: w.config})
		for i := range 6 {
			w.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/3), 8)
		}
		wait := func(d time.Duration) {
			for end := w.now.Add(d); w.now.Before(end); {
				if err := w.advance(); err != nil {
					t.Fatal(err)
				}
			}
		}
		anyWorker := func() string {
			return rapid.SampledFrom(slices.Sorted(maps.Keys(w.workers))).Draw(t, "worker")
		}
		wait(100 * time.Millisecond)
		crashes := 0
		for range rapid.IntRange(4, 16).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"job", "job", "gang", "deadly", "deadly gang", "crash", "cut", "heal", "lead", "store"}).Draw(t, "event") {
			case "job":
				submit(t, w, "")
			case "gang":
				submit(t, w, "gang")
			case "deadly":
				w.deadly[fmt.Sprintf("j%d", len(w.jobs))] = time.Duration(rapid.IntRange(1, 150).Draw(t, "delay")) * worldStep
				submit(t, w, "")
			case "deadly gang":
				w.deadly[fmt.Sprintf("j%d", len(w.jobs))] = 10 * time.Millisecond
				submit(t, w, "gang")
			case "crash":
				if crashes++; crashes <= 2 {
					w.crash(anyWorker())
				}
			case "cut":
				w.unreachable[anyWorker()] = true
			case "heal":
				clear(w.unreachable)
			case "lead":
				w.storeUp = true // no VM can claim the leadership without the store
				w.startLeader()
			case "store":
				w.storeUp = !w.storeUp
			}
			wait(time.Duration(rapid.IntRange(1, 40).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		w.storeUp = true
		clear(w.unreachable)
		wait(2 * time.Minute)
		for id := range w.jobs {
			got, want := w.stored[id].State, scheduler.StateCompleted
			if _, ok := w.deadly[id]; ok {
				want = scheduler.StateFailed
			}
			if got != want && (want == scheduler.StateCompleted || w.crashes[scheduler.TaskID{Job: id}] > 0) {
				t.Fatalf("the state of job %s is %q, want %q", id, got, want)
			}
		}
	})
}
