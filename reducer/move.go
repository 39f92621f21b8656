package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	moveGrace = 45 * time.Second // that a moved gang has to checkpoint itself
	moveLoss  = 30 * time.Second // of work that each accelerator of a moved gang loses
)

// move has gangs go on elsewhere, if that lets a blocked gang start earlier than
// its reservation at less cost than the waiting that is saved. What they free is
// set aside like what is reclaimed.
func (p *pass) move(j *job, v placer.Reservation) {
	stopAt := p.now.Add(moveGrace)
	if !large(j) || !v.At.After(stopAt) {
		return
	}
	saved := v.At.Sub(stopAt).Seconds() * float64(j.Gang.Total().Accelerators)
	moves, at, ok := placer.Defragment(j.Gang, p.workers, p.movable(), saved)
	if !ok {
		return
	}
	r := &reclaim{job: j.ID, at: at, per: j.Gang.PerTask, since: p.now, until: stopAt.Add(reclaimOverrun)}
	p.reclaims = p.reclaims.Set(j.ID, r)
	p.take(at, j.Gang.PerTask)
	p.setTimer(timerPlace, "job "+j.ID, r.until)
	p.reserved = reservation{}
	for _, m := range moves {
		p.stopVictim(m.Job, j, stopAt)
	}
}

// movable returns the gangs that can go on elsewhere. Those of organisations
// with a guarantee of this hour stay where they are.
func (p *pass) movable() []placer.Movable {
	var all []placer.Movable
	for i := p.gangs.Iterator(); !i.Done(); {
		id, g, _ := i.Next()
		j, ok := p.jobs.Get(id)
		if !ok || !j.Checkpointable || j.NonIdempotent || g.stage != stageRunning || g.any(taskSucceeded) {
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
		cost := moveLoss.Seconds() * float64(j.Gang.Total().Accelerators)
		all = append(all, placer.Movable{Job: id, Gang: j.Gang, At: at, Cost: cost})
	}
	return all
}

const largeTasks = 8 // gangs of so many tasks, or with adjacency, wait longest for room

func large(j *job) bool {
	return j.Gang.Tasks >= largeTasks || j.Gang.Adjacency != placer.AdjacencyNone
}

// block notes a job that lacks room. Large gangs come first, for small ones find
// room soon: of each organisation the one that its deadline or age puts first, and
// of these the one that waits longest.
func (p *pass) block(j *job) {
	b := p.blocked
	if large(j) {
		if p.blockedOf[j.Organisation] {
			return
		}
		p.blockedOf[j.Organisation] = true
	}
	if b == nil || large(j) && (!large(b) || j.accepted.Before(b.accepted)) {
		p.blocked = j
	}
}
