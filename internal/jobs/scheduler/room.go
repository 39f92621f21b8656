package scheduler

import (
	"strconv"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	maxVictimSearches = 6      // per pass; each examines all runs
	maxReservations   = 2      // gangs with reserved resources at a time; more would leave workers idle
	maxPreemptionCost = 3000.0 // core-seconds of others' work that an urgent job of mean size may cost outside its guarantee
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
	p.reservations++
	if !p.reservationValid(u) {
		if p.victimSearches >= maxVictimSearches {
			return
		}
		p.victimSearches++
		_, at, ok := placer.Victims(r, p.eligibleWorkers(u), p.preemptibleRuns(u, remainingSeconds))
		if !ok {
			return
		}
		u.step.reserved = at
	}
	p.reserve(u)
}

// reservationValid reports whether the reserved workers of a unit are still usable.
func (p *pass) reservationValid(u unit) bool {
	if len(u.step.reserved) == 0 {
		return false
	}
	for _, id := range u.step.reserved {
		if w, ok := p.s.workers[id]; !ok || !w.usable(p.now) {
			return false
		}
	}
	return true
}

func (p *pass) reserve(u unit) {
	for _, id := range u.step.reserved {
		p.reduceFree(u.job.queue.Service, id, u.step.Need)
	}
}

// preempt stops the runs with the least cost for an urgent unit. The cost is
// unlimited within the guarantee of its organisation, else limited by
// maxPreemptionCost times the relative value of the job.
func (p *pass) preempt(u unit, r placer.Request) {
	if !p.reservationValid(u) || len(u.step.reserved) != r.Tasks {
		if p.victimSearches >= maxVictimSearches {
			return
		}
		p.victimSearches++
		need := r.Tasks * u.step.Need.Accelerators
		withinGuarantee := p.urgentAccelerators[u.job.Organisation]+need <= p.s.config.Guaranteed[u.job.Organisation]
		borrowers := p.preemptibleRuns(u, preemptionCost)
		if withinGuarantee {
			borrowers = append(borrowers, p.preemptibleLongRunning(u)...)
		}
		victims, at, ok := placer.Victims(r, p.eligibleWorkers(u), borrowers)
		if !ok {
			return
		}
		cost := 0.0
		for _, v := range victims {
			cost += v.Cost
		}
		if !withinGuarantee && cost > maxPreemptionCost*p.s.relativeValue(u.job) {
			return
		}
		u.step.reserved = at
		for _, v := range victims {
			p.evict(u, v)
		}
	}
	p.urgentAccelerators[u.job.Organisation] += r.Tasks * u.step.Need.Accelerators
	p.reserve(u)
}

// evict stops a run, or its gang.
func (p *pass) evict(u unit, v placer.Borrower) {
	id := parseUnit(v.Job)
	j, st, t := p.s.findTask(id)
	if t == nil {
		return
	}
	p.s.logDecision(Decision{Message: "run is preempted by an urgent job", Job: j.ID, Task: id, Run: t.run, Details: Details{"for": u.job.ID, "core-seconds": int(v.Cost)}})
	if st.Gang {
		p.s.stopGang(p.now, j, id.Step, t.run)
		return
	}
	p.s.stopTask(p.now, id, t)
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
