package measurer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// placeFunc chooses a worker for each task of a request.
type placeFunc func(placer.Request, []placer.Worker) (placer.Placement, bool)

// FirstCome is first come, first served: jobs start strictly in order of arrival,
// on the first workers with room.
func FirstCome() Policy { return newOrdered("fcfs-first-fit", firstFit, true) }

// FirstFit starts any waiting job that fits, in order of arrival, on the first
// workers with room.
func FirstFit() Policy { return newOrdered("first-fit", firstFit, false) }

// BestFit starts any waiting job that fits, in order of arrival, on the workers
// that placer.Place chooses. It makes no reservations.
func BestFit() Policy { return newOrdered("best-fit", placer.Place, false) }

// orderedPolicy considers the jobs of its queue in order of arrival.
type orderedPolicy struct {
	choose     placeFunc
	strict     bool // a job that does not fit blocks those behind it
	queue      []*Job
	quarantine quarantine
}

func newOrdered(name string, choose placeFunc, strict bool) Policy {
	o := &orderedPolicy{choose: choose, strict: strict}
	return Policy{
		Name:      name,
		Begin:     func(d *Driver) { o.quarantine = newQuarantine() },
		Submitted: o.submitted,
		Cancelled: func(d *Driver, j *Job) {
			o.queue = slices.DeleteFunc(o.queue, func(q *Job) bool { return q == j })
			o.schedule(d)
		},
		Ended: func(d *Driver, j *Job, e End) {
			o.quarantine.recordEnd(d, j, e)
			if e != EndSucceeded {
				o.queue = slices.Insert(o.queue, 0, j)
			}
			o.schedule(d)
		},
	}
}

func (o *orderedPolicy) submitted(d *Driver, j *Job) {
	o.queue = append(o.queue, j)
	o.schedule(d)
}

func (o *orderedPolicy) schedule(d *Driver) {
	failed := make(map[placer.Request]bool)
	left := o.queue[:0]
	blocked := false
	for _, j := range o.queue {
		if blocked || failed[j.Job.Gang] {
			left = append(left, j)
			continue
		}
		p, ok := o.choose(j.Job.Gang, o.quarantine.usable(d))
		if !ok || !d.Start(j, p) {
			failed[j.Job.Gang] = true
			blocked = o.strict
			left = append(left, j)
		}
	}
	o.queue = left
}

// firstFit chooses the first workers, by id, with room.
func firstFit(r placer.Request, workers []placer.Worker) (placer.Placement, bool) {
	taken := make(map[string]placer.Placement) // by worker or rack id, as the adjacency requires
	for _, w := range workers {
		at := ""
		switch r.Adjacency {
		case placer.AdjacencyWorker:
			at = w.ID
		case placer.AdjacencyRack:
			at = w.Rack
		case placer.AdjacencyNone:
		}
		for range min(placer.TasksThatFit(r.PerTask, w.Free), r.Tasks-len(taken[at])) {
			taken[at] = append(taken[at], w.ID)
		}
		if len(taken[at]) == r.Tasks {
			return taken[at], true
		}
	}
	return nil, false
}

const (
	maxConsecutiveFailures = 3                // of one worker, before it is quarantined
	quarantineTime         = 10 * time.Minute // before the worker is used again
)

// quarantine excludes workers that fail several jobs in a row.
type quarantine struct {
	failures map[string]int
	until    map[string]time.Time
}

func newQuarantine() quarantine {
	return quarantine{failures: make(map[string]int), until: make(map[string]time.Time)}
}

func (q quarantine) recordEnd(d *Driver, j *Job, e End) {
	for _, w := range slices.Compact(slices.Sorted(slices.Values(j.Placement))) {
		if e == EndSucceeded {
			q.failures[w] = 0
		}
		if e != EndFailed {
			continue
		}
		q.failures[w]++
		if q.failures[w] >= maxConsecutiveFailures {
			q.until[w] = d.Now.Add(quarantineTime)
		}
	}
}

// usable returns the workers that are not in quarantine.
func (q quarantine) usable(d *Driver) []placer.Worker {
	if len(q.until) == 0 {
		return d.Workers
	}
	return slices.DeleteFunc(slices.Clone(d.Workers), func(w placer.Worker) bool {
		return d.Now.Before(q.until[w.ID])
	})
}
