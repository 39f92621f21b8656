package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	maxVictimSearches   = 3      // per pass; each examines all runs
	maxRepeatedSearches = 2      // of them, after one that found nothing
	maxReservations     = 2      // gangs with reserved resources at a time; more would leave workers idle
	maxPreemptionCost   = 3000.0 // core-seconds of others' work that an urgent job of mean size may cost outside its guarantee

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
		if !ok || w.Service != u.job.queue.Service || !w.usable(p.now) || !u.step.Need.Times(kept[id]+1).Fits(p.s.freeable(w, u.job.urgent())) {
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
func (s *Scheduler) freeable(w *worker, urgent bool) placer.Resources {
	left := w.Capacity
	for _, p := range w.order {
		if !p.stopping && (urgent || s.isLongRunning(p)) {
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
	need := r.Tasks * u.step.Need.Accelerators
	withinGuarantee := p.urgentAccelerators[u.job.Organisation]+need <= p.s.config.Guaranteed[u.job.Organisation]
	if p.knownNotToBeFreed(u, r, withinGuarantee) {
		u.step.searchFailedAt = p.now
		return false
	}
	if !p.maySearch(u) {
		return false
	}
	borrowers := p.preemptibleRuns(u, preemptionCost)
	if withinGuarantee {
		borrowers = append(slices.Clip(borrowers), p.reclaimable(u)...)
	}
	var victims []placer.Borrower
	var at placer.Placement
	ok := false
	if kept := u.step.reserved; len(kept) > 0 {
		rest := r
		rest.Tasks = missing
		victims, at, ok = placer.Victims(rest, p.besideReserved(u, r), borrowers)
		at = append(slices.Clone(kept), at...)
	}
	if !ok {
		victims, at, ok = placer.Victims(r, p.eligibleWorkers(u), borrowers)
	}
	cost := 0.0
	for _, v := range victims {
		cost += v.Cost
	}
	if !ok && p.triesAll(u) {
		p.failedSearches = append(p.failedSearches, failedSearch{failedRequest{u.job.queue.Service, r}, withinGuarantee})
	}
	if !ok || (!withinGuarantee && cost > maxPreemptionCost*p.s.relativeValue(u.job)) {
		u.step.searchFailedAt = p.now
		if withinGuarantee {
			p.reclaimPartly(u, r, missing, borrowers)
		}
		return false
	}
	u.step.reserved, u.step.reservedAt = at, p.now
	for _, v := range victims {
		p.evict(u, v)
	}
	return true
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
func (p *pass) evict(u unit, v placer.Borrower) {
	id := parseUnit(v.Job)
	j, st, t := p.s.findTask(id)
	if t == nil || t.state != taskPlaced || p.isStopping(id, t) {
		return
	}
	st.primary(id.Index).preemptions++
	p.markStopping(v)
	p.s.logDecision(Decision{Message: "run is preempted by an urgent job", Job: j.ID, Task: id, Run: t.run, Details: Details{"for": u.job.ID, "core-seconds": int(v.Cost)}})
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
