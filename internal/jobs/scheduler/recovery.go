package scheduler

import (
	"slices"
	"time"
)

// checkRecovery ends the recovery once each worker that an earlier leader may have
// used has answered, has departed, or can hold no valid lease any more.
func (s *Scheduler) checkRecovery(now time.Time) {
	if !s.recovering {
		return
	}
	s.settle(now)
	unlisted, known := s.unlistedWorkers()
	if !s.ticked && len(s.tracking.unanswered) > 0 || (len(s.workerIDs) == 0 && known && len(unlisted) == 0) {
		return
	}
	expiry := s.Settings.Lease*100/minClockRatePercent + s.Settings.leaseEndSlack()
	timedOut := now.Sub(s.LeadingSince) > s.givesUpAfter(expiry)
	unanswered, anyLeft, endsFollow := false, false, false
	for _, w := range s.tracking.unanswered {
		endsFollow = endsFollow || w.listsFurtherEnds()
		unanswered = unanswered || !w.departed
		anyLeft = anyLeft || w.mayHaveLeft() || (w.refuses && !w.departed)
	}
	if unanswered && (!timedOut || endsFollow) {
		if anyLeft {
			s.requestMachines(now)
		}
		return
	}
	if (!known || len(unlisted) > 0) && !timedOut {
		s.requestMachines(now)
		return
	}
	unanswered = unanswered || !known || len(unlisted) > 0
	s.recovering = false
	s.placementDue = true
	s.holdInherited(now)
	if unanswered {
		s.abandonInherited()
	}
	s.recovery = recoveryEnd{at: now, unheard: unanswered}
	s.logDecision(Decision{Message: "recovery ended", Details: Details{
		"epoch": s.Epoch, detailAfterMS: now.Sub(s.LeadingSince).Milliseconds(), "timed-out": timedOut, "workers": len(s.workerIDs),
		"unheard": s.unheardWorkers(unlisted), "unheard-count": len(s.tracking.unanswered) + len(unlisted), "machines-known": known,
	}})
}

// holdInherited lets the jobs of earlier leaders wait for a renewal if another VM may lead: it
// may have acknowledged a success on a worker that has crashed since.
func (s *Scheduler) holdInherited(now time.Time) {
	since := s.unconfirmedSince(now)
	for _, j := range s.active {
		if j.inherited && j.unconfirmedSince.IsZero() && !j.runsUntilCancelled() {
			j.unconfirmedSince = since
		}
	}
}

// unlistedWorkers returns the workers of machines that are up and that the list of workers
// lacks, sorted, and false if the list of machines is not available. The entry of a worker
// expires if its heartbeats do not reach the store, although its runs continue, and all
// entries may expire during an outage of the store.
func (s *Scheduler) unlistedWorkers() ([]string, bool) {
	if !s.Settings.Machines {
		return nil, true
	}
	var all []string
	for _, m := range s.machines {
		if _, ok := s.workers[m.Worker]; !ok && m.Up && m.Worker != "" && !s.foreign.ids[m.Worker] {
			all = append(all, m.Worker)
		}
	}
	slices.Sort(all)
	return all, s.machines != nil
}

// hasListedAll reports whether the worker has answered a hold of this epoch and its last
// answer has listed all its runs and ends.
func (w *worker) hasListedAll() bool { return w.fenced && !w.endsMissing }

// listsFurtherEnds reports whether the worker will list the ends that its last answer may
// lack, once those before are stored.
func (w *worker) listsFurtherEnds() bool {
	return w.fenced && w.endsMissing && !w.listsNoFurtherEnds() && w.unresponsiveSince.IsZero()
}

// mayHaveLeft reports whether a worker that has not answered this leader may have
// left: it is unlisted or draining. The list keeps the entry of a worker for seconds
// after it left.
func (w *worker) mayHaveLeft() bool {
	return (!w.listed || w.Draining) && !w.fenced && !w.departed && !w.unresponsiveSince.IsZero()
}

// requestMachines asks for the list of machines, at most once per listInterval.
func (s *Scheduler) requestMachines(now time.Time) {
	if s.machinesInFlight || now.Sub(s.machinesAskedAt) < listInterval {
		return
	}
	s.machinesInFlight = true
	s.machinesAskedAt = now
	s.emit(ListMachines{})
}

// requestMachinesFor asks for the list of machines if a worker with runs refuses
// connections: a machine does not name a worker that has crashed, while one that is cut off
// still runs.
func (s *Scheduler) requestMachinesFor(now time.Time, w *worker) {
	if s.Settings.Machines && !w.departed && len(w.runs) > 0 && !s.manySilent() {
		s.requestMachines(now)
	}
}

// markGoneWorkers marks workers that no running machine has, if they refused connections
// before the list was requested or may have left before the recovery: their runs have
// ended, so nobody need wait for their leases.
func (s *Scheduler) markGoneWorkers(now time.Time) {
	up := map[string]bool{}
	for _, m := range s.machines {
		if m.Up {
			up[m.Worker] = true
		}
	}
	for _, id := range s.workerIDs {
		w := s.workers[id]
		refused := w.refuses && !w.departed && w.unresponsiveSince.Before(s.machinesAskedAt)
		left := s.recovering && w.mayHaveLeft()
		if up[id] || (!refused && !left) {
			continue
		}
		w.departed = true
		s.logDecision(Decision{Message: "departed worker has no machine any more", Worker: id, Details: Details{"machines": len(s.machines), "listed": w.listed, detailRuns: len(w.runs)}})
		s.noteCrash(now, w, evidenceNoMachine)
		for _, p := range w.sortedRuns() {
			if !p.startOpen { // else a try may reach the next instance
				s.giveUpRun(now, w, p, "no machine runs its worker any more")
			}
		}
		s.touch(w)
	}
}
