package placer

import (
	"cmp"
	"slices"
	"time"
)

// Running is a running gang with its expected end.
type Running struct {
	Job  string
	Ends time.Time    // from a high quantile of its estimated run time, not the declared one
	Held []Allocation // at most one for each worker
}

// Reservation is the placement and start time of a gang that cannot start now,
// if the running gangs end as expected.
type Reservation struct {
	Placement Placement
	PerTask   Resources
	At        time.Time
	remaining []Worker // resources free at that time in addition to the reservation
}

// Reserve returns the earliest start and placement of r if the running gangs
// end as expected. It reports false if r does not fit even after all of them.
// An overdue gang counts as ending now.
func Reserve(now time.Time, r Request, workers []Worker, running []Running) (Reservation, bool) {
	if r.Tasks <= 0 {
		return Reservation{}, false
	}
	byEnd := slices.Clone(running)
	slices.SortStableFunc(byEnd, func(a, b Running) int {
		return cmp.Or(a.Ends.Compare(b.Ends), cmp.Compare(a.Job, b.Job))
	})
	m := newFitTracker(r, workers)
	start := now
	byID := positionsOf(workers)
	for _, g := range byEnd {
		if m.fits() && g.Ends.After(start) {
			break
		}
		if g.Ends.After(start) {
			start = g.Ends
		}
		for _, a := range g.Held {
			if i, ok := byID[a.Worker]; ok {
				m.release(i, a.Held)
			}
		}
	}
	free := m.withFree(workers)
	p, ok := Place(r, free)
	if !ok {
		return Reservation{}, false
	}
	allocate(free, p, r.PerTask)
	return Reservation{Placement: p, PerTask: r.PerTask, At: start, remaining: free}, true
}

// ReserveAt returns a reservation for an existing placement, such as that of
// Victims, on the resources that are free once the gangs in running that end by
// then have ended.
func ReserveAt(at time.Time, p Placement, perTask Resources, workers []Worker, running []Running) Reservation {
	free := slices.Clone(workers)
	for _, g := range running {
		if g.Ends.After(at) {
			continue
		}
		for _, a := range g.Held {
			if i, ok := slices.BinarySearchFunc(free, a.Worker, compareID); ok {
				free[i].Free = free[i].Free.Plus(a.Held)
			}
		}
	}
	allocate(free, p, perTask)
	return Reservation{Placement: p, PerTask: perTask, At: at, remaining: free}
}

// SubtractFrom returns the workers less the reserved resources; free amounts
// may become negative. The next gang reserves on these workers, so that no two
// gangs reserve the same resources.
func (v Reservation) SubtractFrom(workers []Worker) []Worker {
	free := slices.Clone(workers)
	allocate(free, v.Placement, v.PerTask)
	return free
}

// Allows reports whether a gang placed at p may start now without delaying the
// reservation: it is expected to end before the reservation starts, or it uses
// none of the reserved resources.
func (v Reservation) Allows(now time.Time, p Placement, perTask Resources, runTime time.Duration) bool {
	if !now.Add(runTime).After(v.At) {
		return true
	}
	for i, id := range p {
		if slices.Contains(p[:i], id) {
			continue
		}
		k, ok := slices.BinarySearchFunc(v.remaining, id, compareID)
		if ok && !perTask.Times(tasksOn(p[i:], id)).Fits(v.remaining[k].Free) {
			return false
		}
	}
	return true
}

// WithBackfilled returns the reservation after a gang that may still run at its
// start was placed at p.
func (v Reservation) WithBackfilled(p Placement, perTask Resources) Reservation {
	v.remaining = slices.Clone(v.remaining)
	allocate(v.remaining, p, perTask)
	return v
}

// allocate subtracts the resources of a gang placed at p from the workers.
func allocate(workers []Worker, p Placement, perTask Resources) {
	for _, id := range p {
		if i, ok := slices.BinarySearchFunc(workers, id, compareID); ok {
			workers[i].Free = workers[i].Free.Minus(perTask)
		}
	}
}

// tasksOn returns how many tasks of a placement run on a worker.
func tasksOn(p Placement, id string) int {
	n := 0
	for _, w := range p {
		if w == id {
			n++
		}
	}
	return n
}
