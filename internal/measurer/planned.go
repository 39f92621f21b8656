package measurer

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/estimator"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

const (
	backfillQuantile = 0.9              // of learned run times; backfilled jobs must end before a reservation
	endQuantile      = 0.5              // of learned run times; predicts the ends of running gangs
	maxReservations  = 4                // held at a time, for the large gangs that have waited longest
	largeGangTasks   = 8                // a gang with at least this many tasks, or with adjacency, is large
	movingCost       = 30 * time.Second // work lost per accelerator of a moved gang
	movingGrace      = 45 * time.Second
	reclaimMargin    = 5 * time.Second // after the grace, before a reclaim is retried
)

// placerPolicy calls only the placer and the estimator, without leases or a
// leader. It shows the effect of the scheduling decisions alone.
type placerPolicy struct {
	moving      bool // gangs are moved to make room for large gangs
	runTimes    estimator.Estimator
	queue       []*Job
	running     []*Job
	stopping    map[*Job]time.Time  // jobs told to stop, with the latest time of their stop
	preemptions map[*Job]preemption // by the waiting job that they make room for
	quarantine  quarantine
}

// preemption is a placement that running jobs were told to vacate for a job.
type preemption struct {
	placement placer.Placement
	deadline  time.Time
}

// heldReservation is the reservation of a waiting job.
type heldReservation struct {
	job         *Job
	reservation placer.Reservation
}

// Placer returns the policy that uses the placer and the estimator directly.
func Placer() Policy { return newPlacer("placer", false) }

// PlacerMoving returns the Placer policy with placer.Defragment.
func PlacerMoving() Policy { return newPlacer("placer-moving", true) }

func newPlacer(name string, moving bool) Policy {
	p := &placerPolicy{}
	return Policy{
		Name: name,
		Begin: func(*Driver) {
			*p = placerPolicy{
				moving:      moving,
				runTimes:    estimator.New(estimator.DefaultKeys),
				stopping:    make(map[*Job]time.Time),
				preemptions: make(map[*Job]preemption),
				quarantine:  newQuarantine(),
			}
		},
		Submitted: p.submitted,
		Cancelled: func(d *Driver, j *Job) {
			p.queue = without(p.queue, j)
			p.running = without(p.running, j)
			p.schedule(d)
		},
		Ended: p.ended,
	}
}

func without(all []*Job, j *Job) []*Job {
	return slices.DeleteFunc(all, func(o *Job) bool { return o == j })
}

func keyOf(j *Job) estimator.Key {
	return estimator.JobKey(j.Job.Organisation, j.Job.Service, string(j.Job.Class), j.Job.Gang.Tasks)
}

func (p *placerPolicy) submitted(d *Driver, j *Job) {
	p.queue = append(p.queue, j)
	p.schedule(d)
}

func (p *placerPolicy) ended(d *Driver, j *Job, e End) {
	p.running = without(p.running, j)
	delete(p.stopping, j)
	delete(p.preemptions, j)
	p.quarantine.recordEnd(d, j, e)
	if e == EndSucceeded {
		p.runTimes = p.runTimes.With(keyOf(j), d.Now.Sub(j.Started))
	} else {
		p.queue = append(p.queue, j)
	}
	p.schedule(d)
}

// schedule starts the jobs that fit, in order of priority, and reserves capacity
// for large gangs that do not fit.
func (p *placerPolicy) schedule(d *Driver) {
	if len(p.queue) == 0 {
		return
	}
	p.sortQueue(d)
	workers := p.quarantine.usable(d)
	held := p.reserve(d, workers)
	failed := make(map[placer.Request]bool)
	left := make([]*Job, 0, len(p.queue))
	for _, j := range p.queue {
		if p.tryStart(d, j, failed, held) {
			held = slices.DeleteFunc(held, func(h heldReservation) bool { return h.job == j })
			continue
		}
		left = append(left, j)
		if p.isCovered(d, j) && d.Now.After(p.preemptions[j].deadline) {
			p.reclaim(d, j)
			held = p.reserve(d, workers)
		}
	}
	p.queue = left
}

