package scheduler

import (
	"slices"
	"time"
)

// handleEnds handles the ends that a worker reports for the first time.
func (s *Scheduler) handleEnds(now time.Time, w *worker, ends []End) {
	for _, e := range ends {
		if e.Number <= w.handledEnd {
			continue
		}
		e.Task = s.canonicalID(e.Task)
		s.closeStart(e.Task, e.Run)
		w.handledEnd = e.Number
		s.storeSoon = true
		s.placementDue = true
		p, ok := w.runs[placementKey{e.Task, e.Run}]
		s.noteEnds(w)
		if ok {
			w.noteListedRun()
			s.noteBegun(p)
			if e.Reason == EndReasonDone {
				s.sampleRate(now, w, p, fullPercent)
			}
			s.countEndedWaste(now, w, p, e)
			s.removeRun(w, p)
		}
		if _, known := s.jobs[e.Task.Job]; !known {
			if !ok || !p.stopping {
				s.keepOrphanEnd(now, w, e)
			}
			continue
		}
		s.handleEnd(now, w, e)
	}
}

// handleEnd updates the task and job of an ended run.
func (s *Scheduler) handleEnd(now time.Time, w *worker, e End) {
	if s.mustNotCount(e) {
		s.withholdEnd(w, e)
		return
	}
	j, st, t := s.findTask(e.Task)
	if t == nil || j.state.Ended() {
		return
	}
	n := Decision{Message: "run ended", Job: j.ID, Task: e.Task, Run: e.Run, Worker: w.ID, Details: Details{"how": e.Reason, "end": e.Number}}
	if t.state == taskDone {
		n.Message = "run of a completed task ended"
		s.logDecision(n)
		return
	}
	s.logDecision(n)
	primary := st.primary(e.Task.Index)
	if e.Checkpoint != "" && e.Run >= primary.run {
		primary.checkpoint = e.Checkpoint
	}
	s.markDirty(j)
	if st.LongRunning {
		s.requeue(now, w, st, e)
		return
	}
	if e.Reason == EndReasonDone {
		w.clearFailures()
		s.handleSuccess(now, j, st, e)
		return
	}
	current := st.removeRun(e.Task.Index, w.ID, e.Run)
	if current {
		st.tasks[e.Task.Index].previous = listedEnd(now, w, e)
	}
	if e.Reason == EndReasonFailed {
		w.countFailure(now, j.ID)
		if !slices.Contains(st.failedWorkers, w.ID) {
			st.failedWorkers = append(st.failedWorkers, w.ID)
		}
		if n := st.recordFailure(e.Task.Index, e.Run); n >= j.queue.MaxAttempts {
			s.endJob(now, j, StateFailed, "a task has reached the queue's limit of attempts")
			return
		}
	}
	if st.Gang && current {
		s.stopGang(now, j, e.Task.Step, e.Run)
	}
}

// requeue lets a long-running task wait for another worker, however its run ended.
func (*Scheduler) requeue(now time.Time, w *worker, st *step, e End) {
	if e.Reason == EndReasonFailed {
		w.countFailure(now, e.Task.Job)
	}
	if st.removeRun(e.Task.Index, w.ID, e.Run) {
		st.tasks[e.Task.Index].requeuedAt = now
		st.tasks[e.Task.Index].previous = listedEnd(now, w, e)
	}
}

// handleSuccess records the success of a task or gang.
func (s *Scheduler) handleSuccess(now time.Time, j *job, st *step, e End) {
	t := &st.tasks[e.Task.Index]
	if t.state == taskPlaced && t.run != e.Run {
		s.stopTask(now, e.Task, t)
	}
	if t.copyRun != e.Run {
		s.stopCopy(now, e.Task, t)
	}
	t.run = e.Run
	st.markDone(e.Task.Index)
	if j.completed() {
		s.endJob(now, j, StateCompleted, "all tasks have succeeded")
	}
}

// stopGang stops the remaining members of a gang.
func (s *Scheduler) stopGang(now time.Time, j *job, step int, run int64) {
	st := j.steps[step]
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.state == taskPlaced && t.run == run {
			s.stopTask(now, TaskID{j.ID, step, i}, t)
		}
	}
}
