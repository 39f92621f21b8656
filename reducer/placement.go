package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// pass is one placement pass. It looks at the heads of all queues, in fair order,
// and starts what fits. Its cost grows with the number of workers, and with the
// jobs that it looks at, but not with the tasks that run.
type pass struct {
	*transition

	workers   []placer.Worker // usable ones, sorted by id
	size      placer.Resources
	failed    map[placer.Request]bool // requests that had no room; looked up, never ranged over
	blocked   *job                    // the first that waits for room
	blockedOf map[string]bool         // organisations with a large gang that waits for room
	loans     []loan                  // gangs of all organisations, read at the first call
	read      bool                    // loans were read
}

// cursor is the head of the queue of one organisation.
type cursor struct {
	tenant *tenant
	name   string
	queue  *immutable.SortedMapIterator[string, string]
	job    *job
	seen   int // jobs that were tried
	passed int // jobs that were looked at
}

// place starts the jobs that fit, calls guarantees back for those that are
// covered, and lets a large gang hold a reservation.
func (t *transition) place() {
	t.placementNeeded = false
	t.urgentWaiting = false
	if t.queues.Len() == 0 {
		return
	}
	p := &pass{transition: t, failed: map[placer.Request]bool{}, blockedOf: map[string]bool{}}
	p.workers = t.placerWorkers(func(w *worker) bool { return w.usable(t.now) })
	for _, w := range p.workers {
		p.size = p.size.Plus(w.Capacity)
	}
	p.lastPass = p.now
	p.setAside()
	cursors := p.cursors()
	for {
		i := p.next(cursors)
		if i < 0 || !t.hasEpoch() {
			break
		}
		p.try(cursors[i].job)
		p.advance(&cursors[i])
	}
	p.reserve()
	p.setTimer(timerPlace, "", p.now.Truncate(time.Minute).Add(time.Minute)) // guarantees begin and end at whole minutes
}

func (p *pass) cursors() []cursor {
	var all []cursor
	for i := p.queues.Iterator(); !i.Done(); {
		name, q, _ := i.Next()
		n, _ := p.tenants.Get(name)
		c := cursor{tenant: n, name: name, queue: q.Iterator()}
		p.advance(&c)
		all = append(all, c)
	}
	return all
}

// advance goes to the next job of a queue that may be placed now. Jobs that are
// passed over cost little, so that many of them do not hide a job behind them.
func (p *pass) advance(c *cursor) {
	c.job = nil
	for !c.queue.Done() && c.seen < maxTriedPerPass && c.passed < maxScannedPerPass {
		_, id, _ := c.queue.Next()
		c.passed++
		j, ok := p.liveJob(id)
		if ok && j.rank.missedStart(p.now) {
			p.requeue(j)
			continue
		}
		if ok && p.worthTrying(c, j) {
			c.seen++
			c.job = j
			return
		}
	}
}

// worthTrying reports whether a job may be placed as far as can be told at once:
// it is not alike to one that had no room, unless it may call a guarantee back.
func (p *pass) worthTrying(c *cursor, j *job) bool {
	if j.notBefore.After(p.now) || j.NonIdempotent && !p.recording() || !p.withinQuota(j.Job) {
		return false
	}
	guaranteed := c.tenant != nil && len(c.tenant.Guarantees) > 0
	return guaranteed || !p.failed[j.Gang]
}

// recording reports whether starts can be recorded. A provisional leader records
// none, for the leader of the term might record one too.
func (s State) recording() bool { return s.logUp && s.epoch.SubTerm == 0 }

// next returns the cursor whose job comes first: an urgent one, else the one of
// the organisation that uses least for its weight, where waiting counts too.
func (p *pass) next(all []cursor) int {
	best := -1
	var least float64
	for i, c := range all {
		if c.job == nil {
			continue
		}
		score := p.score(c)
		if best < 0 || score < least {
			best, least = i, score
		}
	}
	return best
}

// urgentLead puts urgent jobs before all others.
const urgentLead = 1e6

func (p *pass) score(c cursor) float64 {
	used, _ := p.usage.Get(c.name)
	share := max(
		ratio(used.Accelerators, p.size.Accelerators),
		ratio(used.MilliCores, p.size.MilliCores),
		ratio(used.MemoryMB, p.size.MemoryMB),
	)
	waited := p.now.Sub(c.job.accepted)
	score := share/c.tenant.weight() - float64(waited)/float64(ageingTime)
	if c.job.Class == ClassUrgent {
		score -= urgentLead
	}
	return score
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// try starts a job if it fits and may. Else a covered one calls its guarantee
// back, and the first that lacks room waits for the reservation.
func (p *pass) try(j *job) {
	if !p.withinQuota(j.Job) {
		return
	}
	if r, ok := p.reclaims.Get(j.ID); ok {
		p.collect(j, r)
		return
	}
	used, _ := p.usage.Get(j.Organisation)
	n, _ := p.tenants.Get(j.Organisation)
	_, covered := n.coveringGuarantee(p.now, j.Gang, used)
	if !p.failed[j.Gang] {
		at, ok := p.avoiding(j)
		if ok && (covered || p.allowed(j, at)) {
			p.start(j, at)
			return
		}
		p.failed[j.Gang] = !ok
	}
	if err := p.checkFeasible(j.Job); err != nil {
		p.end(j, p.refusalOutcome(j), err.Error(), 0) // the workers or guarantees have changed
		return
	}
	p.rememberFeasible(j.Job)
	switch {
	case covered:
		p.callSince(j, p.now)
	case p.failed[j.Gang]:
		p.block(j)
	}
}

// allowed reports whether a job may start on workers that have room: it neither
// delays the reservation nor borrows guaranteed capacity for work that could not
// be stopped without harm.
func (p *pass) allowed(j *job, at placer.Placement) bool {
	run := p.estimate(j)
	if j.NonIdempotent && !p.spare(p.now, j, run, p.workers) {
		return false
	}
	v := p.reserved
	if v.job == "" || v.job == j.ID {
		return true
	}
	if !v.Allows(p.now, at, j.Gang.PerTask, run) {
		return false
	}
	if p.now.Add(run).After(v.At) {
		p.reserved.Reservation = v.With(at, j.Gang.PerTask)
	}
	return true
}

// avoiding places a job away from the workers on which it failed, if it can.
func (p *pass) avoiding(j *job) (placer.Placement, bool) {
	if len(j.failedOn) > 0 {
		sound := slices.DeleteFunc(slices.Clone(p.workers), func(w placer.Worker) bool {
			return slices.Contains(j.failedOn, w.ID)
		})
		if at, ok := placer.Place(j.Gang, sound); ok {
			return at, true
		}
	}
	return placer.Place(j.Gang, p.workers)
}

// start has a job's gang prepared on its workers.
func (p *pass) start(j *job, at placer.Placement) {
	p.take(at, j.Gang.PerTask)
	p.startGang(j, at)
	if p.reserved.job == j.ID {
		p.reserved = reservation{}
	}
}

// take counts resources on workers as used.
func (p *pass) take(at placer.Placement, per placer.Resources) { takeFrom(p.workers, at, per) }

// takeFrom takes resources off workers, which are sorted by id.
func takeFrom(workers []placer.Worker, at placer.Placement, per placer.Resources) {
	for _, id := range at {
		i, ok := slices.BinarySearchFunc(workers, id, func(w placer.Worker, id string) int { return cmp.Compare(w.ID, id) })
		if ok {
			workers[i].Free = workers[i].Free.Minus(per)
		}
	}
}
