package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	advisedWorkers = 30                     // asked about in one call: the platform's objective of a step allows for that many
	advicePause    = 300 * time.Millisecond // after a call that failed
	ticketMargin   = 300 * time.Millisecond // a ticket that ends sooner may be refused by the time a start arrives
)

// Advise asks which workers may run a step; one call is in flight at a time.
type Advise struct {
	Job     string
	Step    int
	Workers []string
	Limit   time.Duration // within which an answer is due
}

// Advised is the result of an Advise effect.
type Advised struct {
	Advise  Advise
	Sent    time.Time
	Outcome Outcome
	Tickets map[string]string // by worker, of those that may run the step
	Valid   time.Duration     // of the tickets, from when they were asked for at the latest
}

func (Advise) isEffect() {}
func (Advised) isEvent() {}

// Advice is what is known of the service that allows workers to run the steps of
// a queue.
type Advice struct {
	DecideMS int `json:"decide-ms"` // of each call
	PeriodMS int `json:"period-ms"` // for each worker in it
}

// ticket allows a worker to run the tasks of a step.
type ticket struct {
	value string
	until time.Time
	born  int64 // life of the worker
}

// ticketed reports whether the step may start on a worker now.
func (s *step) ticketed(now time.Time, w *worker) bool {
	t, ok := s.tickets[w.ID]
	return ok && t.born == w.Born && now.Add(ticketMargin).Before(t.until)
}

// ask asks for workers that may run a step that found too little room on those
// that may. It names those with room that were not turned down, rack by rack.
func (p *pass) ask(u unit, r placer.Request) {
	s := p.s
	if s.adviceInFlight || p.now.Before(s.nextAdviceAt) {
		return
	}
	var with []placer.Worker
	free := map[string]int{}
	for _, v := range p.workers[u.job.queue.Service] {
		n := min(placer.Count(r.PerTask, v.Free), r.Tasks)
		if n <= 0 || u.step.deniedWorkers[v.ID] || u.step.ticketed(p.now, s.workers[v.ID]) {
			continue
		}
		with = append(with, v)
		free[v.Rack] += n
	}
	if len(with) == 0 && u.job.urgent() { // room can be made for it
		for _, v := range p.workers[u.job.queue.Service] {
			if !u.step.deniedWorkers[v.ID] && !u.step.ticketed(p.now, s.workers[v.ID]) && r.PerTask.Fits(v.Capacity) {
				with = append(with, v)
			}
		}
	}
	if len(with) == 0 {
		return
	}
	slices.SortStableFunc(with, func(a, b placer.Worker) int {
		return cmp.Or(cmp.Compare(free[b.Rack], free[a.Rack]), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	e := Advise{Job: u.job.ID, Step: u.index}
	for _, v := range with[:min(len(with), advisedWorkers)] {
		e.Workers = append(e.Workers, v.ID)
	}
	a := u.job.queue.Advice
	e.Limit = time.Duration(a.DecideMS+a.PeriodMS*len(e.Workers)) * time.Millisecond
	s.adviceInFlight = true
	s.emit(e)
}

// advised takes in which workers may run a step; that does not change.
func (s *Scheduler) advised(now time.Time, e Advised) {
	s.adviceInFlight = false
	if e.Outcome != OutcomeDone {
		s.nextAdviceAt = now.Add(advicePause)
		s.logDecision(Noted{Message: "advice was not given", Job: e.Advise.Job, Details: Details{"step": e.Advise.Step, detailOutcome: e.Outcome}})
		return
	}
	s.logDecision(Noted{Message: "advice was given", Job: e.Advise.Job, Details: Details{"step": e.Advise.Step, "asked": len(e.Advise.Workers), "allowed": len(e.Tickets)}})
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
			st.tickets[id] = ticket{value: v, until: e.Sent.Add(e.Valid), born: w.Born}
		}
	}
	s.placementDue = true
}
