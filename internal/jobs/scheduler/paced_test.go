package scheduler_test

import (
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

const (
	tailTarget = 100             // milliseconds, of all tasks that serve
	harmTime   = 4 * time.Second // for which a tail may be over its target while fillers work beside it
)

// fillers returns the paces of the fillers on a worker, in percent of a whole one.
func (v *fakeWorker) fillers(w *world) int {
	n := 0
	for id, r := range v.runs {
		if w.taskStep(id).Fills {
			n += r.pace
		}
	}
	return n
}

// tailNow returns the tail of the tasks that serve on a worker, in milliseconds.
func (v *fakeWorker) tailNow(w *world) int { return v.baseTail + v.fillerDelay*v.fillers(w)/100 }

// pace carries out a change of pace.
func (w *world) pace(f scheduler.Pace) scheduler.Paced {
	e := scheduler.Paced{Pace: f, Outcome: scheduler.OutcomeDone}
	if o, ok := w.reach(f.Worker); !ok {
		e.Outcome = o
		return e
	}
	w.paces++
	if r, ok := w.workers[f.Worker].runs[f.Task]; ok && r.run == f.Run {
		r.pace = f.Percent
	}
	return e
}

// harmed notes that fillers worked on beside a task whose tail was over its target
// for too long because of them.
func (w *world) harmed(v *fakeWorker, id scheduler.TaskID, r *fakeRun) {
	if !w.taskStep(id).Serves {
		return
	}
	if v.tailNow(w) <= tailTarget || v.baseTail > tailTarget {
		r.overSince = time.Time{}
		return
	}
	if r.overSince.IsZero() {
		r.overSince = w.now
	}
	if w.now.Sub(r.overSince) >= harmTime {
		w.broken = fmt.Sprintf("the tail of task %v is over its target because of fillers", id)
	}
}
