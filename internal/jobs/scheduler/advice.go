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

// adviceRequest is the next call for advice.
type adviceRequest struct {
	Advise

	step   *step
	fits   bool // what waits would fit if all named workers were permitted
	repeat bool // it names a worker that an earlier call has named
}

// precedes reports whether a request goes before another one of the same pass. A step that
// asks again, as its tickets have expired unused, lets all others go first; one that would
// not fit in any case has no use for advice now.
func (a *adviceRequest) precedes(b *adviceRequest) bool {
	if b == nil || a.fits != b.fits {
		return b == nil || a.fits
	}
	return a.step.askedAgainAt.Before(b.step.askedAgainAt)
}

// requestAdvice asks which further workers may run a step that did not fit on the
// permitted ones. It names workers with free resources that have not been denied,
// rack by rack. One request of a pass is sent.
func (p *pass) requestAdvice(u unit, r placer.Request) {
	s := p.s
	if s.adviceInFlight || p.now.Before(s.nextAdviceAt) {
		return
	}
	e := &adviceRequest{Advise: Advise{Job: u.job.ID, Step: u.index}, step: u.step, fits: u.job.urgent() || !u.step.Gang || p.fitsIfPermitted(u, r)}
	if !e.precedes(s.adviceDue) || !p.fitsUnlessDenied(u) {
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
	for _, v := range candidates[:min(len(candidates), maxAdvisedWorkers)] {
		e.Workers = append(e.Workers, v.ID)
		_, again := u.step.tickets[v.ID]
		e.repeat = e.repeat || again
	}
	a := u.job.queue.Advice
	e.Limit = time.Duration(a.DecideMS+a.PeriodMS*len(e.Workers)) * time.Millisecond
	s.adviceDue = e
}

// fitsIfPermitted reports whether what waits of a step would fit on the free resources of
// the workers that have not been denied.
func (p *pass) fitsIfPermitted(u unit, r placer.Request) bool {
	fitting := 0
	for _, v := range p.workers[u.job.queue.Service] {
		if n := placer.TasksThatFit(r.PerTask, v.Free); n > 0 && !u.step.deniedWorkers[v.ID] {
			fitting += n
		}
	}
	return fitting >= r.Tasks
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
	for _, w := range p.s.listedWorkers(u.job.queue.Service) {
		if w.aloneRuns == 0 && w.reachable() && w.hasLabel(u.step.Label) {
			out = append(out, placer.Worker{ID: w.ID, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity, Free: w.free()})
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

// sendAdviceRequest sends the request that goes first among those of a pass.
func (s *Scheduler) sendAdviceRequest(now time.Time) {
	e := s.adviceDue
	if e == nil {
		return
	}
	if e.repeat {
		e.step.askedAgainAt = now
	}
	s.adviceDue = nil
	s.adviceInFlight = true
	s.emit(e.Advise)
}

// handleAdviceResult records which workers may run a step. The set does not change
// later.
func (s *Scheduler) handleAdviceResult(now time.Time, e AdviceResult) {
	s.adviceInFlight = false
	j, ok := s.jobs[e.Advise.Job]
	known := ok && e.Advise.Step < len(j.steps)
	if e.Outcome != OutcomeDone {
		s.nextAdviceAt = now.Add(adviceRetryDelay)
		if known {
			j.steps[e.Advise.Step].askedAgainAt = now
		}
		s.logDecision(Decision{Message: "advice call failed", Job: e.Advise.Job, Details: Details{detailStep: e.Advise.Step, detailOutcome: e.Outcome}})
		return
	}
	s.logDecision(Decision{Message: "advice received", Job: e.Advise.Job, Details: Details{detailStep: e.Advise.Step, "asked": len(e.Advise.Workers), "allowed": len(e.Tickets)}})
	if !known {
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
