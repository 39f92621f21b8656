package scheduler_test

import (
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

const (
	tailTargetMS      = 100             // of all serving tasks
	maxOverTargetTime = 4 * time.Second // for which a tail latency may exceed its target while fillers run beside the task
)

// totalFillerPace returns the sum of the paces of the fillers on a worker, in
// percent of one at full pace.
func (v *fakeWorker) totalFillerPace(w *world) int {
	n := 0
	for id, r := range v.runs {
		if w.taskStep(id).Filler {
			n += r.pace
		}
	}
	return n
}

// tailMS returns the tail latency of the serving tasks on a worker.
func (v *fakeWorker) tailMS(w *world) int { return v.baseTail + v.fillerDelay*v.totalFillerPace(w)/100 }

// setPace executes a change of the pace of a run.
func (w *world) setPace(f scheduler.Pace) scheduler.PaceResult {
	e := scheduler.PaceResult{Pace: f, Outcome: scheduler.OutcomeDone}
	if o, ok := w.reachable(f.Worker); !ok {
		e.Outcome = o
		return e
	}
	w.paceChanges++
	if r, ok := w.workers[f.Worker].runs[f.Task]; ok && r.run == f.Run {
		r.pace = f.Percent
	}
	return e
}

// checkTail records a violation if fillers have kept the tail latency of a serving
// task above its target for maxOverTargetTime.
func (w *world) checkTail(v *fakeWorker, id scheduler.TaskID, r *fakeRun) {
	if !w.taskStep(id).Serving {
		return
	}
	if v.tailMS(w) <= tailTargetMS || v.baseTail > tailTargetMS {
		r.overSince = time.Time{}
		return
	}
	if r.overSince.IsZero() {
		r.overSince = w.now
	}
	if w.now.Sub(r.overSince) >= maxOverTargetTime {
		w.violation = fmt.Sprintf("fillers keep the tail latency of task %v above its target", id)
	}
}
