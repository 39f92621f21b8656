package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	maxAdvisedWorkers = 30                     // per call; the platform's objective for a step allows for that many
	adviceRetryDelay  = 300 * time.Millisecond // after a failed call
	ticketMargin      = 300 * time.Millisecond // minimum remaining validity of a ticket, else it may have expired when the start arrives
)

// Advise asks which workers may run a step. At most one call is in flight.
type Advise struct {
	Job     string
	Step    int
	Workers []string
	Limit   time.Duration // time limit of the answer
}

// AdviceResult is the result of an Advise effect.
type AdviceResult struct {
	Advise  Advise
	Sent    time.Time
	Outcome Outcome
	Tickets map[string]string // by worker, for those that may run the step
	Valid   time.Duration     // validity of the tickets, which starts when they are requested or later
}

func (Advise) isEffect()      {}
func (AdviceResult) isEvent() {}

// Advice describes the service that decides which workers may run the steps of a
// queue.
type Advice struct {
	DecideMS int `json:"decide-ms"` // fixed part of the time limit of a call
	PeriodMS int `json:"period-ms"` // additional time for each worker in the call
}

// ticket permits a worker to run the tasks of a step.
type ticket struct {
	value string
	until time.Time
	born  int64 // start time of the worker instance that it was issued for
}

// hasTicket reports whether the step has a valid ticket for a worker.
func (s *step) hasTicket(now time.Time, w *worker) bool {
	t, ok := s.tickets[w.ID]
	return ok && t.born == w.StartedMS && now.Add(ticketMargin).Before(t.until)
}

// requestAdvice asks which further workers may run a step that did not fit on the
// permitted ones. It names workers with free resources that have not been denied,
// rack by rack.
func (p *pass) requestAdvice(u unit, r placer.Request) {
	s := p.s
	if s.adviceInFlight || p.now.Before(s.nextAdviceAt) {
		return
	}
	if !p.fitsUnlessDenied(u) {
		return // the service answers one call at a time, and others wait for it
	}
	candidates := p.adviceCandidates(u, r)
	if len(candidates) == 0 {
		return
	}
	free := map[string]int{}
	for _, v := range candidates {
		free[v.Rack] += max(0, min(placer.TasksThatFit(r.PerTask, v.Free), r.Tasks))
	}
	slices.SortStableFunc(candidates, func(a, b placer.Worker) int {
		return cmp.Or(cmp.Compare(free[b.Rack], free[a.Rack]), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	e := Advise{Job: u.job.ID, Step: u.index}
	for _, v := range candidates[:min(len(candidates), maxAdvisedWorkers)] {
		e.Workers = append(e.Workers, v.ID)
	}
	a := u.job.queue.Advice
	e.Limit = time.Duration(a.DecideMS+a.PeriodMS*len(e.Workers)) * time.Millisecond
	s.adviceInFlight = true
	s.emit(e)
}

// adviceCandidates returns the workers without a ticket or a denial that may have room for a
// task of a unit.
func (p *pass) adviceCandidates(u unit, r placer.Request) []placer.Worker {
	lacking := func(all []placer.Worker, fits func(placer.Worker) bool) []placer.Worker {
		var out []placer.Worker
		for _, v := range all {
			if fits(v) && !u.step.deniedWorkers[v.ID] && !u.step.hasTicket(p.now, p.s.workers[v.ID]) {
				out = append(out, v)
			}
		}
		return out
	}
	usable := p.workers[u.job.queue.Service]
	isFree := func(v placer.Worker) bool { return placer.TasksThatFit(r.PerTask, v.Free) > 0 }
	all := lacking(usable, isFree)
	if len(all) == 0 { // it may be placed regardless of reservations and failures there, see placeStanding
		all = lacking(p.reachableWorkers(u), isFree)
	}
	if len(all) == 0 && u.job.urgent() { // it may preempt other runs
		all = lacking(usable, func(v placer.Worker) bool { return r.PerTask.Fits(v.Capacity) })
	}
	return all
}

// reachableWorkers returns the workers of a unit's service that would carry out a start, with
// the resources that are not in use.
func (p *pass) reachableWorkers(u unit) []placer.Worker {
	var out []placer.Worker
	for _, id := range p.s.workerIDs {
		if w := p.s.workers[id]; w.Service == u.job.queue.Service && w.aloneRuns == 0 && w.reachable() && w.hasLabel(u.step.Label) {
			out = append(out, placer.Worker{ID: id, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity, Free: w.free()})
		}
	}
	return out
}

// fitsUnlessDenied reports whether the tasks that a unit needs at once would fit on the
// reachable workers that are not denied to it, if nothing ran there.
func (p *pass) fitsUnlessDenied(u unit) bool {
	need, n := u.step.tasksAtOnce(), 0
	for _, v := range p.reachableWorkers(u) {
		if !u.step.deniedWorkers[v.ID] {
			n += u.step.tasksOn(v.Capacity)
		}
	}
	return n >= need
}

// handleAdviceResult records which workers may run a step. The set does not change
// later.
func (s *Scheduler) handleAdviceResult(now time.Time, e AdviceResult) {
	s.adviceInFlight = false
	if e.Outcome != OutcomeDone {
		s.nextAdviceAt = now.Add(adviceRetryDelay)
		s.logDecision(Decision{Message: "advice call failed", Job: e.Advise.Job, Details: Details{detailStep: e.Advise.Step, detailOutcome: e.Outcome}})
		return
	}
	s.logDecision(Decision{Message: "advice received", Job: e.Advise.Job, Details: Details{detailStep: e.Advise.Step, "asked": len(e.Advise.Workers), "allowed": len(e.Tickets)}})
	j, ok := s.jobs[e.Advise.Job]
	if !ok || e.Advise.Step >= len(j.steps) {
		return
	}
	st := j.steps[e.Advise.Step]
	if st.tickets == nil {
		st.tickets, st.deniedWorkers = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range e.Advise.Workers {
		v, allowed := e.Tickets[id]
		w, known := s.workers[id]
		switch {
		case !allowed:
			st.deniedWorkers[id] = true
		case known:
			st.tickets[id] = ticket{value: v, until: e.Sent.Add(e.Valid), born: w.StartedMS}
		}
	}
	s.placementDue = true
}
