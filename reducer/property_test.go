package reducer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// drawWorld draws some VMs and workers, and two organisations of which one has a
// guarantee.
func drawWorld(t *rapid.T) *world {
	w := newWorld(rapid.IntRange(1, 3).Draw(t, "vms"), rapid.Uint64().Draw(t, "seed"))
	for i := range rapid.IntRange(2, 4).Draw(t, "workers") {
		w.addWorker(fmt.Sprintf("w%d", i+1), fmt.Sprintf("r%d", i/2+1), 4)
	}
	g := decoder.Guarantee{
		Name: "block", Blocks: 1, Adjacency: placer.AdjacencyWorker,
		Block:        placer.Resources{MilliCores: 4000, MemoryMB: 16000, Accelerators: 4},
		ReclaimBound: 30 * time.Second, Grace: 10 * time.Second,
	}
	w.config = decoder.Config{
		Revision: 1,
		Organisations: []decoder.Organisation{
			{Name: "owner", Guarantees: []decoder.Guarantee{g}},
			{Name: "other"},
		},
		Services: []decoder.Service{{Name: "service", Organisation: "owner"}, {Name: "service", Organisation: "other"}},
	}
	for _, v := range w.vms {
		w.feed(v, reducer.ConfigChanged{Config: w.config})
	}
	return w
}

func drawJob(t *rapid.T, n int) reducer.Job {
	j := job([]string{fmt.Sprintf("j%d", n), rapid.SampledFrom([]string{"owner", "other"}).Draw(t, "organisation")})
	j.Gang.Tasks = rapid.IntRange(1, 5).Draw(t, "tasks")
	j.Gang.Adjacency = rapid.SampledFrom([]placer.Adjacency{
		placer.AdjacencyNone, placer.AdjacencyRack, placer.AdjacencyWorker,
	}).Draw(t, "adjacency")
	if j.Gang.Adjacency == placer.AdjacencyWorker {
		j.Gang.Tasks = min(j.Gang.Tasks, 4)
	}
	j.DeclaredRun = time.Duration(rapid.IntRange(1, 60).Draw(t, "run")) * time.Second
	j.Checkpointable = rapid.Bool().Draw(t, "checkpointable")
	j.NonIdempotent = rapid.Bool().Draw(t, "non-idempotent")
	if rapid.Bool().Draw(t, "urgent") {
		j.Class = reducer.ClassUrgent
	}
	if rapid.Bool().Draw(t, "with-deadline") { // some have passed, some pass while the job waits
		j.Deadline = time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC).Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline")) * time.Second)
	}
	j.Payload = j.DeclaredRun.String()
	if j.NonIdempotent {
		j.Payload += " once"
	}
	return j
}

// disturb brings about or ends one failure.
func disturb(t *rapid.T, w *world, n int) {
	k := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
	v := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
	what := rapid.SampledFrom([]string{
		"submit", "submit", "submit", "cancel", "shrink", "log", "answers", "cut", "cut-from", "pause-worker", "worker", "fail", "ignore", "vm", "pause-vm",
	}).Draw(t, "what")
	switch what {
	case "submit":
		_ = w.submit(drawJob(t, n))
	case "cancel":
		id := fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(t, "job"))
		w.append(reducer.AppendRecord{Record: reducer.JobCancelled{
			Job: id, Organisation: w.status(id).Job.Organisation,
		}}, func(reducer.Event) {})
	case "shrink":
		k.table.Capacity.Accelerators = 3 // a device is lost
	case "log":
		w.logDown = !w.logDown
	case "answers":
		w.loseAnswers = 3
	case "cut":
		k.cut = !k.cut
	case "cut-from":
		k.cutFrom = v.id
	case "pause-worker":
		k.paused = !k.paused
	case "worker":
		toggleWorker(w, k)
	case "fail":
		k.failing = !k.failing
	case "ignore":
		k.ignoring = !k.ignoring
	case "vm":
		toggleVM(w, v)
	case "pause-vm":
		if v.paused {
			w.resume(v)
		} else {
			v.paused = true
		}
	}
}

func toggleWorker(w *world, k *fakeWorker) {
	if k.down {
		w.restartWorker(k)
		return
	}
	k.down = true
}

func toggleVM(w *world, v *vm) {
	if v.alive {
		v.alive = false
		return
	}
	w.startVM(v)
}

