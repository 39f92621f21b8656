package scheduler

import (
	"math"
	"time"
)

// wasteCause is the reason why work was lost. It names the counter of the lost core-seconds.
type wasteCause string

// The causes of lost work.
const (
	wastePreemptedGuarantee wasteCause = "wasted-preempted-guarantee" // stopped for an urgent job within its organisation's guarantee
	wastePreempted          wasteCause = "wasted-preempted"           // stopped for an urgent job outside it, or for a serving task
	wasteGangBroken         wasteCause = "wasted-gang-broken"         // another member of its gang was lost
	wasteCopy               wasteCause = "wasted-copy"                // another run of the task counts
	wasteMoved              wasteCause = "wasted-moved"               // stopped to restart on another worker
	wasteLapsed             wasteCause = "wasted-lapsed"              // given up, or lost with its worker
	wasteFailed             wasteCause = "wasted-failed"              // it failed, or its job did
	wasteCancelled          wasteCause = "wasted-cancelled"           // its job was cancelled

	wasteNone wasteCause = ""
)

// minWaste is the number of core-seconds from which lost work is reported.
const minWaste = 0.5

// blameStop notes why a run is being stopped, if that is not known yet.
func (p *placement) blameStop(cause wasteCause) {
	if p.stopCause == wasteNone && !p.stopping {
		p.stopCause = cause
	}
}

// blameGangStop notes why the members of a gang are being stopped.
func (s *Scheduler) blameGangStop(p *placement, cause wasteCause) {
	s.eachMember(p, func(_ *worker, m *placement) { m.blameStop(cause) })
}

// lostSeconds returns for how long a run has worked since its checkpoint, or since its start.
// Work of an adopted run that an earlier leader saw is not included.
func (s *Scheduler) lostSeconds(now time.Time, st *step, p *placement) float64 {
	if p.confirmedAt.IsZero() {
		return 0
	}
	since := p.confirmedAt
	if t := st.primary(p.task.Index); t.savedRun == p.run && t.savedAt.After(since) {
		since = t.savedAt
	}
	return max(0, now.Sub(since).Seconds())
}

// noteCheckpoint records the newest checkpoint of a run as of a report of its worker.
func (t *task) noteCheckpoint(now time.Time, run int64, checkpoint string) {
	if checkpoint != t.checkpoint {
		t.savedRun, t.savedAt = run, now
	}
	t.checkpoint = checkpoint
}

// countEndedWaste counts the work that is lost with a run that has ended.
func (s *Scheduler) countEndedWaste(now time.Time, w *worker, p *placement, e End) {
	j, st, t := s.findTask(e.Task)
	if t == nil || st.LongRunning {
		return
	}
	if primary := st.primary(e.Task.Index); e.Checkpoint != "" && e.Run >= primary.run && !s.mustNotCount(e) {
		primary.noteCheckpoint(now, e.Run, e.Checkpoint)
	}
	s.countWaste(now, w, p, s.endedCause(j, st, t, p, e))
}

// endedCause returns why the work of an ended run is lost, wasteNone if it counts.
func (s *Scheduler) endedCause(j *job, st *step, t *task, p *placement, e End) wasteCause {
	done := t.state == taskDone
	switch {
	case s.mustNotCount(e):
		return wasteLapsed
	case done && t.run == e.Run:
		return wasteNone // another member of its gang has ended for all
	case done:
		return wasteCopy
	case j.state.Ended():
		return j.endCause()
	}
	switch e.Reason {
	case EndReasonDone:
		return wasteNone
	case EndReasonFailed:
		return wasteFailed
	case EndReasonLeaseExpired:
		return wasteLapsed
	case EndReasonGangBroken, EndReasonGangTimeout:
		return s.stopCause(st, t, p, wasteGangBroken)
	case EndReasonStopped:
	}
	return s.stopCause(st, t, p, wasteMoved)
}

// stopCause returns why a run of an unfinished task was stopped.
func (*Scheduler) stopCause(st *step, t *task, p *placement, otherwise wasteCause) wasteCause {
	switch {
	case p.stopCause != wasteNone:
		return p.stopCause
	case t.copyRun == p.run:
		return wasteCopy
	case st.Gang && p.stopping:
		return wasteGangBroken
	default:
		return otherwise
	}
}

// endCause returns why the runs of an ended job are lost.
func (j *job) endCause() wasteCause {
	switch j.state {
	case StateCancelled:
		return wasteCancelled
	case StateFailed:
		return wasteFailed
	case StateCompleted, StateQueued, StateRunning:
	}
	return wasteCopy
}

// countLostWaste counts the work of a run that its worker no longer has.
func (s *Scheduler) countLostWaste(now time.Time, w *worker, p *placement) {
	j, st, t := s.findTask(p.task)
	switch {
	case t == nil || st.LongRunning || t.state == taskDone && t.run == p.run:
	case t.state == taskDone:
		s.countWaste(now, w, p, wasteCopy)
	case j.state.Ended():
		s.countWaste(now, w, p, j.endCause())
	default:
		s.countWaste(now, w, p, s.stopCause(st, t, p, wasteLapsed))
	}
}

// countWaste counts and logs the work that is lost with a run.
func (s *Scheduler) countWaste(now time.Time, w *worker, p *placement, cause wasteCause) {
	_, st, t := s.findTask(p.task)
	if t == nil || cause == wasteNone {
		return
	}
	lost := s.lostSeconds(now, st, p) * weightedCores(st.Need)
	if lost < minWaste {
		return
	}
	s.logDecision(Decision{
		Message: "work is lost", Counter: string(cause), Amount: int64(math.Round(lost)),
		Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID,
		Details: Details{"cause": cause, detailCoreSeconds: math.Round(lost), "checkpoint": t.savedRun == p.run},
	})
}
