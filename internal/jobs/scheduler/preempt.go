package scheduler

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	maxVictimSearches   = 3      // per pass; each examines all runs
	maxRepeatedSearches = 2      // of them, after one that found nothing
	maxReservations     = 2      // gangs with reserved resources at a time; more would leave workers idle
	maxPreemptionCost   = 1200.0 // core-seconds of others' work that an urgent job of mean size may cost outside its guarantee; 3,000 lost 1.7 % more of all work for 0.6 points of the value of urgent jobs

	searchRetryDelay = 200 * time.Millisecond // after a search that found nothing
)

// preemptOrReserve preempts less urgent work for an urgent unit. For a waiting gang
// of another job it reserves workers, whose resources are then withheld from later
// units of the pass.
func (p *pass) preemptOrReserve(u unit, r placer.Request) {
	if u.job.urgent() {
		p.preempt(u, r)
		return
	}
	if p.reservations >= maxReservations {
		return
	}
	if p.keepReserved(u, r.Tasks) > 0 {
		u.step.reserved = nil
		if !p.maySearch(u) {
			return
		}
		_, at, ok := placer.Victims(r, p.eligibleWorkers(u), p.preemptibleRuns(u, remainingSeconds))
		if !ok {
			u.step.searchFailedAt = p.now
			return
		}
		u.step.reserved = at
	}
	p.reservations++
	p.reserve(u)
}

// maySearch reports whether runs to stop or to wait for may be searched for a unit now, and
// counts the search.
func (p *pass) maySearch(u unit) bool {
	if !u.step.searchFailedAt.IsZero() && p.now.Sub(u.step.searchFailedAt) < searchRetryDelay {
		return false
	}
	first := u.step.searchFailedAt.IsZero()
	over := p.victimSearches >= maxVictimSearches || (!first && p.repeatedSearches >= maxRepeatedSearches)
	switch {
	case over && !first:
		return false // stopping runs did not free enough, so others may start meanwhile
	case !p.fitsWhenIdle(u):
		u.step.searchFailedAt = p.now
		return false
	case over:
		p.postponed[u.job.queue.Service] = true
		return false
	case !first:
		p.repeatedSearches++
	}
	p.victimSearches++
	return true
}

// fitsWhenIdle reports whether the tasks of a unit would fit on the listed workers with its
// label outside evacuated zones if nothing ran there. A unit that would not has no runs to stop or to wait for.
func (p *pass) fitsWhenIdle(u unit) bool {
	if u.step.idleCheckedAt.IsZero() || p.now.Sub(u.step.idleCheckedAt) >= rackCheckInterval {
		u.step.fitsIdle, u.step.idleCheckedAt = p.s.roomFor(p.now, u).remaining() >= u.step.tasksAtOnce(), p.now
	}
	return u.step.fitsIdle
}

// keepReserved drops the reserved workers of a unit that are not usable any more, have
// become too small, or are more than its tasks, and returns the number of tasks without a
// reserved worker.
func (p *pass) keepReserved(u unit, tasks int) int {
	kept := map[string]int{}
	u.step.reserved = slices.DeleteFunc(u.step.reserved, func(id string) bool {
		w, ok := p.s.workers[id]
		if !ok || w.Service != u.job.queue.Service || !w.usable(p.now) || !u.step.Need.Times(kept[id]+1).Fits(p.s.freeable(p.now, w, u.job.urgent())) {
			return true
		}
		kept[id]++
		return false
	})
	if len(u.step.reserved) > tasks {
		u.step.reserved = u.step.reserved[:tasks]
	}
	return tasks - len(u.step.reserved)
}

// freeable returns the resources of a worker that a unit may get: for an urgent one, what is
// left once the runs that are being stopped have ended; another unit waits for all runs that
// end by themselves.
func (s *Scheduler) freeable(now time.Time, w *worker, urgent bool) placer.Resources {
	left := w.Capacity
	for _, p := range w.order {
		if !p.stopping && (urgent && !now.Before(p.awaitedUntil) || s.isLongRunning(p)) {
			left = left.Minus(p.need)
		}
	}
	return left
}

