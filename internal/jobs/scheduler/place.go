package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	lateFactor   = 3               // a job is worth nothing after this many objectives
	avoidTime    = 2 * time.Second // a gang that waits for longer takes workers again on which it failed
	spreadUrgent = time.Second     // an urgent gang that found no rack for so long takes any workers
)

// unit is what is placed at once: a gang, or the waiting tasks of a step.
type unit struct {
	job   *job
	index int
	step  *step
}

// pass is one round of placements over the workers of all services.
type pass struct {
	s        *Scheduler
	now      time.Time
	views    map[string][]placer.Worker // by service
	reserved int
	held     map[string]int // accelerators that urgent jobs hold or claim, by organisation
	failed   []failure      // requests for which there was no room in this pass
	searches int            // for work to stop or to wait for
}

// place starts what there is room for, in order of urgency.
func (s *Scheduler) place(now time.Time) {
	units := s.units(now)
	if len(units) == 0 && !s.stalled(now) && !s.speculative() {
		s.starve(now, nil)
		return
	}
	p := &pass{s: s, now: now, views: s.views(now), held: s.urgentHeld()}
	p.moveStalled()
	for _, u := range units {
		p.tryUnit(u)
	}
	waiting := map[string]bool{}
	for _, u := range units {
		if len(u.step.waiting()) > 0 && !waiting[u.job.queue.Service] {
			waiting[u.job.queue.Service] = true
			s.dropCopies(now, u.job.queue.Service)
		}
	}
	if len(waiting) == 0 {
		p.copySlow()
	}
	s.starve(now, units)
}

// units returns the steps that wait for workers, the most urgent first. It answers
// for bursts of short urgent gangs beside long batches: urgent jobs come first,
// then the job with the earliest latest start; what can earn nothing any more
// comes last.
func (s *Scheduler) units(now time.Time) []unit {
	type ranked struct {
		unit
		class int
		start time.Time
	}
	var all []ranked
	for _, j := range s.active {
		if (s.recovering && j.offset <= s.Old) || now.Before(j.due) || !j.doubt.IsZero() {
			continue
		}
		r := ranked{start: j.accepted.Add(j.objective() - j.chain), class: 1}
		switch {
		case j.urgent():
			r.class = 0
			r.start = j.accepted
		case !j.lasts() && now.After(j.accepted.Add(lateFactor*j.objective()-j.chain)):
			r.class = 2
		}
		for i, st := range j.steps {
			if !j.open(st) || st.done == len(st.tasks) {
				continue
			}
			r.unit = unit{j, i, st}
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.start.Compare(b.start))
	})
	units := make([]unit, len(all))
	for i, r := range all {
		units[i] = r.unit
	}
	return units
}

// views returns the usable workers of each service.
func (s *Scheduler) views(now time.Time) map[string][]placer.Worker {
	v := map[string][]placer.Worker{}
	for _, id := range s.order {
		w := s.workers[id]
		if w.usable(now) {
			v[w.Service] = append(v[w.Service], placer.Worker{
				ID: id, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity, Free: w.Capacity.Minus(w.used),
			})
		}
	}
	return v
}

// urgentHeld returns the accelerators that urgent jobs hold, by organisation.
func (s *Scheduler) urgentHeld() map[string]int {
	n := map[string]int{}
	for _, j := range s.active {
		if !j.urgent() {
			continue
		}
		for _, st := range j.steps {
			for i := range st.tasks {
				if st.tasks[i].state == taskPlaced {
					n[j.Organisation] += st.Need.Accelerators
				}
			}
		}
	}
	return n
}

// tryUnit starts what fits of a unit, or makes room for it.
func (p *pass) tryUnit(u unit) {
	waiting := u.step.waiting()
	if len(waiting) == 0 {
		return
	}
	if u.step.Gang && len(waiting) < len(u.step.tasks) {
		p.repair(u)
		return
	}
	request := placer.Request{Tasks: len(waiting), PerTask: u.step.Need, Adjacency: placer.AdjacencyNone}
	if u.step.SameRack {
		request.Adjacency = placer.AdjacencyRack
	}
	if !u.step.Gang {
		p.trySpread(u, waiting, request)
		return
	}
	p.tryGang(u, waiting, request)
}

// repair stops what is left of a gang that lost members.
func (p *pass) repair(u unit) {
	for i := range u.step.tasks {
		if t := &u.step.tasks[i]; t.state == taskPlaced && !p.s.recovering {
			p.s.breakGang(p.now, u.job, u.index, t.run)
			return
		}
	}
}

