package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/estimator"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// reservation is held for the first gang that waits for room. Other jobs start
// before it only where they do not delay it.
type reservation struct {
	placer.Reservation

	job  string
	made time.Time
}

// reserve renews the reservation for the gang that was blocked first.
func (p *pass) reserve() {
	j := p.blocked
	if j != nil && p.reserved.job == j.ID && p.now.Sub(p.reserved.made) < reservationInterval {
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
	p.reserved = reservation{Reservation: v, job: j.ID, made: p.now}
	p.move(j, v)
}

// runningGangs returns what each gang holds and when it should end. It looks at
// every gang, so it is used only while a gang is blocked.
func (p *pass) runningGangs() []placer.Running {
	m := remainder{estimates: p.estimates, known: map[alike]time.Duration{}}
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

// remainder estimates how long gangs still run, once for all that are alike.
type remainder struct {
	estimates estimator.Estimator
	known     map[alike]time.Duration // looked up, never ranged over
}

// alike is what the estimates of gangs depend on.
type alike struct {
	key      estimator.Key
	declared time.Duration
	elapsed  time.Duration
}

// remaining returns how long a gang still runs at most, by what was learned.
func (m remainder) remaining(now time.Time, j *job, g *gang) time.Duration {
	if g.stage == stageStopping {
		return 0
	}
	a := alike{key: j.estimateKey(), declared: j.DeclaredRun}
	if !g.started.IsZero() {
		a.elapsed = roughly(now.Sub(g.started))
	}
	d, ok := m.known[a]
	if !ok {
		d = m.estimates.Remaining(a.key, runQuantile, a.declared, a.elapsed)
		m.known[a] = d
	}
	if d == 0 {
		return unknownRun
	}
	return d
}

// roughly rounds a time down to a part of a sixteenth, to no less than a second;
// the estimates are coarser than that.
func roughly(d time.Duration) time.Duration {
	const parts = 16
	step := time.Second
	for step*parts*2 <= d {
		step *= 2
	}
	return d.Truncate(step)
}

// allocations returns what a gang holds on each worker.
func allocations(j *job, g *gang) []placer.Allocation {
	var all []placer.Allocation
	for _, v := range g.tasks {
		if v.state.over() {
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
