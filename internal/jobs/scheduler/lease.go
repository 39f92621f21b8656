package scheduler

import "time"

// A new leader waits for one lease from its claim before it concludes that runs on a worker
// that does not answer have ended. So no lease that this leader grants may last for longer
// than one lease after the latest time at which no other VM can have claimed the leadership.

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
