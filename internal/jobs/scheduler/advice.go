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
	var candidates []placer.Worker
	free := map[string]int{}
	for _, v := range p.workers[u.job.queue.Service] {
		n := min(placer.TasksThatFit(r.PerTask, v.Free), r.Tasks)
		if n <= 0 || u.step.deniedWorkers[v.ID] || u.step.hasTicket(p.now, s.workers[v.ID]) {
			continue
		}
		candidates = append(candidates, v)
		free[v.Rack] += n
	}
	if len(candidates) == 0 && u.job.urgent() { // it may preempt other runs
		for _, v := range p.workers[u.job.queue.Service] {
			if !u.step.deniedWorkers[v.ID] && !u.step.hasTicket(p.now, s.workers[v.ID]) && r.PerTask.Fits(v.Capacity) {
				candidates = append(candidates, v)
			}
		}
	}
	p.sendAdvise(u, candidates, free)
}

// requestStandingAdvice asks which further workers of a unit that stands may run it.
func (p *pass) requestStandingAdvice(u unit, r placer.Request, workers []placer.Worker) {
	if p.s.adviceInFlight || p.now.Before(p.s.nextAdviceAt) {
		return
	}
	var candidates []placer.Worker
	free := map[string]int{}
	for _, v := range workers {
		if n := min(placer.TasksThatFit(r.PerTask, v.Free), r.Tasks); n > 0 && !u.step.hasTicket(p.now, p.s.workers[v.ID]) {
			candidates = append(candidates, v)
			free[v.Rack] += n
		}
	}
	p.sendAdvise(u, candidates, free)
}

// sendAdvise asks about candidates, those in the racks with the most room first.
func (p *pass) sendAdvise(u unit, candidates []placer.Worker, free map[string]int) {
	if len(candidates) == 0 {
		return
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
	p.s.adviceInFlight = true
	p.s.emit(e)
}

// handleAdviceResult records which workers may run a step. The set does not change
// later.
func (s *Scheduler) handleAdviceResult(now time.Time, e AdviceResult) {
	s.adviceInFlight = false
	if e.Outcome != OutcomeDone {
		s.nextAdviceAt = now.Add(adviceRetryDelay)
		s.logDecision(Decision{Message: "advice call failed", Job: e.Advise.Job, Details: Details{"step": e.Advise.Step, detailOutcome: e.Outcome}})
		return
	}
	s.logDecision(Decision{Message: "advice received", Job: e.Advise.Job, Details: Details{"step": e.Advise.Step, "asked": len(e.Advise.Workers), "allowed": len(e.Tickets)}})
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
