package scheduler

import "time"

// listReturn is how long after an outage of the store the list may lack workers that
// live: the platform says two seconds, and the list is read every 350 ms.
const listReturn = 2500 * time.Millisecond

// recover ends the recovery once every worker that an earlier leader may have
// used was heard, or its leases must have run out.
func (s *Scheduler) recover(now time.Time) {
	if !s.recovering || (len(s.order) == 0 && s.allListed(now)) {
		return
	}
	limit := s.Settings.Lease*100/slowClockPercent + s.Settings.lapseSlack()
	over := now.Sub(s.Began) > limit
	unheard, left := false, false
	for _, id := range s.order {
		w := s.workers[id]
		unheard = unheard || !w.fenced && !w.gone
		left = left || w.mayHaveLeft()
	}
	if unheard && !over {
		if left {
			s.lookAtMachines(now)
		}
		return
	}
	if !s.allListed(now) {
		s.lookAtMachines(now)
		return
	}
	s.recovering = false
	s.passDue = true
	s.note(Noted{Message: "recovery ended", Details: Details{"epoch": s.Epoch, "after-ms": now.Sub(s.Began).Milliseconds(), "timed-out": over}})
}

// allListed reports whether the list names the workers of all machines that are up.
// While the store is away all entries may lapse at once, and a new leader that claims
// right after its return would know of none of the workers that run something.
func (s *Scheduler) allListed(now time.Time) bool {
	if !s.Settings.Machines || now.Sub(s.Began) > listReturn {
		return true
	}
	if s.machines == nil {
		return false
	}
	for _, m := range s.machines {
		if _, ok := s.workers[m.Worker]; !ok && m.Up && m.Worker != "" {
			return false
		}
	}
	return true
}

// mayHaveLeft reports whether the worker has not answered this leader and is not on
// the list any more, or said that it would leave: its entry outlives it by seconds.
func (w *worker) mayHaveLeft() bool {
	return (!w.listed || w.Draining) && !w.fenced && !w.gone && !w.silent.IsZero()
}

// lookAtMachines asks for the machines unless that was done a moment ago.
func (s *Scheduler) lookAtMachines(now time.Time) {
	if s.listing || now.Sub(s.machinesAt) < listPause {
		return
	}
	s.listing = true
	s.machinesAt = now
	s.emit(ListMachines{})
}

// findGone finds workers that left and that no machine is any more: what ran there has
// ended, and the recovery need not wait for their leases.
func (s *Scheduler) findGone() {
	if !s.recovering {
		return
	}
	up := map[string]bool{}
	for _, m := range s.machines {
		if m.Up {
			up[m.Worker] = true
		}
	}
	for _, id := range s.order {
		w := s.workers[id]
		if !w.mayHaveLeft() || up[id] {
			continue
		}
		w.gone = true
		s.note(Noted{Message: "worker that left is gone", Worker: id, Details: Details{"machines": len(s.machines), "listed": w.listed}})
	}
}