// trySpread starts as many tasks of a step without a gang as fit, near its data
// where it can.
func (p *pass) trySpread(u unit, waiting []int, r placer.Request) {
	r.Adjacency = placer.AdjacencyNone
	one := r
	one.Tasks = 1
	if p.hopeless(u.job.queue.Service, one) {
		p.short(u, r)
		return
	}
	all := p.allowed(u)
	if rack := u.step.DataRack; rack != "" {
		if near := onRack(all, rack); fits(r, near) > 0 {
			all = near
		}
	}
	r.Tasks = min(len(waiting), fits(r, all))
	if r.Tasks > 0 {
		if at, ok := placer.Place(r, all); ok {
			for k, id := range at {
				p.s.run++
				p.start(u, waiting[k], id, p.s.run)
			}
			u.step.claim = nil
			u.step.blocked = time.Time{}
		}
	} else if u.step.Fills && u.step.blocked.IsZero() {
		u.step.blocked = p.now
	}
	if r.Tasks == 0 && u.unrestricted() {
		p.failed = append(p.failed, failure{u.job.queue.Service, one})
	}
	if left := len(waiting) - r.Tasks; left > 0 {
		r.Tasks = left
		p.short(u, r)
	}
}

// short makes room for the tasks of an urgent step that did not fit.
func (p *pass) short(u unit, r placer.Request) {
	if u.job.queue.Advice != nil {
		p.ask(u, r)
	}
	if u.step.Serves {
		p.s.clearFillers(p.now, u.job, u.step)
	}
	if u.job.urgent() {
		p.makeRoom(u, r)
	}
}

// tryGang starts a gang whole, or makes room for it.
func (p *pass) tryGang(u unit, waiting []int, r placer.Request) {
	at, ok := p.find(u, r)
	if !ok && r.Adjacency == placer.AdjacencyRack && p.spreads(u, r) {
		r.Adjacency = placer.AdjacencyNone
		at, ok = p.find(u, r)
	}
	if !ok {
		if u.step.blocked.IsZero() {
			u.step.blocked = p.now
		}
		if u.job.queue.Advice != nil {
			p.ask(u, r)
		}
		if u.step.Serves {
			p.s.clearFillers(p.now, u.job, u.step)
		}
		p.makeRoom(u, r)
		return
	}
	u.step.claim = nil
	u.step.blocked = time.Time{}
	p.s.run++
	for k, id := range at {
		p.start(u, waiting[k], id, p.s.run)
	}
}

// start starts a task on a worker.
func (p *pass) start(u unit, index int, id string, run int64) {
	s := p.s
	t := &u.step.tasks[index]
	t.state, t.worker, t.run = taskPlaced, id, run
	p.launch(u, index, id, run)
	s.note(Noted{Message: "task placed", Job: u.job.ID, Task: TaskID{u.job.ID, u.index, index}, Run: run, Worker: id, Details: Details{"waited-ms": p.now.Sub(u.job.accepted).Milliseconds()}})
}

// launch sends the start of a run.
func (p *pass) launch(u unit, index int, id string, run int64) {
	s, w := p.s, p.s.workers[id]
	task := TaskID{u.job.ID, u.index, index}
	until := w.clock(p.now) + s.Settings.startWindow().Milliseconds()
	w.add(&placement{
		task: task, run: run, need: u.step.Need, untilMS: until, moved: p.now,
		serves: u.step.Serves, fills: u.step.Fills, pace: fullPace,
	})
	w.deadline = max(w.deadline, until)
	p.take(u.job.queue.Service, id, u.step.Need)
	if u.job.urgent() {
		p.held[u.job.Organisation] += u.step.Need.Accelerators
	}
	s.begin(u.job)
	s.emit(Start{
		Worker: id, Address: w.Address, Epoch: s.Epoch, Task: task, Run: run,
		Spec: u.job.Spec, DeadlineMS: until, Checkpoint: u.step.lead(index).saved,
		Ticket: u.step.tickets[id].value,
	})
}

// take reduces the room of a worker for the rest of the pass.
func (p *pass) take(service, id string, need placer.Resources) {
	v := p.views[service]
	i, ok := slices.BinarySearchFunc(v, id, func(w placer.Worker, id string) int { return cmp.Compare(w.ID, id) })
	if ok {
		v[i].Free = v[i].Free.Minus(need)
	}
}
