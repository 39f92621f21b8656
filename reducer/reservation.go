package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/estimator"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// reservation reserves resources at a future time for one gang that lacks room. Other
// jobs are backfilled only where they do not delay it.
type reservation struct {
	placer.Reservation

	job        string
	computedAt time.Time
}

// reserve computes the reservation for the blocked gang of this pass, if it is due.
func (p *pass) reserve() {
	j := p.blocked
	if j != nil && p.reserved.job == j.ID && p.now.Sub(p.reserved.computedAt) < reservationInterval {
		return
	}
	p.reserved = reservation{}
	if j == nil {
		return
	}
	if due := j.accepted.Add(reserveAfter); p.now.Before(due) {
		p.setTimer(timerPlace, "job "+j.ID, due)
		return
	}
	v, ok := placer.Reserve(p.now, j.Gang, p.workers, p.runningGangs())
	if !ok {
		return
	}
	p.reserved = reservation{Reservation: v, job: j.ID, computedAt: p.now}
	p.defragment(j, v)
}

// runningGangs returns the allocations and the estimated end of each gang. It visits
// every gang, so it is used only while a gang is blocked.
func (p *pass) runningGangs() []placer.Running {
	m := remainingCache{estimates: p.estimates, cached: map[remainingKey]time.Duration{}}
	all := make([]placer.Running, 0, p.gangs.Len())
	for i := p.gangs.Iterator(); !i.Done(); {
		id, g, _ := i.Next()
		j, ok := p.jobs.Get(id)
		if !ok {
			continue
		}
		all = append(all, placer.Running{Job: id, Ends: p.now.Add(m.remaining(p.now, j, g)), Held: allocations(j, g)})
	}
	return all
}

// remainingCache estimates remaining run times, once for all gangs with the same key.
type remainingCache struct {
	estimates estimator.Estimator
	cached    map[remainingKey]time.Duration // only looked up, never iterated
}

// remainingKey is the input of an estimate.
type remainingKey struct {
	key      estimator.Key
	declared time.Duration
	elapsed  time.Duration
}

// remaining returns the upper estimate of how long a gang still runs.
func (m remainingCache) remaining(now time.Time, j *job, g *gang) time.Duration {
	if g.stage == stageStopping {
		return 0
	}
	a := remainingKey{key: j.estimateKey(), declared: j.DeclaredRun}
	if !g.started.IsZero() {
		a.elapsed = roundDown(now.Sub(g.started))
	}
	d, ok := m.cached[a]
	if !ok {
		d = m.estimates.Remaining(a.key, runQuantile, a.declared, a.elapsed)
		m.cached[a] = d
	}
	if d == 0 {
		return unknownRunTime
	}
	return d
}

// roundDown rounds a duration down by at most a sixteenth, in steps of at least a
// second. The estimates are coarser than that.
func roundDown(d time.Duration) time.Duration {
	const parts = 16
	step := time.Second
	for step*parts*2 <= d {
		step *= 2
	}
	return d.Truncate(step)
}

// allocations returns the resources that a gang holds on each worker.
func allocations(j *job, g *gang) []placer.Allocation {
	var all []placer.Allocation
	for _, v := range g.tasks {
		if v.state.ended() {
			continue
		}
		n := len(all) - 1
		if n >= 0 && all[n].Worker == v.worker {
			all[n].Held = all[n].Held.Plus(j.Gang.PerTask)
			continue
		}
		all = append(all, placer.Allocation{Worker: v.worker, Held: j.Gang.PerTask})
	}
	return all
}
