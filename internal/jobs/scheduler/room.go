package scheduler

import (
	"strconv"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	maxSearches = 6      // in one pass; each looks at all that runs
	maxReserved = 2      // gangs for which room is kept free at a time; more would idle the workers
	urgentWorth = 3000.0 // core-seconds of work that an urgent job of mean size may cost others outside its guarantee
)

// makeRoom stops less urgent work for an urgent unit, or keeps room that gets
// free for a gang that could not start. The room is kept from those that come
// later in the pass.
func (p *pass) makeRoom(u unit, r placer.Request) {
	if u.job.urgent() {
		p.preempt(u, r)
		return
	}
	if p.reserved >= maxReserved {
		return
	}
	p.reserved++
	if !p.claimHolds(u) {
		if p.searches >= maxSearches {
			return
		}
		p.searches++
		_, at, ok := placer.Victims(r, p.allowed(u), p.borrowers(u, remaining))
		if !ok {
			return
		}
		u.step.claim = at
	}
	p.keep(u)
}

// claimHolds reports whether the workers that a gang waits for can still run it.
func (p *pass) claimHolds(u unit) bool {
	if len(u.step.claim) == 0 {
		return false
	}
	for _, id := range u.step.claim {
		if w, ok := p.s.workers[id]; !ok || !w.usable(p.now) {
			return false
		}
	}
	return true
}

func (p *pass) keep(u unit) {
	for _, id := range u.step.claim {
		p.take(u.job.queue.Service, id, u.step.Need)
	}
}

// preempt stops the work that costs least for an urgent unit: whatever it takes
// within the guarantee of its organisation, else only little.
func (p *pass) preempt(u unit, r placer.Request) {
	if !p.claimHolds(u) || len(u.step.claim) != r.Tasks {
		if p.searches >= maxSearches {
			return
		}
		p.searches++
		need := r.Tasks * u.step.Need.Accelerators
		sure := p.held[u.job.Organisation]+need <= p.s.terms.Guaranteed[u.job.Organisation]
		borrowers := p.borrowers(u, waste)
		if sure {
			borrowers = append(borrowers, p.lasting(u)...)
		}
		victims, at, ok := placer.Victims(r, p.allowed(u), borrowers)
		if !ok {
			return
		}
		cost := 0.0
		for _, v := range victims {
			cost += v.Cost
		}
		if !sure && cost > urgentWorth*p.s.worth(u.job) {
			return
		}
		u.step.claim = at
		for _, v := range victims {
			p.evict(u, v)
		}
	}
	p.held[u.job.Organisation] += r.Tasks * u.step.Need.Accelerators
	p.keep(u)
}

// evict stops a running unit.
func (p *pass) evict(u unit, v placer.Borrower) {
	id := parseUnit(v.Job)
	j, st, t := p.s.find(id)
	if t == nil {
		return
	}
	p.s.note(Noted{Message: "run is stopped for an urgent job", Job: j.ID, Task: id, Run: t.run, Details: Details{"for": u.job.ID, "core-seconds": int(v.Cost)}})
	if st.Gang {
		p.s.breakGang(p.now, j, id.Step, t.run)
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
