package scheduler

import (
	"slices"
	"time"
)

// recover ends the recovery once every worker that an earlier leader may have
// used was heard, or its leases must have run out.
func (s *Scheduler) recover(now time.Time) {
	if !s.recovering || len(s.order) == 0 {
		return
	}
	limit := s.Settings.Lease*100/slowClockPercent + lapseSlack
	over := now.Sub(s.Began) > limit
	unheard, lapsed := false, false
	for _, id := range s.order {
		w := s.workers[id]
		unheard = unheard || !w.fenced
		lapsed = lapsed || w.lapsedSilent()
	}
	if unheard && !over {
		if lapsed {
			s.lookAtMachines(now)
		}
		return
	}
	s.recovering = false
	s.passDue = true
	s.note(Noted{Message: "recovery ended", Details: Details{"epoch": s.Epoch, "after-ms": now.Sub(s.Began).Milliseconds(), "timed-out": over}})
}

// lapsedSilent reports whether the worker is not on the list any more and has not
// answered this leader.
func (w *worker) lapsedSilent() bool { return !w.listed && !w.fenced && !w.silent.IsZero() }

// lookAtMachines asks for the machines unless that was done a moment ago.
func (s *Scheduler) lookAtMachines(now time.Time) {
	if s.listing || now.Sub(s.machinesAt) < listPause {
		return
	}
	s.listing = true
	s.machinesAt = now
	s.emit(ListMachines{})
}

// dropGone forgets lapsed workers that no machine is any more: what ran there has
// ended, and the recovery need not wait for their leases.
func (s *Scheduler) dropGone() {
	if !s.recovering {
		return
	}
	up := map[string]bool{}
	for _, m := range s.machines {
		if m.Up {
			up[m.Worker] = true
		}
	}
	s.order = slices.DeleteFunc(s.order, func(id string) bool {
		if !s.workers[id].lapsedSilent() || up[id] {
			return false
		}
		s.note(Noted{Message: "lapsed worker is gone", Worker: id, Details: Details{"machines": len(s.machines)}})
		delete(s.workers, id)
		return true
	})
}
