package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// reclaim is guaranteed capacity that is being returned to its owner. The resources
// that its victims free are reserved for the job that requested it.
type reclaim struct {
	job       string
	at        placer.Placement
	perTask   placer.Resources
	since     time.Time
	until     time.Time // when other victims are chosen
	guarantee string    // empty if gangs are moved instead
}

// reserveReclaimed subtracts the resources of all reclaims from the workers, so that
// no other job gets them.
func (p *pass) reserveReclaimed() {
	for i := p.reclaims.Iterator(); !i.Done(); {
		id, r, _ := i.Next()
		if _, ok := p.liveJob(id); !ok {
			p.reclaims = p.reclaims.Delete(id)
			continue
		}
		p.allocate(r.at, r.perTask)
	}
}

// startReclaimed starts a job whose capacity has been freed. After the reclaim's time
// limit it reclaims again, from other victims.
func (p *pass) startReclaimed(j *job, r *reclaim) {
	p.allocate(r.at, placer.Resources{}.Minus(r.perTask))
	if at, ok := placer.Place(j.Gang, p.workers); ok {
		p.reclaims = p.reclaims.Delete(j.ID)
		p.start(j, at)
		return
	}
	if !p.now.Before(r.until) {
		p.reclaims = p.reclaims.Delete(j.ID)
		p.reclaimSince(j, r.since)
		return
	}
	p.allocate(r.at, r.perTask)
	p.setTimer(timerPlace, "job "+j.ID, r.until)
}

// reclaimSince stops borrowers for a job that first reclaimed at since. The grace
// time counts from since, so that repeated reclaims stay within the bound of the
// guarantee.
func (p *pass) reclaimSince(j *job, since time.Time) {
	used, _ := p.usage.Get(j.Organisation)
	n, _ := p.tenants.Get(j.Organisation)
	g, ok := n.coveringGuarantee(p.now, j.Gang, used)
	if !ok || p.now.Before(j.reclaimAfter) {
		return
	}
	victims, at, ok := placer.Victims(j.Gang, p.workers, p.borrowers(j))
	if !ok {
		p.delayReclaim(j)
		return
	}
	stopAt := p.now
	if grace := graceEnd(g, since); j.Class != ClassUrgent && grace.After(p.now) {
		stopAt = grace
	}
	r := &reclaim{job: j.ID, at: at, perTask: j.Gang.PerTask, since: since, until: stopAt.Add(reclaimOverrun), guarantee: g.Name}
	p.reclaims = p.reclaims.Set(j.ID, r)
	p.allocate(at, j.Gang.PerTask)
	p.setTimer(timerPlace, "job "+j.ID, r.until)
	for _, v := range victims {
		p.stopVictim(v.Job, j, stopAt)
	}
}

// delayReclaim delays the next reclaim for a job, because a reclaim visits every gang.
func (p *pass) delayReclaim(j *job) {
	n := *j
	n.reclaimAfter = p.now.Add(reclaimRetryDelay)
	p.setJob(&n)
	p.setTimer(timerPlace, "job "+j.ID, n.reclaimAfter)
}

// stopVictim stops a gang for the job of owner. A running checkpointable gang may
// checkpoint until stopAt; others stop at once.
func (p *pass) stopVictim(id string, owner *job, stopAt time.Time) {
	g, ok := p.gangs.Get(id)
	if !ok {
		return
	}
	v, ok := p.jobs.Get(id)
	if !ok {
		return
	}
	if !v.Checkpointable || g.stage != stageRunning {
		stopAt = p.now
	}
	e := ending{}
	if g.startSent {
		e = p.endingAfterLoss(v)
	}
	p.stopGangAt(g, e, "its capacity is guaranteed to "+owner.Organisation, stopAt)
}
