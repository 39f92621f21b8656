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

// drawCluster draws a cluster of VMs and workers with two organisations, one of which
// has a guarantee.
func drawCluster(t *rapid.T) *cluster {
	w := newCluster(rapid.IntRange(1, 3).Draw(t, "vms"), rapid.Uint64().Draw(t, "seed"))
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
	if rapid.Bool().Draw(t, "with-deadline") { // some are missed already, some while the job waits
		j.Deadline = time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC).Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline")) * time.Second)
	}
	j.Payload = j.DeclaredRun.String()
	if j.NonIdempotent {
		j.Payload += " once"
	}
	return j
}

// randomAction submits or cancels a job, or starts or ends one failure.
func randomAction(t *rapid.T, w *cluster, n int) {
	k := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
	v := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
	action := rapid.SampledFrom([]string{
		"submit", "submit", "submit", "cancel", "shrink", "log", "answers", "cut", "cut-from", "pause-worker", "worker", "fail", "ignore", "vm", "pause-vm",
	}).Draw(t, "what")
	switch action {
	case "submit":
		_ = w.submit(drawJob(t, n))
	case "cancel":
		id := fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(t, "job"))
		w.append(reducer.AppendRecord{Record: reducer.JobCancelled{
			Job: id, Organisation: w.status(id).Job.Organisation,
		}}, func(reducer.Event) {})
	case "shrink":
		k.table.Capacity.Accelerators = 3 // one of 4 devices fails
	case "log":
		w.logDown = !w.logDown
	case "answers":
		w.lostAppendAnswers = 3
	case "cut":
		k.unreachable = !k.unreachable
	case "cut-from":
		k.unreachableFrom = v.id
	case "pause-worker":
		k.paused = !k.paused
	case "worker":
		toggleWorker(w, k)
	case "fail":
		k.failing = !k.failing
	case "ignore":
		k.ignoresCheckpoints = !k.ignoresCheckpoints
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

func toggleWorker(w *cluster, k *fakeWorker) {
	if k.down {
		w.restartWorker(k)
		return
	}
	k.down = true
}

func toggleVM(w *cluster, v *vm) {
	if v.alive {
		v.alive = false
		return
	}
	w.startVM(v)
}

// endFailures ends all failures.
func endFailures(w *cluster) {
	w.logDown, w.lossPercent, w.lostAppendAnswers = false, 0, 0
	for _, k := range w.workers {
		k.unreachable, k.unreachableFrom, k.paused, k.failing, k.ignoresCheckpoints = false, "", false, false, false
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

// VMs, workers, the log and messages fail at random. The cluster checks the invariants
// after every event; once all failures have ended, every job must end.
func TestInvariantsHoldUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawCluster(t)
		w.run(5 * time.Second)
		w.lossPercent = rapid.IntRange(0, 20).Draw(t, "lossy")
		for n := range rapid.IntRange(1, 25).Draw(t, "steps") {
			randomAction(t, w, n)
			w.run(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
			checkReasons(t, w)
		}
		endFailures(w)
		for n := 0; n < 40 && len(w.ends()) < len(w.acceptedAt); n++ {
			w.run(15 * time.Second)
			checkReasons(t, w)
		}
		ends := w.ends()
		for id := range w.acceptedAt {
			e, ok := ends[id]
			if !ok {
				t.Fatalf("job %s did not end: %+v; %s", id, w.status(id), w.why(id))
			}
			if e.Outcome == reducer.OutcomeRefused && w.startCount[id+"/0"] > 0 {
				t.Fatalf("job %s was refused although it ran", id)
			}
			if e.Outcome == reducer.OutcomeSucceeded && w.completeAt[fmt.Sprintf("%s/%d", id, e.Attempt)].IsZero() {
				t.Fatalf("job %s has succeeded although its tasks never all ran", id)
			}
		}
	})
}

// checkReasons fails if an invariant was violated, or if the leader gives no reason for
// a job.
func checkReasons(t *rapid.T, w *cluster) {
	if len(w.violations) > 0 {
		t.Fatalf("%v", w.violations)
	}
	v := w.leader()
	if v == nil {
		return
	}
	for _, s := range v.state.Jobs() {
		if v.state.ExplainWait(w.now, s.Job.ID) == "" {
			t.Fatalf("job %s is %s without a reason", s.Job.ID, s.Phase)
		}
	}
}

// Guaranteed capacity that is lent out must be reclaimed within its bound, even if
// borrowers ignore checkpoints, commands are lost or the log is down.
func TestReclaimMeetsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawCluster(t)
		w.run(5 * time.Second)
		for n := range rapid.IntRange(1, 8).Draw(t, "borrowers") {
			j := drawJob(t, n)
			j.Organisation, j.DeclaredRun, j.Payload = "other", time.Hour, "1h"
			j.NonIdempotent = false
			_ = w.submit(j)
		}
		w.run(time.Duration(rapid.IntRange(1000, 30000).Draw(t, "ms")) * time.Millisecond)
		for _, k := range w.workers {
			k.ignoresCheckpoints = rapid.Bool().Draw(t, "ignoring")
		}
		w.lossPercent = rapid.IntRange(0, 10).Draw(t, "lossy")
		own := drawJob(t, 100)
		own.Organisation, own.NonIdempotent = "owner", false
		own.Gang.Tasks = min(own.Gang.Tasks, 4)
		own.Gang.Adjacency = placer.AdjacencyWorker
		own.DeclaredRun, own.Payload = time.Hour, "1h"
		_ = w.submit(own)
		w.run(300 * time.Millisecond)
		w.logDown = rapid.Bool().Draw(t, "log-down")
		w.run(40 * time.Second)
		checkReasons(t, w)
		s := w.status(own.ID)
		if took := s.Started.Sub(w.acceptedAt[own.ID]); s.Phase != reducer.PhaseRunning || took > 30*time.Second {
			t.Fatalf("guaranteed job is %s after %s: %s", s.Phase, took, w.why(own.ID))
		}
		if own.Class == reducer.ClassUrgent && w.lossPercent == 0 && s.Started.Sub(w.acceptedAt[own.ID]) > time.Second {
			t.Fatalf("urgent job started after %s", s.Started.Sub(w.acceptedAt[own.ID]))
		}
	})
}

// Without failures, a leader that accounts for all leases never sends a prepare that a
// worker refuses for lack of room.
func TestWithoutFailuresNoPrepareIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawCluster(t)
		w.run(5 * time.Second)
		for n := range rapid.IntRange(1, 15).Draw(t, "jobs") {
			_ = w.submit(drawJob(t, n))
			w.run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		}
		w.run(time.Minute)
		if w.noRoomCount > 0 || len(w.violations) > 0 {
			t.Fatalf("%d prepares were refused for lack of room; %v", w.noRoomCount, w.violations)
		}
	})
}