// isLongRunning reports whether a run ends only when it is stopped.
func (s *Scheduler) isLongRunning(p *placement) bool {
	_, st, _ := s.findTask(p.task)
	return st != nil && st.LongRunning
}

func (p *pass) reserve(u unit) {
	for _, id := range u.step.reserved {
		p.reduceFree(u.job.queue.Service, id, u.step.Need)
	}
}

// preempt stops the runs with the least cost for an urgent unit. The cost is
// unlimited within the guarantee of its organisation, else limited by
// maxPreemptionCost times the relative value of the job. The resources that become free
// stay reserved for the unit until it starts.
func (p *pass) preempt(u unit, r placer.Request) {
	if missing := p.keepReserved(u, r.Tasks); missing > 0 && !p.freeResources(u, r, missing) {
		return
	}
	p.urgentAccelerators[u.job.Organisation] += r.Tasks * u.step.Need.Accelerators
	p.reserve(u)
}

// freeResources stops runs for the tasks of an urgent unit that have no reserved worker
// yet, and reports whether all of them have one then. If no resources can be added to the
// reserved ones, all are chosen anew.
func (p *pass) freeResources(u unit, r placer.Request, missing int) bool {
	withinGuarantee := p.withinGuarantee(u, r)
	if p.knownNotToBeFreed(u, r, withinGuarantee) {
		u.step.searchFailedAt = p.now
		return false
	}
	if !p.maySearch(u) {
		return false
	}
	until := u.step.blockedSince.Add(maxEndWait)
	borrowers := p.withAwaited(p.preemptibleRuns(u, p.s.preemptionCost), until)
	limit := maxPreemptionCost * p.s.relativeValue(u.job)
	if withinGuarantee {
		limit = math.Inf(1)
		borrowers = append(slices.Clip(borrowers), p.reclaimable(u)...)
	}
	plan := p.planStops(u, r, missing, borrowers, limit, until)
	if !plan.ok && p.triesAll(u) {
		p.failedSearches = append(p.failedSearches, failedSearch{failedRequest{u.job.queue.Service, r}, withinGuarantee})
	}
	if !plan.ok || plan.cost > limit {
		p.logDearStops(u, plan, limit)
		u.step.searchFailedAt = p.now
		if withinGuarantee {
			p.reclaimPartly(u, r, missing, borrowers)
		}
		return false
	}
	u.step.reserved, u.step.reservedAt = plan.at, p.now
	p.carryOut(u, plan, withinGuarantee, until)
	return true
}

// withinGuarantee reports whether an urgent unit stays within the guarantee of its organisation.
func (p *pass) withinGuarantee(u unit, r placer.Request) bool {
	need := r.Tasks * u.step.Need.Accelerators
	return p.urgentAccelerators[u.job.Organisation]+need <= p.s.config.Guaranteed[u.job.Organisation]
}

// carryOut stops the runs of a plan, and notes those whose ends it counts on.
func (p *pass) carryOut(u unit, plan stopPlan, withinGuarantee bool, until time.Time) {
	cause := wastePreempted
	if withinGuarantee {
		cause = wastePreemptedGuarantee
	}
	for _, v := range plan.stopped {
		p.evict(u, v, cause)
	}
	for _, v := range plan.awaited {
		p.await(v, until)
	}
}

// logDearStops logs that the runs that would have to be stopped for an urgent unit cost too
// much, once for each unit.
func (p *pass) logDearStops(u unit, plan stopPlan, limit float64) {
	if !plan.ok || u.step.dearLogged {
		return
	}
	u.step.dearLogged = true
	p.s.logDecision(Decision{Message: "urgent job waits, as stopping runs costs too much", Job: u.job.ID, Details: Details{detailStep: u.index, detailCoreSeconds: int(plan.cost), "limit": int(limit), detailRuns: len(plan.stopped)}})
}

// stopPlan is what has to end for an urgent unit.
type stopPlan struct {
	ok               bool
	at               placer.Placement
	stopped, awaited []placer.Borrower
	cost             float64 // of those that are stopped
}

