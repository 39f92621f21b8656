package scheduler

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// urgentReclaimCost is the cost of stopping an urgent run beyond its organisation's guarantee, in
// core-seconds in addition to its work: such runs are stopped only if nothing else frees enough.
const urgentReclaimCost = 2 * longRunningCost

// reclaimWindow is the time after a search for urgent runs to stop in which work within a
// guarantee goes first: longer than a run takes to stop, and than the pause before another search.
const reclaimWindow = 2 * time.Second

// guaranteedFirst returns units in order of urgency, with urgent units within their guarantees
// before the others while a guarantee is being reclaimed from urgent runs. Without that, a run
// that was stopped, or an earlier job beyond its guarantee, would take the freed resources.
func (s *Scheduler) guaranteedFirst(now time.Time, units []unit) []unit {
	if s.reclaimedAt.IsZero() || now.Sub(s.reclaimedAt) >= reclaimWindow {
		return units
	}
	held := s.urgentAccelerators()
	var within, beyond []unit
	for i, u := range units {
		if !u.job.urgent() {
			return slices.Concat(within, beyond, units[i:])
		}
		n := held[u.job.Organisation] + u.step.waiting*u.step.Need.Accelerators
		if n > s.config.Guaranteed[u.job.Organisation] {
			beyond = append(beyond, u)
			continue
		}
		held[u.job.Organisation] = n
		within = append(within, u)
	}
	return append(within, beyond...)
}

// reclaimable returns what may be stopped only for work within a guarantee: long-running tasks
// and urgent runs of other organisations beyond their guarantees.
func (p *pass) reclaimable(u unit) []placer.Borrower {
	urgent := p.preemptibleUrgent(u)
	if len(urgent) > 0 {
		p.s.reclaimedAt = p.now
	}
	return append(p.preemptibleLongRunning(u), urgent...)
}

// urgentHolding is what a gang or a task of an urgent job holds.
type urgentHolding struct {
	placer.Borrower

	organisation string
	accelerators int
	run          int64 // the latest ones were started last
}

// preemptibleUrgent returns the urgent runs of other organisations that lie beyond their
// guarantees: the latest ones first, until an organisation holds no more than its guarantee.
// What would leave it less is included, or the guarantee of the other would not be met.
func (p *pass) preemptibleUrgent(u unit) []placer.Borrower {
	all := p.urgentHoldings(u)
	slices.SortStableFunc(all, func(a, b urgentHolding) int { return int(b.run - a.run) })
	excess := p.urgentExcess()
	var out []placer.Borrower
	for _, h := range all {
		if excess[h.organisation] <= 0 {
			continue
		}
		excess[h.organisation] -= h.accelerators
		out = append(out, h.Borrower)
	}
	return out
}

// urgentHoldings returns the runs of urgent jobs of other organisations on the workers of a
// unit's service, in the order of the workers.
func (p *pass) urgentHoldings(u unit) []urgentHolding {
	var all []urgentHolding
	at := map[TaskID]int{}
	for _, v := range p.workers[u.job.queue.Service] {
		for _, r := range p.s.workers[v.ID].order {
			j, st, t := p.s.findTask(r.task)
			if t == nil || !j.urgent() || j.Organisation == u.job.Organisation || st.LongRunning || j.state.Ended() || r.stopping || r.run == t.copyRun || r.need.Accelerators == 0 {
				continue
			}
			id := r.task
			if st.Gang {
				id.Index = 0
			}
			k, ok := at[id]
			if !ok {
				k = len(all)
				at[id] = k
				all = append(all, urgentHolding{Borrower: placer.Borrower{Job: unitName(id), Cost: urgentReclaimCost}, organisation: j.Organisation, run: r.run})
			}
			all[k].Cost += p.s.preemptionCost(p.now, j, st, r)
			all[k].accelerators += r.need.Accelerators
			all[k].Held = addAllocation(all[k].Held, v.ID, r.need)
		}
	}
	return all
}

// urgentExcess returns how many accelerators urgent jobs hold beyond their organisation's
// guarantee, without runs that are being stopped.
func (p *pass) urgentExcess() map[string]int {
	n := p.s.urgentAccelerators()
	for _, w := range p.s.workers {
		if w.stoppingRuns == 0 {
			continue
		}
		for _, r := range w.order {
			if j, _, t := p.s.findTask(r.task); t != nil && j.urgent() && r.stopping && t.run == r.run && t.state == taskPlaced {
				n[j.Organisation] -= r.need.Accelerators
			}
		}
	}
	for o := range n {
		n[o] -= p.s.config.Guaranteed[o]
	}
	return n
}

// reclaimPartly stops runs for some tasks of a unit within its guarantee, as not enough may be
// stopped at once for all of them: of a long-running step, MaxUnavailable tasks. The others
// follow in later passes. A gang starts only as a whole, so nothing is stopped for a part of it.
func (p *pass) reclaimPartly(u unit, r placer.Request, missing int, borrowers []placer.Borrower) {
	if u.step.Gang || len(u.step.reserved) > 0 {
		return
	}
	for r.Tasks = missing / 2; r.Tasks > 0; r.Tasks /= 2 {
		victims, at, ok := placer.Victims(r, p.eligibleWorkers(u), borrowers)
		if !ok {
			continue
		}
		u.step.reserved, u.step.reservedAt = at, p.now
		for _, v := range victims {
			p.evict(u, v, wastePreemptedGuarantee)
		}
		p.reserve(u)
		return
	}
}
