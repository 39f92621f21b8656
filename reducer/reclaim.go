package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// reclaim is guaranteed capacity on its way back to its owner. What its victims
// free is set aside for the job that called.
type reclaim struct {
	job   string
	at    placer.Placement
	per   placer.Resources
	since time.Time
	until time.Time // after which other victims are chosen
	named string    // guarantee
}

// setAside takes what reclaims wait for off the workers, so that no other job
// gets it.
func (p *pass) setAside() {
	for i := p.reclaims.Iterator(); !i.Done(); {
		id, r, _ := i.Next()
		if _, ok := p.liveJob(id); !ok {
			p.reclaims = p.reclaims.Delete(id)
			continue
		}
		p.take(r.at, r.per)
	}
}

// collect starts a job whose capacity has come back. One that waits for too long
// calls again.
func (p *pass) collect(j *job, r *reclaim) {
	p.take(r.at, placer.Resources{}.Minus(r.per))
	if at, ok := placer.Place(j.Gang, p.workers); ok {
		p.reclaims = p.reclaims.Delete(j.ID)
		p.start(j, at)
		return
	}
	if !p.now.Before(r.until) {
		p.reclaims = p.reclaims.Delete(j.ID)
		p.callSince(j, r.since)
		return
	}
	p.take(r.at, r.per)
	p.setTimer(timerPlace, "job "+j.ID, r.until)
}

// callSince stops borrowers for a job that called first at since. The later it
// is, the less grace they get, so that the bound of the guarantee holds.
func (p *pass) callSince(j *job, since time.Time) {
	used, _ := p.usage.Get(j.Organisation)
	n, _ := p.tenants.Get(j.Organisation)
	g, ok := n.coveringGuarantee(p.now, j.Gang, used)
	if !ok || p.now.Before(j.reclaimAfter) {
		return
	}
	victims, at, ok := placer.Victims(j.Gang, p.workers, p.borrowers(j))
	if !ok {
		p.callLater(j)
		return
	}
	stopAt := p.now
	if grace := graceEnd(g, since); j.Class != ClassUrgent && grace.After(p.now) {
		stopAt = grace
	}
	r := &reclaim{job: j.ID, at: at, per: j.Gang.PerTask, since: since, until: stopAt.Add(reclaimOverrun), named: g.Name}
	p.reclaims = p.reclaims.Set(j.ID, r)
	p.take(at, j.Gang.PerTask)
	p.setTimer(timerPlace, "job "+j.ID, r.until)
	for _, v := range victims {
		p.stopVictim(v.Job, j, stopAt)
	}
}

// callLater keeps a job from calling for a while, as a call looks at every gang.
func (p *pass) callLater(j *job) {
	n := *j
	n.reclaimAfter = p.now.Add(reclaimRetryDelay)
	p.setJob(&n)
	p.setTimer(timerPlace, "job "+j.ID, n.reclaimAfter)
}

// stopVictim stops a borrower; one that can checkpoint has until stopAt.
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
	if g.began {
		e = p.lossOf(v)
	}
	p.stopGangAt(g, e, "its capacity is guaranteed to "+owner.Organisation, stopAt)
}
