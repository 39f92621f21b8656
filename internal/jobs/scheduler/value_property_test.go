package scheduler_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// TestWastedWorkIsBounded draws batch jobs that fill all workers, and urgent gangs of which half
// are within a guarantee. Guards against runs that are stopped for jobs that then do not start,
// and against batch jobs that never end: each accelerator of an urgent job that started may have
// stopped one run, or one gang, of a limited age, and batch jobs end once no urgent ones come.
func TestWastedWorkIsBounded(t *testing.T) {
	const (
		batchSeconds, urgentSeconds, gangWidth = 10, 2, 4
		stopSlackPercent                       = 5 // of the age of a run: the time until it is stopped

		maxFactor = gangWidth * batchSeconds / urgentSeconds
	)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.config.Queues["q"] = scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000}
		w.config.Queues["u"] = scheduler.Queue{Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 1.5, ObjectiveMS: 300}
		w.config.Guaranteed["o1"] = 8
		w.feed(scheduler.ConfigChanged{Config: w.config})
		for i := range 4 {
			w.addWorker(fmt.Sprintf("w%d", i+1), fmt.Sprintf("r%d", i/2), 4)
		}
		wait := func(d time.Duration) {
			for end := w.now.Add(d); w.now.Before(end); {
				if err := w.advance(); err != nil {
					t.Fatal(err)
				}
			}
		}
		submit := func(queue, organisation string, tasks, seconds int, options string) {
			if err := w.submitJob("j"+strconv.Itoa(len(w.jobs)), queue, organisation, strconv.Itoa(tasks), "1", strconv.Itoa(seconds)+options); err != nil {
				t.Fatal(err)
			}
		}
		wait(100 * time.Millisecond)
		for range rapid.IntRange(5, 30).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"batch", "gang", "urgent", "urgent", "urgent"}).Draw(t, "event") {
			case "batch":
				submit("q", "o0", rapid.IntRange(1, 16).Draw(t, "tasks"), rapid.IntRange(1, batchSeconds).Draw(t, "seconds"), "")
			case "gang":
				submit("q", "o0", rapid.IntRange(1, gangWidth).Draw(t, "tasks"), rapid.IntRange(1, batchSeconds).Draw(t, "seconds"), " gang")
			case "urgent":
				submit("u", rapid.SampledFrom([]string{"o1", "o2"}).Draw(t, "organisation"), rapid.IntRange(1, 8).Draw(t, "tasks"), urgentSeconds, rapid.SampledFrom([]string{" gang", " gang rack"}).Draw(t, "options"))
			}
			wait(time.Duration(rapid.IntRange(1, 30).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		ended := map[string]scheduler.State{} // records of jobs are deleted later
		for range 180 {
			wait(time.Second)
			for id, p := range w.stored {
				if p.State.Ended() {
					ended[id] = p.State
				}
			}
		}
		urgent, tasks := 0, 0
		for id, e := range w.jobs {
			if ended[id] != scheduler.StateCompleted {
				t.Fatalf("the state of job %s is %q", id, w.stored[id].State)
			}
			if e.Job.Queue == "u" {
				tasks += e.Job.Steps[0].Tasks
				urgent += e.Job.Steps[0].Tasks * urgentSeconds * 9
			}
		}
		if n := w.logged["run is preempted by an urgent job"]; n > tasks {
			t.Fatalf("%d runs or gangs are stopped for %d urgent tasks", n, tasks)
		}
		lost := w.amounts["wasted-preempted"] + w.amounts["wasted-preempted-guarantee"]
		if most := urgent * maxFactor * (100 + stopSlackPercent) / 100; lost > most {
			t.Fatalf("%d core-seconds are lost for %d of urgent work, at most %d may be", lost, urgent, most)
		}
	})
}
