package scheduler

import (
	"slices"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// hopeless reports whether a request asks for no less than one that failed.
func (p *pass) hopeless(service string, r placer.Request) bool {
	return slices.ContainsFunc(p.failed, func(f failure) bool {
		return f.service == service && r.Tasks >= f.request.Tasks && f.request.PerTask.Fits(r.PerTask) &&
			(r.Adjacency == f.request.Adjacency || f.request.Adjacency == placer.AdjacencyNone)
	})
}

// unrestricted reports whether every worker of the service may run the unit.
func (u unit) unrestricted() bool { return u.step.plain() && u.job.queue.Advice == nil }

// failure is a request for which there was no room. Room only shrinks during a
// pass, so whatever asks for as much or more need not be tried.
type failure struct {
	service string
	request placer.Request
}

// allowed returns the workers that may run the step, with their room clipped to
// its limits.
func (p *pass) allowed(u unit) []placer.Worker {
	all := p.views[u.job.queue.Service]
	avoidStill := u.job.urgent() && p.s.stalled(p.now)
	if u.unrestricted() && !avoidStill {
		return all
	}
	avoidFailed := len(u.step.failedOn)*2 <= len(all) && (u.step.blocked.IsZero() || p.now.Sub(u.step.blocked) < avoidTime)
	on := map[string]int{}
	for i := range u.step.tasks {
		if t := &u.step.tasks[i]; t.state == taskPlaced {
			on[t.worker]++
		}
	}
	var out []placer.Worker
	for _, v := range all {
		w := p.s.workers[v.ID]
		if (avoidStill && w.still(p.now)) || (avoidFailed && slices.Contains(u.step.failedOn, v.ID)) || !p.may(u, w) {
			continue
		}
		if limit := u.step.PerWorker; limit > 0 {
			v.Free = clip(v.Free, u.step.Need.Times(max(0, limit-on[v.ID])))
		}
		out = append(out, v)
	}
	return out
}

// may reports whether a worker may run the step at all.
func (p *pass) may(u unit, w *worker) bool {
	if u.step.Label != "" && !slices.Contains(w.Labels, u.step.Label) {
		return false
	}
	if u.job.queue.Advice != nil && !u.step.ticketed(p.now, w) {
		return false
	}
	return p.s.mixes(p.now, u.step, w)
}

// plain reports whether every worker of the service may run the step.
func (s *step) plain() bool {
	return s.Label == "" && s.PerWorker == 0 && len(s.failedOn) == 0 && !s.Serves && !s.Fills
}

func clip(a, b placer.Resources) placer.Resources {
	return placer.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// onRack returns the workers of one rack.
func onRack(all []placer.Worker, rack string) []placer.Worker {
	var out []placer.Worker
	for _, v := range all {
		if v.Rack == rack {
			out = append(out, v)
		}
	}
	return out
}

// fits returns how many tasks of a request fit on workers.
func fits(r placer.Request, all []placer.Worker) int {
	n := 0
	for i := range all {
		n += max(0, min(placer.Count(r.PerTask, all[i].Free), r.Tasks))
	}
	return min(n, r.Tasks)
}

// find places a request of a unit.
func (p *pass) find(u unit, r placer.Request) (placer.Placement, bool) {
	service := u.job.queue.Service
	if p.hopeless(service, r) {
		return nil, false
	}
	at, ok := placer.Place(r, p.allowed(u))
	if !ok && u.unrestricted() {
		p.failed = append(p.failed, failure{service, r})
	}
	return at, ok
}

// spreads reports whether a gang that wants one rack gives that up: no rack is
// large enough, or an urgent job has waited for one.
func (p *pass) spreads(u unit, r placer.Request) bool {
	if u.job.urgent() && !u.step.blocked.IsZero() && p.now.Sub(u.step.blocked) >= spreadUrgent {
		return true
	}
	empty := slices.Clone(p.allowed(u))
	for i := range empty {
		empty[i].Free = empty[i].Capacity
	}
	_, ok := placer.Place(r, empty)
	return !ok
}
