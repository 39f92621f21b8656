package measurer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// place is a way to choose workers.
type place func(placer.Request, []placer.Worker) (placer.Placement, bool)

// FirstCome starts jobs strictly in order of arrival on the first workers that
// have room.
func FirstCome() Policy { return inOrder("fcfs-first-fit", firstFit, true) }

// FirstFit starts any waiting job that fits, in order of arrival, on the first
// workers that have room.
func FirstFit() Policy { return inOrder("first-fit", firstFit, false) }

// BestFit starts any waiting job that fits, in order of arrival, on the workers
// that suit it best, and reserves nothing.
func BestFit() Policy { return inOrder("best-fit", placer.Place, false) }

// ordered is a policy that goes through its queue in order of arrival.
type ordered struct {
	choose place
	strict bool // a job that does not fit holds up those behind it
	queue  []*Job
	shun   quarantine
}

func inOrder(name string, choose place, strict bool) Policy {
	o := &ordered{choose: choose, strict: strict}
	return Policy{
		Name:      name,
		Begin:     func(d *Driver) { o.shun = newQuarantine() },
		Submitted: o.submitted,
		Cancelled: func(d *Driver, j *Job) {
			o.queue = slices.DeleteFunc(o.queue, func(q *Job) bool { return q == j })
			o.pass(d)
		},
		Ended: func(d *Driver, j *Job, e End) {
			o.shun.ended(d, j, e)
			if e != EndSucceeded {
				o.queue = slices.Insert(o.queue, 0, j)
			}
			o.pass(d)
		},
	}
}

func (o *ordered) submitted(d *Driver, j *Job) {
	o.queue = append(o.queue, j)
	o.pass(d)
}

func (o *ordered) pass(d *Driver) {
	failed := make(map[placer.Request]bool)
	left := o.queue[:0]
	blocked := false
	for _, j := range o.queue {
		if blocked || failed[j.Job.Gang] {
			left = append(left, j)
			continue
		}
		p, ok := o.choose(j.Job.Gang, o.shun.open(d))
		if !ok || !d.Start(j, p) {
			failed[j.Job.Gang] = true
			blocked = o.strict
			left = append(left, j)
		}
	}
	o.queue = left
}

// firstFit chooses the first workers, by id, that have room.
func firstFit(r placer.Request, workers []placer.Worker) (placer.Placement, bool) {
	taken := make(map[string]placer.Placement) // by place that the adjacency allows
	for _, w := range workers {
		at := ""
		switch r.Adjacency {
		case placer.AdjacencyWorker:
			at = w.ID
		case placer.AdjacencyRack:
			at = w.Rack
		case placer.AdjacencyNone:
		}
		for range min(placer.Count(r.PerTask, w.Free), r.Tasks-len(taken[at])) {
			taken[at] = append(taken[at], w.ID)
		}
		if len(taken[at]) == r.Tasks {
			return taken[at], true
		}
	}
	return nil, false
}

const (
	failuresInARow = 3                // after these a worker is left alone
	quarantineTime = 10 * time.Minute // until it is tried again
)

// quarantine leaves workers alone that fail one job after another.
type quarantine struct {
	failures map[string]int
	until    map[string]time.Time
}

func newQuarantine() quarantine {
	return quarantine{failures: make(map[string]int), until: make(map[string]time.Time)}
}

func (q quarantine) ended(d *Driver, j *Job, e End) {
	for _, w := range slices.Compact(slices.Sorted(slices.Values(j.Placement))) {
		if e == EndSucceeded {
			q.failures[w] = 0
		}
		if e != EndFailed {
			continue
		}
		q.failures[w]++
		if q.failures[w] >= failuresInARow {
			q.until[w] = d.Now.Add(quarantineTime)
		}
	}
}

// open returns the workers that may be used now.
func (q quarantine) open(d *Driver) []placer.Worker {
	if len(q.until) == 0 {
		return d.Workers
	}
	return slices.DeleteFunc(slices.Clone(d.Workers), func(w placer.Worker) bool {
		return d.Now.Before(q.until[w.ID])
	})
}
