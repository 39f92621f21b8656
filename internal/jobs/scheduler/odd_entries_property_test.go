package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// oddEntry adds a worker whose entry is not that of a sound worker of this system.
func oddEntry(t *rapid.T, w *world, id string) {
	kind := rapid.SampledFrom([]string{"foreign", "rejects", "rejects later", "swallows", "silent", "unhealthy", "duplicate", "empty"}).Draw(t, "kind")
	service := "s"
	if kind == "foreign" {
		service = "other"
	}
	w.addWorkerTo(service, id, "r1", rapid.IntRange(0, 8).Draw(t, "accelerators"))
	v := w.workers[id]
	switch kind {
	case "foreign", "rejects":
		v.rejects = true
	case "rejects later":
		at := w.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "at")) * 100 * time.Millisecond)
		w.deliveries = append(w.deliveries, delivery{at: at, do: func() { v.rejects = true }})
	case "swallows":
		v.swallows = true
	case "silent":
		w.unreachable[id] = true
	case "unhealthy":
		v.unhealthy = true
	case "duplicate": // another worker is at its address
		w.replaced[id] = true
	case "empty":
		v.info.Capacity, v.info.Rack, v.info.Labels = w.workers[id].info.Capacity.Times(0), "", nil
	}
	w.sendList()
}

// TestJobsEndOnSoundWorkersAmongOddEntries draws entries of other systems, and of workers that
// reject, lose or refuse what they get, beside a few sound ones. Whatever their share, no task
// may run twice, the workers of services that are not named are left alone, and all jobs
// complete, also under a later leader.
func TestJobsEndOnSoundWorkersAmongOddEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.config.Queues["q"] = scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000}
		w.feed(scheduler.ConfigChanged{Config: w.config})
		wait := func(d time.Duration) {
			for end := w.now.Add(d); w.now.Before(end); {
				if err := w.advance(); err != nil {
					t.Fatal(err)
				}
			}
		}
		for i := range rapid.IntRange(1, 3).Draw(t, "sound") {
			w.addWorker(fmt.Sprintf("w%d", i), "r1", 4)
		}
		for i := range rapid.IntRange(0, 8).Draw(t, "odd") {
			oddEntry(t, w, fmt.Sprintf("x%d", i))
		}
		for range rapid.IntRange(1, 5).Draw(t, "jobs") {
			wait(time.Duration(rapid.IntRange(1, 20).Draw(t, "wait")) * 100 * time.Millisecond)
			submit(t, w, "")
			if rapid.IntRange(0, 3).Draw(t, "lead") == 0 {
				w.startLeader()
			}
		}
		wait(2 * time.Minute)
		for id := range w.jobs {
			if w.stored[id].State != scheduler.StateCompleted {
				t.Fatalf("the state of job %s is %q", id, w.stored[id].State)
			}
		}
		for id, v := range w.workers {
			if v.info.Service == "other" && w.heldBy[id] > 0 {
				t.Fatalf("worker %s of another service got %d calls", id, w.heldBy[id])
			}
		}
	})
}
