package scheduler

import "time"

// An end is acknowledged by its number, and a restarted worker numbers its ends from 1
// again, so a number must not reach an instance that has an end of its own that this leader
// has not read. Right after an answer the worker cannot have restarted and ended a run. For
// longer after it, a new instance has no end either if nothing was started on it: all starts
// since then were answered by the instance that is known. Without the longer time, a leader
// that is late could acknowledge nothing, and would look at each worker again and again.
const (
	maxAckAge        = 100 * time.Millisecond // since the answer; a worker takes longer to restart and end a task
	maxKnownAckAge   = 2 * time.Second        // the same if nothing can have been started on a new instance
	maxKnownAckDelay = 300 * time.Millisecond // between the decision and the call in that case: a later start may reach a new instance
	clockSetBack     = 2000                   // milliseconds by which the clock in an answer goes back after a restart, but not for answers that overtake each other
)

// mayAcknowledge reports whether ends of the worker may be acknowledged now, and for how
// long after now the call may still be sent.
func (s *Scheduler) mayAcknowledge(now time.Time, w *worker) (time.Duration, bool) {
	age := elapsed(now, w.answeredAt)
	switch {
	case age <= maxAckAge:
		return maxAckAge, true
	case age > maxKnownAckAge, w.openStarts > 0, w.clockWentBack, now.Sub(s.LeadingSince) <= s.Settings.Lease:
		return 0, false
	}
	return maxKnownAckDelay, w.unansweredStartAt.IsZero() || now.Sub(w.unansweredStartAt) > s.Settings.Lease
}

// noteStartAnswer records that the start of a run was answered, or that its answer was
// lost.
func (w *worker) noteStartAnswer(now time.Time, p *placement, e StartResult) {
	p.tryOpen = e.Unanswered
	if e.Outcome == OutcomeUnknown {
		w.unansweredStartAt = now
		return
	}
	if p.startOpen {
		p.startOpen = false
		w.openStarts--
	}
	if e.ClockMS != 0 && e.ClockMS+clockSetBack < w.clockMS {
		w.clockWentBack = true
	}
}

// At returns the hold as it is to be sent now. An old acknowledgement is omitted:
// this VM may have been paused and the worker restarted, in which case the number
// refers to another end.
func (h Hold) At(now time.Time) Hold {
	if elapsed(now, h.DecidedAt) > h.MaxAckDelay {
		h.Ack = 0
	}
	return h
}
