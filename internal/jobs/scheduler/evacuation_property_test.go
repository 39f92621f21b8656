package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// TestNothingStartsInEvacuatedZones draws evacuations and ends of them, reads of the records that
// fail, workers that are silent, restart or are cold, urgent jobs and changes of the leader. No
// start is sent to a zone that the leader knows to be evacuated (checked by the world), and all
// jobs complete once all zones are used again.
func TestNothingStartsInEvacuatedZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.commands()
		for name, priority := range map[string]int{"q": 1, "u": 0} {
			w.config.Queues[name] = scheduler.Queue{Service: "s", Priority: priority, MaxAttempts: 4, Stretch: 3, ObjectiveMS: 1000}
		}
		w.config.Guaranteed["o"] = 4
		w.feed(scheduler.ConfigChanged{Config: w.config})
		zones, workers := []string{"a", "b", "c"}, []string{"w0", "w1", "w2", "w3", "w4", "w5"}
		for i, id := range workers {
			w.evacuation.zones[id] = zones[i/2]
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
			zone, id := rapid.SampledFrom(zones).Draw(t, "zone"), rapid.SampledFrom(workers).Draw(t, "worker")
			switch rapid.SampledFrom([]string{"job", "gang", "urgent", "evacuate", "evacuate", "use", "topic", "lead", "cut", "restart", "cold", "store"}).Draw(t, "event") {
			case "job":
				submit(t, w, "checkpoints")
			case "gang":
				submit(t, w, "gang")
			case "urgent":
				if err := w.submitJob(fmt.Sprintf("j%d", len(w.jobs)), "u", "o", "2", "2", "1", "gang", "rack"); err != nil {
					t.Fatal(err)
				}
			case "evacuate":
				w.writeEvacuations(true, zone)
			case "use":
				w.writeEvacuations(false, zone)
			case "topic":
				w.evacuation.down = !w.evacuation.down
				w.readEvacuations()
			case "lead":
				w.startLeader()
			case "cut":
				w.unreachable[id] = !w.unreachable[id]
			case "restart":
				w.restartWorker(id)
				w.sendList()
			case "cold":
				w.workers[id].info.ColdUntil = w.now.Add(2 * time.Second)
				w.sendList()
			case "store":
				w.storeUp = !w.storeUp
			}
			wait(time.Duration(rapid.IntRange(1, 50).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		w.storeUp, w.evacuation.down = true, false
		clear(w.unreachable)
		w.writeEvacuations(false, zones...)
		wait(time.Minute)
		for id := range w.jobs {
			if w.stored[id].State != scheduler.StateCompleted {
				t.Fatalf("the state of job %s is %q", id, w.stored[id].State)
			}
		}
	})
}