// heal ends all failures.
func heal(w *world) {
	w.logDown, w.lossy, w.loseAnswers = false, 0, 0
	for _, k := range w.workers {
		k.cut, k.cutFrom, k.paused, k.failing, k.ignoring = false, "", false, false, false
		if k.down {
			w.restartWorker(k)
		}
	}
	for _, v := range w.vms {
		if v.paused {
			w.resume(v)
		}
		if !v.alive {
			w.startVM(v)
		}
	}
}

// TestWhateverFailsWhatMustHoldDoes lets anything fail at any moment. The world
// checks itself after every event; when all has healed, every job ends.
func TestWhateverFailsWhatMustHoldDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.run(5 * time.Second)
		w.lossy = rapid.IntRange(0, 20).Draw(t, "lossy")
		for n := range rapid.IntRange(1, 25).Draw(t, "steps") {
			disturb(t, w, n)
			w.run(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
			explain(t, w)
		}
		heal(w)
		for n := 0; n < 40 && len(w.ends()) < len(w.accepted); n++ {
			w.run(15 * time.Second)
			explain(t, w)
		}
		ends := w.ends()
		for id := range w.accepted {
			e, ok := ends[id]
			if !ok {
				t.Fatalf("job %s does not end: %+v; %s", id, w.status(id), w.why(id))
			}
			if e.Outcome == reducer.OutcomeRefused && w.starts[id+"/0"] > 0 {
				t.Fatalf("job %s was refused though it ran", id)
			}
			if e.Outcome == reducer.OutcomeSucceeded && w.running[fmt.Sprintf("%s/%d", id, e.Attempt)].IsZero() {
				t.Fatalf("job %s has succeeded though it never ran whole", id)
			}
		}
	})
}

// explain checks that the leader has a reason for each job that does not run.
func explain(t *rapid.T, w *world) {
	if len(w.broken) > 0 {
		t.Fatalf("%v", w.broken)
	}
	v := w.leader()
	if v == nil {
		return
	}
	for _, s := range v.state.Jobs() {
		if v.state.Why(w.now, s.Job.ID) == "" {
			t.Fatalf("job %s is %s without a reason", s.Job.ID, s.Phase)
		}
	}
}

// TestGuaranteesComeBackInTime fills all workers with borrowed work, lets what a
// borrower or the log can do go wrong, and calls the guarantee back.
func TestGuaranteesComeBackInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.run(5 * time.Second)
		for n := range rapid.IntRange(1, 8).Draw(t, "borrowers") {
			j := drawJob(t, n)
			j.Organisation, j.DeclaredRun, j.Payload = "other", time.Hour, "1h"
			j.NonIdempotent = false
			_ = w.submit(j)
		}
		w.run(time.Duration(rapid.IntRange(1000, 30000).Draw(t, "ms")) * time.Millisecond)
		for _, k := range w.workers {
			k.ignoring = rapid.Bool().Draw(t, "ignoring")
		}
		w.lossy = rapid.IntRange(0, 10).Draw(t, "lossy")
		own := drawJob(t, 100)
		own.Organisation, own.NonIdempotent = "owner", false
		own.Gang.Tasks = min(own.Gang.Tasks, 4)
		own.Gang.Adjacency = placer.AdjacencyWorker
		own.DeclaredRun, own.Payload = time.Hour, "1h"
		_ = w.submit(own)
		w.run(300 * time.Millisecond)
		w.logDown = rapid.Bool().Draw(t, "log-down")
		w.run(40 * time.Second)
		explain(t, w)
		s := w.status(own.ID)
		if took := s.Started.Sub(w.accepted[own.ID]); s.Phase != reducer.PhaseRunning || took > 30*time.Second {
			t.Fatalf("guaranteed job is %s since %s: %s", s.Phase, took, w.why(own.ID))
		}
		if own.Class == reducer.ClassUrgent && w.lossy == 0 && s.Started.Sub(w.accepted[own.ID]) > time.Second {
			t.Fatalf("urgent job took %s", s.Started.Sub(w.accepted[own.ID]))
		}
	})
}

// TestOneLeaderAsksForNothingThatIsHeld lets nothing fail: then no worker ever
// refuses a lease for want of room.
func TestOneLeaderAsksForNothingThatIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.run(5 * time.Second)
		for n := range rapid.IntRange(1, 15).Draw(t, "jobs") {
			_ = w.submit(drawJob(t, n))
			w.run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		}
		w.run(time.Minute)
		if w.noRoom > 0 || len(w.broken) > 0 {
			t.Fatalf("%d leases had no room; %v", w.noRoom, w.broken)
		}
	})
}
