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
	backfillQuantile = 0.9              // of the learned run times; backfill must end before a reservation
	endQuantile      = 0.5              // of the learned run times, for when running gangs end
	reservations     = 4                // held at once, for the large gangs that have waited longest
	largeTasks       = 8                // a gang of so many tasks, or with adjacency, is large
	movingCost       = 30 * time.Second // of work that each accelerator of a moved gang loses
	movingGrace      = 45 * time.Second
	reclaimMargin    = 5 * time.Second // after the grace, until a reclaim is tried again
)

// planned is a policy that calls the placer and the estimator and nothing else:
// no leases, no leader. It shows what the decisions alone can reach.
type planned struct {
	moving  bool // gangs are moved to make room for large ones
	times   estimator.Estimator
	queue   []*Job
	running []*Job
	leaving map[*Job]time.Time // told to stop, and gone by then
	called  map[*Job]call      // for which borrowers were told to stop
	shun    quarantine
}

// call is the room that borrowers were told to make for a job.
type call struct {
	placement placer.Placement
	by        time.Time
}

// hold is the reservation of a job that waits.
type hold struct {
	job         *Job
	reservation placer.Reservation
}

// Planned returns the policy that uses the placer and the estimator directly.
func Planned() Policy { return newPlanned("placer", false) }

// Moving returns Planned with Defragment.
func Moving() Policy { return newPlanned("placer-moving", true) }

func newPlanned(name string, moving bool) Policy {
	p := &planned{}
	return Policy{
		Name: name,
		Begin: func(*Driver) {
			*p = planned{
				moving:  moving,
				times:   estimator.New(estimator.DefaultKeys),
				leaving: make(map[*Job]time.Time),
				called:  make(map[*Job]call),
				shun:    newQuarantine(),
			}
		},
		Submitted: p.submitted,
		Cancelled: func(d *Driver, j *Job) {
			p.queue = without(p.queue, j)
			p.running = without(p.running, j)
			p.pass(d)
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

func (p *planned) submitted(d *Driver, j *Job) {
	p.queue = append(p.queue, j)
	p.pass(d)
}

func (p *planned) ended(d *Driver, j *Job, e End) {
	p.running = without(p.running, j)
	delete(p.leaving, j)
	delete(p.called, j)
	p.shun.ended(d, j, e)
	if e == EndSucceeded {
		p.times = p.times.With(keyOf(j), d.Now.Sub(j.Started))
	} else {
		p.queue = append(p.queue, j)
	}
	p.pass(d)
}

// pass starts what can start, first things first, and reserves for the large
// gangs that cannot.
func (p *planned) pass(d *Driver) {
	if len(p.queue) == 0 {
		return
	}
	p.order(d)
	workers := p.shun.open(d)
	held := p.reserve(d, workers)
	failed := make(map[placer.Request]bool)
	left := make([]*Job, 0, len(p.queue))
	for _, j := range p.queue {
		if p.start(d, j, failed, held) {
			held = slices.DeleteFunc(held, func(h hold) bool { return h.job == j })
			continue
		}
		left = append(left, j)
		if p.covered(d, j) && d.Now.After(p.called[j].by) {
			p.reclaim(d, j)
			held = p.reserve(d, workers)
		}
	}
	p.queue = left
}

// reserve returns the reservations of the jobs that borrowers make room for,
// and of the large gangs that have waited longest.
func (p *planned) reserve(d *Driver, workers []placer.Worker) []hold {
	var large []*Job
	var held []hold
	running := p.expected(d)
	for _, j := range p.queue {
		if c, ok := p.called[j]; ok && !d.Now.After(c.by) {
			v := placer.ReserveAt(c.by, c.placement, j.Job.Gang.PerTask, workers, running)
			held = append(held, hold{job: j, reservation: v})
			workers = v.TakenFrom(workers)
			continue
		}
		if j.Job.Gang.Tasks >= largeTasks || j.Job.Gang.Adjacency != placer.AdjacencyNone {
			large = append(large, j)
		}
	}
	slices.SortStableFunc(large, func(a, b *Job) int { return a.At.Compare(b.At) })
	for _, j := range large[:min(len(large), reservations)] {
		if v, ok := placer.Reserve(d.Now, j.Job.Gang, workers, running); ok {
			v = p.move(d, j, v, workers)
			held = append(held, hold{job: j, reservation: v})
			workers = v.TakenFrom(workers)
		}
	}
	return held
}

// start starts a job if it fits and delays no reservation.
func (p *planned) start(d *Driver, j *Job, failed map[placer.Request]bool, held []hold) bool {
	r := j.Job.Gang
	if failed[r] {
		return false
	}
	run := p.times.Quantile(keyOf(j), backfillQuantile, j.Job.DeclaredRun)
	var ahead []placer.Reservation
	for _, h := range held {
		if h.job == j {
			break // those behind it must wait for it
		}
		ahead = append(ahead, h.reservation)
	}
	at, ok := placer.Backfill(d.Now, r, run, p.shun.open(d), ahead)
	if !ok {
		_, fits := placer.Place(r, p.shun.open(d))
		failed[r] = !fits
		return false
	}
	if !d.Start(j, at) {
		return false
	}
	p.running = append(p.running, j)
	for i, h := range held {
		if h.job != j && d.Now.Add(run).After(h.reservation.At) {
			held[i].reservation = h.reservation.With(at, r.PerTask)
		}
	}
	return true
}

// order sorts the queue: covered by a guarantee, urgent, and then by how long
// the job has waited for its expected run time.
func (p *planned) order(d *Driver) {
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
		if p.covered(d, j) {
			r.level = 0
		}
		run := p.times.Quantile(keyOf(j), median, j.Job.DeclaredRun)
		r.ratio = float64(d.Now.Sub(j.At)) / float64(max(run, time.Second))
		ranks[j] = r
	}
	slices.SortStableFunc(p.queue, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(ranks[a].level, ranks[b].level), cmp.Compare(ranks[b].ratio, ranks[a].ratio))
	})
}

// expected returns when the running jobs will end.
func (p *planned) expected(d *Driver) []placer.Running {
	all := make([]placer.Running, 0, len(p.running))
	for _, r := range p.running {
		ends, ok := p.leaving[r]
		if !ok {
			left := p.times.Remaining(keyOf(r), endQuantile, r.Job.DeclaredRun, d.Now.Sub(r.Started))
			ends = d.Now.Add(left)
		}
		all = append(all, placer.Running{Job: r.Job.ID, Ends: ends, Held: placer.Held(r.Placement, r.Job.Gang.PerTask)})
	}
	return all
}
