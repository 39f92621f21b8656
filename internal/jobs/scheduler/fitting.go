package scheduler

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// knownNotToFit reports whether a request needs at least as much as one that failed.
func (p *pass) knownNotToFit(service string, r placer.Request) bool {
	return slices.ContainsFunc(p.failedRequests, func(f failedRequest) bool { return f.covers(service, r) })
}

// unrestricted reports whether every worker of the service may run the unit.
func (u unit) unrestricted() bool { return u.step.unconstrained() && u.job.queue.Advice == nil }

// triesAll reports whether a search for resources for the unit covers every worker of the
// service, so that its failure tells about other units.
func (p *pass) triesAll(u unit) bool {
	return u.unrestricted() && (!u.job.urgent() || !p.s.anyStalled(p.now))
}

// failedRequest is a request that did not fit. Free resources only shrink during a
// pass, so requests that need as much or more are not tried.
type failedRequest struct {
	service string
	request placer.Request
}

// covers reports whether a request needs at least as much.
func (f failedRequest) covers(service string, r placer.Request) bool {
	return f.service == service && r.Tasks >= f.request.Tasks && f.request.PerTask.Fits(r.PerTask) &&
		(r.Adjacency == f.request.Adjacency || f.request.Adjacency == placer.AdjacencyNone)
}

// eligibleWorkers returns the workers that may run the step, with their free
// resources reduced to its limit per worker.
func (p *pass) eligibleWorkers(u unit) []placer.Worker {
	all := p.workers[u.job.queue.Service]
	avoidStalled := u.job.urgent() && p.s.anyStalled(p.now)
	if u.unrestricted() && !avoidStalled {
		return all
	}
	avoidFailed := len(u.step.failedWorkers)*2 <= len(all) && (u.step.blockedSince.IsZero() || p.now.Sub(u.step.blockedSince) < avoidFailedTime)
	placed := u.step.placedByWorker()
	var out []placer.Worker
	for _, v := range all {
		w := p.s.workers[v.ID]
		if (avoidStalled && w.isStalled(p.now)) || (avoidFailed && slices.Contains(u.step.failedWorkers, v.ID)) || !p.mayRun(u, w) {
			continue
		}
		if limit := u.step.PerWorker; limit > 0 {
			if placed[v.ID] >= limit {
				continue // stopping other runs there would not help
			}
			v.Free = componentMin(v.Free, u.step.Need.Times(limit-placed[v.ID]))
		}
		out = append(out, v)
	}
	return out
}

// mayRun reports whether the label, the tickets and the other runs of a worker allow
// the step there.
func (p *pass) mayRun(u unit, w *worker) bool {
	return (u.job.queue.Advice == nil || u.step.hasTicket(p.now, w)) && p.permitted(u, w) && p.s.colocationAllowed(p.now, u.step, w)
}

// permitted reports whether a worker may run a step that has waited for long, given a ticket
// if its queue needs advice and the worker was not denied.
func (p *pass) permitted(u unit, w *worker) bool {
	if !w.hasLabel(u.step.Label) || (u.job.queue.Advice != nil && u.step.deniedWorkers[w.ID]) {
		return false
	}
	return p.s.colocationTolerable(u.step, w)
}

// unconstrained reports whether the step itself allows every worker of its service.
func (s *step) unconstrained() bool {
	return s.Label == "" && s.PerWorker == 0 && len(s.failedWorkers) == 0 && !s.Serving && !s.Filler
}

func componentMin(a, b placer.Resources) placer.Resources {
	return placer.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// inRack returns the workers in a rack.
func inRack(all []placer.Worker, rack string) []placer.Worker {
	var out []placer.Worker
	for _, v := range all {
		if v.Rack == rack {
			out = append(out, v)
		}
	}
	return out
}

// countFitting returns how many tasks of a request fit on the workers, counting each
// worker separately.
func countFitting(r placer.Request, all []placer.Worker) int {
	n := 0
	for i := range all {
		n += max(0, min(placer.TasksThatFit(r.PerTask, all[i].Free), r.Tasks))
	}
	return min(n, r.Tasks)
}

// findPlacement searches a placement for a request of a unit.
func (p *pass) findPlacement(u unit, r placer.Request) (placer.Placement, bool) {
	service := u.job.queue.Service
	if len(u.step.reserved) == 0 && p.knownNotToFit(service, r) {
		return nil, false
	}
	at, ok := p.placeBySpeed(u, r, p.eligibleWorkers(u))
	if !ok && p.triesAll(u) {
		p.failedRequests = append(p.failedRequests, failedRequest{service, r})
	}
	return at, ok
}

// mayCrossRacks reports whether a gang that prefers one rack may be spread over
// several: no rack is large enough even when nothing but long-running tasks runs there, or
// an urgent job has waited for rackWait.
func (p *pass) mayCrossRacks(u unit, r placer.Request) bool {
	if u.job.urgent() && !u.step.blockedSince.IsZero() && p.now.Sub(u.step.blockedSince) >= p.rackWait(u, r) {
		return true
	}
	if u.step.rackCheckedAt.IsZero() || p.now.Sub(u.step.rackCheckedAt) >= rackCheckInterval {
		empty := slices.Clone(p.eligibleWorkers(u))
		for i := range empty {
			empty[i].Free = p.s.freeable(p.now, p.s.workers[empty[i].ID], false)
		}
		_, u.step.rackFits = placer.Place(r, empty)
		u.step.rackCheckedAt = p.now
	}
	return !u.step.rackFits
}

// rackWait returns for how long an urgent gang waits for one rack: by default as long as crossing
// racks would delay its end, but within the guarantee of its organisation, which bounds the
// time to its start, no longer than urgentRackWait.
func (p *pass) rackWait(u unit, r placer.Request) time.Duration {
	if p.withinGuarantee(u, r) {
		return urgentRackWait
	}
	return max(urgentRackWait, (crossRackFactor-1)*time.Duration(u.step.EstimateMS)*time.Millisecond)
}
