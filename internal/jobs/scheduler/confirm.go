package scheduler

import (
	"cmp"
	"time"
)

// confirmWindow is the time after a successful renewal was sent in which no other VM
// can have become leader: the others wait for 2.6 s without a renewal.
const confirmWindow = 2400 * time.Millisecond

// Confirmed reports that the store has accepted a claim or renewal of this
// leadership.
type Confirmed struct{ Sent time.Time }

// Released reports that this VM is about to release the leadership. Another VM may lead
// from then on, within less than confirmWindow, so this one starts nothing that it learns
// of later. It continues with the rest until another VM leads.
type Released struct {
	At time.Time // when the release began, before its record was sent; zero for now
}

func (Confirmed) isEvent() {}
func (Released) isEvent()  {}

// confirmLeadership records that this VM still led when a renewal was sent.
func (s *Scheduler) confirmLeadership(e Confirmed) {
	if s.released || !e.Sent.After(s.ConfirmedAt) {
		return
	}
	s.ConfirmedAt = e.Sent
	for _, w := range s.workers {
		if !w.unconfirmedSince.IsZero() {
			s.clearUnconfirmed(&w.unconfirmedSince)
			s.touch(w)
		}
	}
	for _, j := range s.active {
		s.clearUnconfirmed(&j.unconfirmedSince)
	}
	s.placementDue = true
}

// release records that another VM may lead from now on.
func (s *Scheduler) release(now time.Time, e Released) {
	if !s.released {
		s.released, s.releasedAt = true, cmp.Or(e.At, now)
	}
}

// unconfirmedSince returns now if another VM may have become leader, else zero. Jobs
// and restarted workers that are found in such a time are not used until a renewal
// succeeds: a later leader does not expect an earlier one to have used a job that
// the later one read first, or a restarted worker, which accepts commands of any
// leader.
func (s *Scheduler) unconfirmedSince(now time.Time) time.Time {
	if s.released || elapsed(now, s.ConfirmedAt) > confirmWindow {
		return now
	}
	return time.Time{}
}

// clearUnconfirmed clears the time if the last successful renewal covers it. A renewal that
// was sent later does, even if the wall clock was set back between the two.
func (s *Scheduler) clearUnconfirmed(since *time.Time) {
	if !since.IsZero() && (!s.ConfirmedAt.Before(*since) || elapsed(*since, s.ConfirmedAt) <= confirmWindow) {
		*since = time.Time{}
	}
}

// elapsed returns the time from a to b by the clock that advanced more: the
// monotonic clock stops while a VM is suspended, and the wall clock may be set back.
func elapsed(b, a time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}

// leastElapsed returns the time from a to b by the clock that advanced less.
func leastElapsed(b, a time.Time) time.Duration {
	return min(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}
