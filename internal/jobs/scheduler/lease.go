package scheduler

import "time"

// A new leader waits for one lease from its claim before it concludes that runs on a worker
// that does not answer have ended. So no lease that this leader grants may last for longer
// than one lease after the latest time at which no other VM can have claimed the leadership.

// maxLookAge is the age of a worker's last answer up to which it cannot have restarted since.
const maxLookAge = 500 * time.Millisecond

// unconfirmedFor returns for how long another VM may have been the leader.
func (s *Scheduler) unconfirmedFor(now time.Time) time.Duration {
	d := elapsed(now, s.ConfirmedAt) - confirmWindow
	if s.released {
		d = max(d, elapsed(now, s.releasedAt))
	}
	return max(0, d)
}

// leaseDeadline returns the latest end of a lease that may be granted now, on the worker's
// clock.
func (s *Scheduler) leaseDeadline(now time.Time, w *worker) int64 {
	return w.minClock(now) + (s.Settings.Lease - s.unconfirmedFor(now)).Milliseconds()
}

// mayStart reports whether leases may still be granted for long enough to start tasks.
func (s *Scheduler) mayStart(now time.Time) bool {
	d := s.unconfirmedFor(now)
	return d == 0 || s.Settings.Lease-d >= s.Settings.startWindow()
}

// needsLook reports whether a worker must answer before a task is started on it: another VM
// may lead, and the worker may have restarted, in which case it rejects no earlier leader.
func (s *Scheduler) needsLook(now time.Time, w *worker) bool {
	return s.unconfirmedFor(now) > 0 && elapsed(now, w.answeredAt) > maxLookAge
}

// maxStartDelay returns for how long after now a start on a worker may reach it, not 0: until
// the end of the time in which no other VM can lead, or until the worker may have restarted.
func (s *Scheduler) maxStartDelay(now time.Time, w *worker) time.Duration {
	d := maxLookAge - elapsed(now, w.answeredAt)
	if !s.released {
		d = max(d, confirmWindow-elapsed(now, s.ConfirmedAt))
	}
	return max(d, time.Millisecond)
}

// Late reports whether the start must not reach its worker any more: this VM may have been
// paused, another one may lead, and the worker may have restarted.
func (f Start) Late(now time.Time) bool { return f.TimeLeft(now) < 0 }

// TimeLeft returns for how long the start may still reach its worker.
func (f Start) TimeLeft(now time.Time) time.Duration {
	if f.MaxDelay == 0 {
		return time.Hour
	}
	return f.MaxDelay - elapsed(now, f.DecidedAt)
}

// WithRelease returns the start as it may be sent once the leadership is released.
func (f Start) WithRelease() Start {
	f.MaxDelay = min(f.MaxDelay, maxLookAge)
	return f
}
