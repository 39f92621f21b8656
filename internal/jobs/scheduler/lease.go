package scheduler

import "time"

const (
	maxLookAge  = 500 * time.Millisecond // age of a worker's last answer up to which it cannot have restarted since
	minSendTime = 100 * time.Millisecond // for which a start may be sent; else it waits for an answer of its worker
)

// unconfirmedFor returns for how long another VM may have been the leader, 0 if none can be.
func (s *Scheduler) unconfirmedFor(now time.Time) time.Duration {
	d := elapsed(now, s.ConfirmedAt) - confirmWindow
	if s.released {
		d = max(d, elapsed(now, s.releasedAt))
	}
	return max(0, d)
}

// leaseDeadline returns the latest end of a lease that may be granted now, on the worker's
// clock. A new leader concludes one lease after its claim that nothing runs on a worker that it
// has not reached, so the lease is shortened by the time for which that leader may have waited.
func (s *Scheduler) leaseDeadline(now time.Time, w *worker) int64 {
	return max(0, w.minClock(now)+(s.Settings.Lease-s.unconfirmedFor(now)).Milliseconds())
}

// noteGrant records the latest end of a lease on a worker.
func (s *Scheduler) noteGrant(now time.Time, w *worker, deadlineMS int64) {
	w.leaseDeadlineMS = max(w.leaseDeadlineMS, deadlineMS)
	left := time.Duration(deadlineMS-w.minClock(now)) * time.Millisecond * 100 / minClockRatePercent
	if at := now.Add(left); at.After(s.grantedUntil) {
		s.grantedUntil = at
	}
}

// GrantedUntil returns the latest time, by this VM's clock, at which a lease that this leader
// has granted may end, the zero value for none. It must not be called while Reduce runs.
func (s *Scheduler) GrantedUntil() time.Time { return s.grantedUntil }

// mayStart reports whether leases may still be granted for long enough to start tasks.
func (s *Scheduler) mayStart(now time.Time) bool {
	d := s.unconfirmedFor(now)
	return d == 0 || s.Settings.Lease-d >= s.Settings.startWindow()
}

// needsLook reports whether a worker must answer before a task is started on it: another VM
// may lead, and the worker may have restarted, in which case it rejects no earlier leader.
func (s *Scheduler) needsLook(now time.Time, w *worker) bool {
	return s.maxStartDelay(now, w) < minSendTime
}

// maxStartDelay returns for how long after now a start on a worker may be sent: until the end of
// the time in which no other VM can lead, or until the worker may have restarted.
func (s *Scheduler) maxStartDelay(now time.Time, w *worker) time.Duration {
	d := maxLookAge - elapsed(now, w.answeredAt)
	if !s.released {
		d = max(d, confirmWindow-elapsed(now, s.ConfirmedAt))
	}
	return d
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
