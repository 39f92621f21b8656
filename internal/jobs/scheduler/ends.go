package scheduler

import (
	"slices"
	"time"
)

func (s *Scheduler) takeEnds(now time.Time, w *worker, ends []End) {
	for _, e := range ends {
		if e.Number <= w.seen {
			continue
		}
		e.Task = s.canonical(e.Task)
		w.seen = e.Number
		s.hurry = true
		s.passDue = true
		p, ok := w.runs[placementKey{e.Task, e.Run}]
		if ok {
			w.remove(p)
		}
		if _, known := s.jobs[e.Task.Job]; !known {
			if !ok || !p.stopping {
				s.keepStray(now, w, e)
			}
			continue
		}
		s.takeEnd(now, w, e)
	}
}

// takeEnd draws the conclusions from the end of a run.
func (s *Scheduler) takeEnd(now time.Time, w *worker, e End) {
	j, st, t := s.find(e.Task)
	if t == nil || j.state.Ended() {
		return
	}
	n := Noted{Message: "run ended", Job: j.ID, Task: e.Task, Run: e.Run, Worker: w.ID, Details: Details{"how": e.How, "end": e.Number}}
	if t.state == taskDone {
		n.Message = "end of a run of a task that is done already"
		s.note(n)
		return
	}
	s.note(n)
	lead := st.lead(e.Task.Index)
	if e.Saved != "" && e.Run >= lead.run {
		lead.saved = e.Saved
	}
	j.dirty = true
	if st.Lasts {
		s.restart(w, t, e)
		return
	}
	if e.How == HowDone {
		w.absolve()
		s.succeed(now, j, st, e)
		return
	}
	current := t.drop(w.ID, e.Run)
	if e.How == HowFailed {
		w.blame(now, j.ID)
		if !slices.Contains(st.failedOn, w.ID) {
			st.failedOn = append(st.failedOn, w.ID)
		}
		if n := st.fail(e.Task.Index, e.Run); n >= j.queue.MaxAttempts {
			s.end(now, j, StateFailed, "a task failed as often as its queue allows")
			return
		}
	}
	if st.Gang && current {
		s.breakGang(now, j, e.Task.Step, e.Run)
	}
}

// restart lets a task that lasts wait for another worker, however it ended.
func (*Scheduler) restart(w *worker, t *task, e End) {
	if e.How == HowFailed {
		w.blame(w.clockAt, e.Task.Job)
	}
	t.drop(w.ID, e.Run)
}

// succeed notes that a task, or a gang, has done its work.
func (s *Scheduler) succeed(now time.Time, j *job, st *step, e End) {
	t := &st.tasks[e.Task.Index]
	if t.state == taskPlaced && t.run != e.Run {
		s.stopTask(now, e.Task, t)
	}
	if t.copyRun != e.Run {
		s.stopCopy(now, e.Task, t)
	}
	t.run = e.Run
	st.finish(e.Task.Index)
	if j.completed() {
		s.end(now, j, StateCompleted, "all tasks have succeeded")
	}
}

// breakGang stops the members of a gang that still run.
func (s *Scheduler) breakGang(now time.Time, j *job, step int, run int64) {
	st := j.steps[step]
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.state == taskPlaced && t.run == run {
			s.stopTask(now, TaskID{j.ID, step, i}, t)
		}
	}
}
