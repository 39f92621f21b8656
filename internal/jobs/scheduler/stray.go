package scheduler

import (
	"slices"
	"time"
)

// orphanTimeout is how long orphaned runs and ends are kept. A read of the store
// without an answer is abandoned after 2.2 s.
const orphanTimeout = 3 * time.Second

// orphanEnd is the end of a run whose job this leader has not read yet, although an
// earlier one has. It is not acknowledged until the job is read.
type orphanEnd struct {
	end      End
	listedAt time.Time
}

// keepOrphanEnd keeps the end of an orphaned run until its job is read.
func (s *Scheduler) keepOrphanEnd(now time.Time, w *worker, e End) {
	w.orphanEnds = append(w.orphanEnds, orphanEnd{e, now})
	s.tracking.orphaned[w.ID] = w
	s.logDecision(Decision{Message: "orphaned run ended: its job has not been read yet", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.ID, Details: Details{"how": e.Reason, "end": e.Number}})
}

// lastAckable returns the number of the last end up to which all may be acknowledged
// once the current progress is stored.
func (w *worker) lastAckable() int64 {
	last := w.handledEnd
	if len(w.orphanEnds) > 0 {
		last = min(last, w.orphanEnds[0].end.Number-1)
	}
	if w.withheldEnd != 0 {
		last = min(last, w.withheldEnd-1)
	}
	return last
}

// keepOrphanRun keeps a run until its job is read. Its worker gets no new tasks
// meanwhile, as the run's resources are unknown.
func (s *Scheduler) keepOrphanRun(now time.Time, w *worker, p *placement) {
	p.orphanSince = now
	w.orphanRuns++
	s.tracking.orphaned[w.ID] = w
	s.logDecision(Decision{Message: "orphaned run found: its job has not been read yet", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID})
}

// adoptOrphans adopts the orphaned runs and ends of a job that has been read, before
// any of its tasks is placed.
func (s *Scheduler) adoptOrphans(now time.Time, id string) {
	for _, w := range sortedWorkers(s.tracking.orphaned) {
		for _, p := range w.sortedRuns() {
			if p.orphanSince.IsZero() || p.task.Job != id {
				continue
			}
			s.removeRun(w, p)
			s.adopt(now, w, Running{Task: s.canonicalID(p.task), Run: p.run, Percent: p.percent})
		}
		w.orphanEnds = slices.DeleteFunc(w.orphanEnds, func(v orphanEnd) bool {
			if v.end.Task.Job != id {
				return false
			}
			v.end.Task = s.canonicalID(v.end.Task)
			s.handleEnd(now, w, v.end)
			return true
		})
		s.forgetOrphaned(w)
	}
}

// dropOrphans drops the ends, and stops the runs, whose jobs were not read within
// orphanTimeout: jobs that were never stored or were deleted long ago. It keeps all while a
// partition of the stored jobs has not been read.
func (s *Scheduler) dropOrphans(now time.Time, w *worker) {
	if s.JobsUnread || (w.orphanRuns == 0 && len(w.orphanEnds) == 0) {
		return
	}
	defer s.forgetOrphaned(w)
	timedOut := func(at time.Time) bool {
		return now.Sub(at) > orphanTimeout && now.Sub(s.jobsReadAt) > orphanTimeout
	}
	w.orphanEnds = slices.DeleteFunc(w.orphanEnds, func(v orphanEnd) bool { return timedOut(v.listedAt) })
	if w.orphanRuns == 0 {
		return
	}
	for _, p := range w.sortedRuns() {
		if !p.orphanSince.IsZero() && !p.stopping && timedOut(p.orphanSince) {
			s.logDecision(Decision{Message: "unwanted run is stopped", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID})
			s.stopRun(now, w, p)
		}
	}
}

// forgetOrphaned updates the indexes after orphaned runs or ends of a worker were handled.
func (s *Scheduler) forgetOrphaned(w *worker) {
	s.noteEnds(w)
	s.touch(w)
	if w.orphanRuns == 0 && len(w.orphanEnds) == 0 {
		delete(s.tracking.orphaned, w.ID)
	}
}
