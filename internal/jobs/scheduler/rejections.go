package scheduler

import "time"

const (
	// soleRejectionTime is the time in which a reachable worker has accepted a new leader, if any
	// accepts it.
	soleRejectionTime = time.Second

	rejectedRetryDelay   = 500 * time.Millisecond // before a worker that has rejected the fencing token is asked again; its token only falls when it restarts
	maxRejectedDoublings = 6                      // of rejectedRetryDelay, up to 32 s
)

// Resign ends the leadership, as workers agree that there is a newer leader.
type Resign struct{ Rejecting int }

func (Resign) isEffect() {}

// noteRejection records that a worker has rejected the fencing token of this leader.
//
// The rejected call has had no effect, so the worker is treated like one that calls do not
// reach: it gets no starts until it accepts a hold, its runs are kept until their leases have
// expired, and a recovery waits for it as for a silent one. A newer leader that has fenced it
// does the same with a worker that only this leader reaches. So the rejection of one worker need
// not end the leadership: it may belong to another system. The topic of claims ends the
// leadership if there is a newer leader.
func (s *Scheduler) noteRejection(now time.Time, w *worker) {
	if w.rejections == 0 {
		s.logDecision(Decision{Message: "worker rejects the fencing token", Counter: "fencing-rejections", Worker: w.ID, Details: Details{"accepted-before": w.accepted, detailRuns: len(w.runs)}})
	}
	w.rejections++
	w.fenced = false
	w.noteFailedCall(now)
	s.touch(w)
	if n := s.agreeingRejections(now); n > 0 && !s.resigned {
		s.resigned = true
		s.emit(Resign{Rejecting: n})
	}
}

// noteRejectedStart records the rejection of a start, and returns what is known of the start: the
// rejected call has had no effect, but an earlier try may have had one.
func (s *Scheduler) noteRejectedStart(now time.Time, w *worker, e StartResult) StartResult {
	if e.Outcome != OutcomeFenced {
		return e
	}
	s.noteRejection(now, w)
	e.ClockMS = 0
	if e.Unanswered {
		e.Outcome = OutcomeUnknown
	}
	return e
}

// agreeingRejections returns how many workers reject the fencing token if they prove a newer
// leader, else 0: several that have accepted it before, and most of all such workers; or most
// of all workers, if none accepts it in the time in which one would. Then nothing can be lost,
// and a new claim has a higher token.
func (s *Scheduler) agreeingRejections(now time.Time) int {
	listed, accepted, rejecting, lost := 0, 0, 0, 0
	for _, w := range s.workers {
		if w.listed {
			listed++
		}
		if w.accepted {
			accepted++
		}
		if w.rejections > 0 {
			rejecting++
			if w.accepted {
				lost++
			}
		}
	}
	switch {
	case lost > 1 && 2*lost > accepted:
		return lost
	case lost == accepted && 2*rejecting > listed && now.Sub(s.LeadingSince) >= soleRejectionTime:
		return rejecting
	default:
		return 0
	}
}

// acceptedBy records that a worker has accepted the fencing token of this leader.
func (w *worker) acceptedBy() { w.accepted, w.rejections = true, 0 }

// forgetRejections forgets what the previous instance of a worker answered.
func (w *worker) forgetRejections() { w.accepted, w.rejections = false, 0 }

// rejectedPause returns how long a worker that rejects the fencing token is left alone, zero
// for one that does not.
func (w *worker) rejectedPause() time.Duration {
	if w.rejections == 0 {
		return 0
	}
	return rejectedRetryDelay << min(w.rejections-1, maxRejectedDoublings)
}
