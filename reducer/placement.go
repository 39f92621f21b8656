package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// pass is one placement pass. It visits the heads of all queues in fair-share order
// and starts the jobs that fit. Its cost grows with the number of workers and of
// visited jobs, but not with the number of running tasks.
type pass struct {
	*transition

	workers        []placer.Worker // usable ones, sorted by id
	capacity       placer.Resources
	unplaceable    map[placer.Request]bool // requests that did not fit in this pass; only looked up, never iterated
	blocked        *job                    // job that gets the reservation, nil if none lacks room
	hasBlockedGang map[string]bool         // organisations with a large gang that lacks room
	coverage       []gangCoverage          // of all gangs, computed for the first reclaim of the pass
	coverageKnown  bool                    // coverage was computed
}

// cursor is a position in the queue of one organisation.
type cursor struct {
	tenant  *tenant
	name    string
	queue   *immutable.SortedMapIterator[string, string]
	job     *job
	tried   int // number of jobs tried
	scanned int // number of jobs visited, including skipped ones
}

// place starts the jobs that fit, reclaims guaranteed capacity for jobs that a
// guarantee covers, and reserves capacity for a large gang.
func (t *transition) place() {
	t.placementNeeded = false
	t.urgentWaiting = false
	if t.queues.Len() == 0 {
		return
	}
	p := &pass{transition: t, unplaceable: map[placer.Request]bool{}, hasBlockedGang: map[string]bool{}}
	p.workers = t.placerWorkers(func(w *worker) bool { return w.usable(t.now) })
	for _, w := range p.workers {
		p.capacity = p.capacity.Plus(w.Capacity)
	}
	p.lastPass = p.now
	p.reserveReclaimed()
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

// advance moves to the next job of a queue that may be placed now. Skipped jobs are
// cheap and have a higher limit, so that many of them do not block a job behind them.
func (p *pass) advance(c *cursor) {
	c.job = nil
	for !c.queue.Done() && c.tried < maxTriedPerPass && c.scanned < maxScannedPerPass {
		_, id, _ := c.queue.Next()
		c.scanned++
		j, ok := p.liveJob(id)
		if ok && j.rank.missedStart(p.now) {
			p.requeue(j)
			continue
		}
		if ok && p.eligible(c, j) {
			c.tried++
			c.job = j
			return
		}
	}
}

// eligible is a cheap check of whether a job may be placed: an identical request has
// not failed in this pass, unless the job may reclaim guaranteed capacity.
func (p *pass) eligible(c *cursor, j *job) bool {
	if j.notBefore.After(p.now) || j.NonIdempotent && !p.canRecordStarts() || !p.withinQuota(j.Job) {
		return false
	}
	guaranteed := c.tenant != nil && len(c.tenant.Guarantees) > 0
	return guaranteed || !p.unplaceable[j.Gang]
}

// canRecordStarts reports whether starts can be recorded. A provisional leader records
// none, because the leader of the term might record one too.
func (s State) canRecordStarts() bool { return s.logUp && s.epoch.SubTerm == 0 }

// next returns the index of the cursor whose job comes first, or -1: urgent jobs
// first, then by the organisation's usage relative to its weight, less the job's
// waiting time.
func (p *pass) next(all []cursor) int {
	best := -1
	var lowest float64
	for i, c := range all {
		if c.job == nil {
			continue
		}
		score := p.score(c)
		if best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	return best
}

// urgentBonus orders urgent jobs before all others.
const urgentBonus = 1e6

func (p *pass) score(c cursor) float64 {
	used, _ := p.usage.Get(c.name)
	share := max(
		ratio(used.Accelerators, p.capacity.Accelerators),
		ratio(used.MilliCores, p.capacity.MilliCores),
		ratio(used.MemoryMB, p.capacity.MemoryMB),
	)
	waited := p.now.Sub(c.job.accepted)
	score := share/c.tenant.weight() - float64(waited)/float64(ageingTime)
	if c.job.Class == ClassUrgent {
		score -= urgentBonus
	}
	return score
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// try starts a job if it fits and may start. Otherwise a job that a guarantee covers
// reclaims its capacity, and one that lacks room competes for the reservation.
func (p *pass) try(j *job) {
	if !p.withinQuota(j.Job) {
		return
	}
	if r, ok := p.reclaims.Get(j.ID); ok {
		p.startReclaimed(j, r)
		return
	}
	used, _ := p.usage.Get(j.Organisation)
	n, _ := p.tenants.Get(j.Organisation)
	_, covered := n.coveringGuarantee(p.now, j.Gang, used)
	if !p.unplaceable[j.Gang] {
		at, ok := p.placeAvoidingFailures(j)
		if ok && (covered || p.mayStart(j, at)) {
			p.start(j, at)
			return
		}
		p.unplaceable[j.Gang] = !ok
	}
	if err := p.checkFeasible(j.Job); err != nil {
		p.endJob(j, p.refusalOutcome(j), err.Error(), 0) // the workers or guarantees have changed since it was accepted
		return
	}
	p.rememberFeasible(j.Job)
	switch {
	case covered:
		p.reclaimSince(j, p.now)
	case p.unplaceable[j.Gang]:
		p.markBlocked(j)
	}
}

// mayStart reports whether a job may start on workers that have room: it must not
// delay the reservation, and a non-idempotent job must not borrow guaranteed
// capacity, as it could not be stopped without harm.
func (p *pass) mayStart(j *job, at placer.Placement) bool {
	run := p.estimate(j)
	if j.NonIdempotent && !p.leavesGuarantees(p.now, j, run, p.workers) {
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
		p.reserved.Reservation = v.WithBackfilled(at, j.Gang.PerTask)
	}
	return true
}

// placeAvoidingFailures places a job, if possible on workers on which it has not failed.
func (p *pass) placeAvoidingFailures(j *job) (placer.Placement, bool) {
	if len(j.failedOn) > 0 {
		others := slices.DeleteFunc(slices.Clone(p.workers), func(w placer.Worker) bool {
			return slices.Contains(j.failedOn, w.ID)
		})
		if at, ok := placer.Place(j.Gang, others); ok {
			return at, true
		}
	}
	return placer.Place(j.Gang, p.workers)
}

// start takes the resources of a gang and prepares its tasks on the workers.
func (p *pass) start(j *job, at placer.Placement) {
	p.allocate(at, j.Gang.PerTask)
	p.startGang(j, at)
	if p.reserved.job == j.ID {
		p.reserved = reservation{}
	}
}

// allocate subtracts resources from the free resources of workers for this pass.
func (p *pass) allocate(at placer.Placement, perTask placer.Resources) {
	allocateOn(p.workers, at, perTask)
}

// allocateOn subtracts resources from the free resources of workers, sorted by id.
func allocateOn(workers []placer.Worker, at placer.Placement, perTask placer.Resources) {
	for _, id := range at {
		i, ok := slices.BinarySearchFunc(workers, id, func(w placer.Worker, id string) int { return cmp.Compare(w.ID, id) })
		if ok {
			workers[i].Free = workers[i].Free.Minus(perTask)
		}
	}
}