// planStops searches the runs that have to end for the tasks of an urgent unit that have no
// reserved worker yet, or for all if nothing can be added to the reserved ones.
func (p *pass) planStops(u unit, r placer.Request, missing int, borrowers []placer.Borrower, limit float64, until time.Time) stopPlan {
	var victims []placer.Borrower
	var n stopPlan
	if kept := u.step.reserved; len(kept) > 0 && missing < r.Tasks {
		rest := r
		rest.Tasks = missing
		victims, n.at, n.ok = placer.Victims(rest, p.besideReserved(u, r), borrowers)
		n.at = append(slices.Clone(kept), n.at...)
	}
	if !n.ok {
		victims, n.at, n.ok = p.victims(u, r, borrowers, limit)
	}
	for _, v := range victims {
		if _, ok := p.endsBy(v, until); ok {
			n.awaited = append(n.awaited, v)
			continue
		}
		n.cost += v.Cost
		n.stopped = append(n.stopped, v)
	}
	return n
}

// failedSearch is a search for runs to stop for an urgent request that found none.
type failedSearch struct {
	failedRequest

	withinGuarantee bool // long-running tasks could have been stopped too
}

// knownNotToBeFreed reports whether stopping runs does not free enough for a unit, as it did
// not for a request of the same pass that needs no more.
func (p *pass) knownNotToBeFreed(u unit, r placer.Request, withinGuarantee bool) bool {
	return slices.ContainsFunc(p.failedSearches, func(f failedSearch) bool {
		return f.covers(u.job.queue.Service, r) && (f.withinGuarantee || !withinGuarantee)
	})
}

// besideReserved returns the workers that may run the rest of a unit, without the resources
// reserved for it: those of the same rack if it needs one.
func (p *pass) besideReserved(u unit, r placer.Request) []placer.Worker {
	all := slices.Clone(p.eligibleWorkers(u))
	if r.Adjacency == placer.AdjacencyRack {
		if w, ok := p.s.workers[u.step.reserved[0]]; ok {
			all = inRack(all, w.Rack)
		}
	}
	for _, id := range u.step.reserved {
		if i, ok := slices.BinarySearchFunc(all, id, compareID); ok {
			all[i].Free = all[i].Free.Minus(u.step.Need)
		}
	}
	return all
}

// evict stops a run, or its gang.
func (p *pass) evict(u unit, v placer.Borrower, cause wasteCause) {
	id := parseUnit(v.Job)
	j, st, t := p.s.findTask(id)
	if t == nil || t.state != taskPlaced || p.isStopping(id, t) {
		return
	}
	st.primary(id.Index).preemptions++
	p.markStopping(v)
	p.s.logDecision(Decision{Message: "run is preempted by an urgent job", Job: j.ID, Task: id, Run: t.run, Details: Details{"for": u.job.ID, detailCoreSeconds: int(v.Cost), "cause": cause}})
	if w, ok := p.s.workers[t.worker]; ok {
		if r, ok := w.runs[placementKey{id, t.run}]; ok {
			p.s.blameGangStop(r, cause)
		}
	}
	if st.Gang {
		p.s.stopGang(p.now, j, id.Step, t.run)
		return
	}
	p.s.stopTask(p.now, id, t)
}

// isStopping reports whether the current run of a task is being stopped.
func (p *pass) isStopping(id TaskID, t *task) bool {
	w, ok := p.s.workers[t.worker]
	if !ok {
		return false
	}
	r, ok := w.runs[placementKey{id, t.run}]
	return ok && r.stopping
}

// markStopping makes a victim cost nothing for later units of the pass.
func (p *pass) markStopping(v placer.Borrower) {
	for _, all := range p.borrowers {
		for i := range all {
			if all[i].Job == v.Job {
				all[i].Cost = 0
			}
		}
	}
}

func unitName(id TaskID) string {
	return id.Job + "/" + strconv.Itoa(id.Step) + "/" + strconv.Itoa(id.Index)
}

func parseUnit(name string) TaskID {
	parts := splitUnit(name)
	step, _ := strconv.Atoi(parts[1])  // made by unitName
	index, _ := strconv.Atoi(parts[2]) // made by unitName
	return TaskID{parts[0], step, index}
}