// reserve returns the reservations of the jobs with a pending preemption and of
// the large gangs that have waited longest.
func (p *placerPolicy) reserve(d *Driver, workers []placer.Worker) []heldReservation {
	var large []*Job
	var held []heldReservation
	running := p.expectedEnds(d)
	for _, j := range p.queue {
		if c, ok := p.preemptions[j]; ok && !d.Now.After(c.deadline) {
			v := placer.ReserveAt(c.deadline, c.placement, j.Job.Gang.PerTask, workers, running)
			held = append(held, heldReservation{job: j, reservation: v})
			workers = v.SubtractFrom(workers)
			continue
		}
		if j.Job.Gang.Tasks >= largeGangTasks || j.Job.Gang.Adjacency != placer.AdjacencyNone {
			large = append(large, j)
		}
	}
	slices.SortStableFunc(large, func(a, b *Job) int { return a.At.Compare(b.At) })
	for _, j := range large[:min(len(large), maxReservations)] {
		if v, ok := placer.Reserve(d.Now, j.Job.Gang, workers, running); ok {
			v = p.defragment(d, j, v, workers)
			held = append(held, heldReservation{job: j, reservation: v})
			workers = v.SubtractFrom(workers)
		}
	}
	return held
}

// tryStart starts a job if it fits without delaying a reservation.
func (p *placerPolicy) tryStart(d *Driver, j *Job, failed map[placer.Request]bool, held []heldReservation) bool {
	r := j.Job.Gang
	if failed[r] {
		return false
	}
	run := p.runTimes.Quantile(keyOf(j), backfillQuantile, j.Job.DeclaredRun)
	var ahead []placer.Reservation
	for _, h := range held {
		if h.job == j {
			break // later reservations have lower priority than the job
		}
		ahead = append(ahead, h.reservation)
	}
	at, ok := placer.Backfill(d.Now, r, run, p.quarantine.usable(d), ahead)
	if !ok {
		_, fits := placer.Place(r, p.quarantine.usable(d))
		failed[r] = !fits
		return false
	}
	if !d.Start(j, at) {
		return false
	}
	p.running = append(p.running, j)
	for i, h := range held {
		if h.job != j && d.Now.Add(run).After(h.reservation.At) {
			held[i].reservation = h.reservation.WithBackfilled(at, r.PerTask)
		}
	}
	return true
}

// sortQueue orders the queue: jobs covered by a guarantee, urgent jobs, others;
// within each by the ratio of waiting time to expected run time, largest first.
func (p *placerPolicy) sortQueue(d *Driver) {
	type rank struct {
		level int
		ratio float64
	}
	ranks := make(map[*Job]rank, len(p.queue))
	for _, j := range p.queue {
		r := rank{level: 2}
		if j.Job.Class == reducer.ClassUrgent {
			r.level = 1
		}
		if p.isCovered(d, j) {
			r.level = 0
		}
		run := p.runTimes.Quantile(keyOf(j), median, j.Job.DeclaredRun)
		r.ratio = float64(d.Now.Sub(j.At)) / float64(max(run, time.Second))
		ranks[j] = r
	}
	slices.SortStableFunc(p.queue, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(ranks[a].level, ranks[b].level), cmp.Compare(ranks[b].ratio, ranks[a].ratio))
	})
}

// expectedEnds returns the running jobs with their expected ends.
func (p *placerPolicy) expectedEnds(d *Driver) []placer.Running {
	all := make([]placer.Running, 0, len(p.running))
	for _, r := range p.running {
		ends, ok := p.stopping[r]
		if !ok {
			left := p.runTimes.Remaining(keyOf(r), endQuantile, r.Job.DeclaredRun, d.Now.Sub(r.Started))
			ends = d.Now.Add(left)
		}
		all = append(all, placer.Running{Job: r.Job.ID, Ends: ends, Held: placer.AllocationsOf(r.Placement, r.Job.Gang.PerTask)})
	}
	return all
}
