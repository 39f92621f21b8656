package scheduler

import "time"

// confirmWindow is how long nobody else can have become the leader after this VM
// sent a renewal that the store has taken: others wait for 2.6 s without one.
const confirmWindow = 2400 * time.Millisecond

// Confirmed says that the store has taken a claim or a renewal of this leadership.
type Confirmed struct{ Sent time.Time }

func (Confirmed) isEvent() {}

// confirm takes in that this VM still led when a renewal was sent.
func (s *Scheduler) confirm(e Confirmed) {
	if !e.Sent.After(s.Confirmed) {
		return
	}
	s.Confirmed = e.Sent
	for _, w := range s.workers {
		s.makeSure(&w.doubt)
	}
	for _, j := range s.active {
		s.makeSure(&j.doubt)
	}
	s.passDue = true
}

// doubt returns now when another VM may lead by now, else zero. What this VM learns
// then is not acted upon until a renewal succeeds: a later leader does not expect
// that a job which it read first, or a worker that began a new life and obeys
// anybody, was used by an earlier one.
func (s *Scheduler) doubt(now time.Time) time.Time {
	if elapsed(now, s.Confirmed) > confirmWindow {
		return now
	}
	return time.Time{}
}

// makeSure ends a doubt that began before the last confirmation went stale.
func (s *Scheduler) makeSure(doubt *time.Time) {
	if !doubt.IsZero() && elapsed(*doubt, s.Confirmed) <= confirmWindow {
		*doubt = time.Time{}
	}
}

// elapsed returns the time from a to b by the clock that shows more: the steady one
// stands still while a VM is suspended, and the time of day may be set back.
func elapsed(b, a time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}
