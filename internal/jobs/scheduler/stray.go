package scheduler

import (
	"slices"
	"time"
)

// strayPatience is how long a run of a job that was not read yet is left alone. A
// read of the store that went silent is given up after 2.2 s.
const strayPatience = 3 * time.Second

// stray is the end of a run of a job that was not read yet: an earlier leader has
// read the job before this one. The end is not acknowledged meanwhile.
type stray struct {
	end End
	at  time.Time // when it was listed
}

// keepStray keeps the end of a run of an unknown job until the job is read.
func (s *Scheduler) keepStray(now time.Time, w *worker, e End) {
	w.strays = append(w.strays, stray{e, now})
	s.note(Noted{Message: "run of a job that was not read yet has ended", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.ID, Details: Details{"how": e.How, "end": e.Number}})
}

// acknowledgeable returns the last end on the worker up to which all may be acknowledged
// once what is known is stored.
func (w *worker) acknowledgeable() int64 {
	if len(w.strays) > 0 {
		return min(w.seen, w.strays[0].end.Number-1)
	}
	return w.seen
}

// adoptStray leaves a run of an unknown job alone. Its worker gets no new tasks
// meanwhile, as nobody knows how much room the run takes.
func (s *Scheduler) adoptStray(now time.Time, w *worker, p *placement) {
	p.stray = now
	w.strayRuns++
	s.note(Noted{Message: "run of a job that was not read yet", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID})
}

// claimStrays takes over what workers have listed of a job that is read now, before
// any of its tasks is placed.
func (s *Scheduler) claimStrays(now time.Time, id string) {
	for _, name := range s.order {
		w := s.workers[name]
		for _, p := range w.sorted() {
			if p.stray.IsZero() || p.task.Job != id {
				continue
			}
			w.remove(p)
			s.adopt(now, w, Running{Task: s.canonical(p.task), Run: p.run, Percent: p.percent})
		}
		w.strays = slices.DeleteFunc(w.strays, func(v stray) bool {
			if v.end.Task.Job != id {
				return false
			}
			v.end.Task = s.canonical(v.end.Task)
			s.takeEnd(now, w, v.end)
			return true
		})
	}
}

// dropStrays gives up on jobs that nobody has stored, or that were dropped long ago.
func (s *Scheduler) dropStrays(now time.Time, w *worker) {
	old := func(at time.Time) bool { return now.Sub(at) > strayPatience }
	w.strays = slices.DeleteFunc(w.strays, func(v stray) bool { return old(v.at) })
	if w.strayRuns == 0 {
		return
	}
	for _, p := range w.sorted() {
		if !p.stray.IsZero() && old(p.stray) {
			s.note(Noted{Message: "run is not wanted", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID})
			s.stop(now, w, p)
		}
	}
}
