package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	moveGrace    = 45 * time.Second // for a moved gang to checkpoint
	moveLostWork = 30 * time.Second // of work lost on each accelerator of a moved gang
)

// defragment moves gangs to other workers if a blocked gang then starts earlier than
// its reservation, and the moves cost less than the waiting that they save. The freed
// resources are reserved as in a reclaim.
func (p *pass) defragment(j *job, v placer.Reservation) {
	stopAt := p.now.Add(moveGrace)
	if !isLarge(j) || !v.At.After(stopAt) {
		return
	}
	saved := v.At.Sub(stopAt).Seconds() * float64(j.Gang.Total().Accelerators)
	moves, at, ok := placer.Defragment(j.Gang, p.workers, p.movableGangs(), saved)
	if !ok {
		return
	}
	r := &reclaim{job: j.ID, at: at, perTask: j.Gang.PerTask, since: p.now, until: stopAt.Add(reclaimOverrun)}
	p.reclaims = p.reclaims.Set(j.ID, r)
	p.allocate(at, j.Gang.PerTask)
	p.setTimer(timerPlace, "job "+j.ID, r.until)
	p.reserved = reservation{}
	for _, m := range moves {
		p.stopVictim(m.Job, j, stopAt)
	}
}

// movableGangs returns the gangs that can continue on other workers. Gangs that an
// active guarantee of their organisation covers are not moved.
func (p *pass) movableGangs() []placer.Movable {
	var all []placer.Movable
	for i := p.gangs.Iterator(); !i.Done(); {
		id, g, _ := i.Next()
		j, ok := p.jobs.Get(id)
		if !ok || !j.Checkpointable || j.NonIdempotent || g.stage != stageRunning || g.anyIn(taskSucceeded) {
			continue
		}
		n, _ := p.tenants.Get(j.Organisation)
		if _, covered := n.coveringGuarantee(p.now, j.Gang, placer.Resources{}); covered {
			continue
		}
		at := make(placer.Placement, 0, len(g.tasks))
		for _, v := range g.tasks {
			at = append(at, v.worker)
		}
		cost := moveLostWork.Seconds() * float64(j.Gang.Total().Accelerators)
		all = append(all, placer.Movable{Job: id, Gang: j.Gang, At: at, Cost: cost})
	}
	return all
}

const largeGangTasks = 8 // gangs with at least this many tasks, or with adjacency, wait longest for room

func isLarge(j *job) bool {
	return j.Gang.Tasks >= largeGangTasks || j.Gang.Adjacency != placer.AdjacencyNone
}

// markBlocked records a job that lacks room, as a candidate for the reservation. Large
// gangs take precedence, because small ones soon find room. Only the first large gang
// in the queue of each organisation counts, and of these the one that waits longest.
func (p *pass) markBlocked(j *job) {
	b := p.blocked
	if isLarge(j) {
		if p.hasBlockedGang[j.Organisation] {
			return
		}
		p.hasBlockedGang[j.Organisation] = true
	}
	if b == nil || isLarge(j) && (!isLarge(b) || j.accepted.Before(b.accepted)) {
		p.blocked = j
	}
}
