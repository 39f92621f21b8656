package scheduler

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	// maxEndWait is how long an urgent unit counts on runs that are about to end before it has
	// others stopped. In trials 150 ms lost more work, and a second gained nothing further.
	maxEndWait = 300 * time.Millisecond

	minAwaitedPercent = 10   // progress from which the end of a run is predicted; declared durations are wrong by a half and more
	awaitedCostFactor = 1e-3 // core-seconds of a second of waiting: any run that is stopped costs more
)

// endsAt returns the expected end of a run by its progress, or false if that is unknown.
func (p *placement) endsAt(now time.Time) (time.Time, bool) {
	if p.percent < minAwaitedPercent || p.confirmedAt.IsZero() {
		return time.Time{}, false
	}
	perPercent := p.progressedAt.Sub(p.confirmedAt) / time.Duration(p.percent)
	at := p.progressedAt.Add(perPercent * time.Duration(fullPercent-p.percent))
	if at.Before(now) {
		at = now.Add(minRemainingTime)
	}
	return at, true
}

// runOf returns the current run of the task or gang that a victim stands for, nil if there is
// none.
func (p *pass) runOf(v placer.Borrower) *placement {
	id := parseUnit(v.Job)
	_, _, t := p.s.findTask(id)
	if t == nil || t.state != taskPlaced {
		return nil
	}
	w, ok := p.s.workers[t.worker]
	if !ok {
		return nil
	}
	return w.runs[placementKey{id, t.run}]
}

// endsBy reports whether all runs of a victim are expected to end by themselves until the given
// time, and when.
func (p *pass) endsBy(v placer.Borrower, until time.Time) (time.Time, bool) {
	r := p.runOf(v)
	if r == nil || !until.After(p.now) {
		return time.Time{}, false
	}
	latest, all := time.Time{}, true
	p.s.eachMember(r, func(_ *worker, m *placement) {
		at, ok := m.endsAt(p.now)
		all = all && ok && !at.After(until)
		if at.After(latest) {
			latest = at
		}
	})
	return latest, all
}

// withAwaited returns the runs that may end for an urgent unit. Those that end by themselves
// until the given time cost next to nothing.
func (p *pass) withAwaited(borrowers []placer.Borrower, until time.Time) []placer.Borrower {
	if !until.After(p.now) {
		return borrowers
	}
	out := make([]placer.Borrower, len(borrowers))
	copy(out, borrowers)
	for i := range out {
		if at, ok := p.endsBy(out[i], until); ok {
			out[i].Cost = at.Sub(p.now).Seconds() * awaitedCostFactor
		}
	}
	return out
}

// await notes that an urgent unit counts on the end of a victim.
func (p *pass) await(v placer.Borrower, until time.Time) {
	if r := p.runOf(v); r != nil {
		p.s.eachMember(r, func(_ *worker, m *placement) { m.awaitedUntil = until })
	}
}

// withholdReserved withholds what is being freed for urgent units from all others, also from
// urgent ones that come before them: otherwise runs are stopped for a job that then does not
// start.
func (p *pass) withholdReserved(units []unit) {
	p.withheld = map[*step]bool{}
	for _, u := range units {
		if !u.job.urgent() || len(u.step.reserved) == 0 {
			continue
		}
		p.keepReserved(u, u.step.waiting)
		p.reserve(u)
		p.withheld[u.step] = true
	}
}

// releaseReserved gives a unit the resources that are withheld for it.
func (p *pass) releaseReserved(u unit) {
	if !p.withheld[u.step] {
		return
	}
	delete(p.withheld, u.step)
	for _, id := range u.step.reserved {
		p.reduceFree(u.job.queue.Service, id, placer.Resources{}.Minus(u.step.Need))
	}
}
