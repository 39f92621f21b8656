package placer

import (
	"cmp"
	"slices"
	"time"
)

// Running is a running gang and when it is expected to end.
type Running struct {
	Job  string
	Ends time.Time    // a high quantile of its learned run time, not the declared one
	Held []Allocation // at most one for each worker
}

// Reservation says where and when a gang that cannot start now will start, if
// the running gangs end as expected.
type Reservation struct {
	Placement Placement
	PerTask   Resources
	At        time.Time
	spare     []Worker // free resources at that time besides the reservation
}

// Reserve returns where and when r can start if the running gangs end as
// expected. It reports false when r does not fit even after all of them.
// A gang that is overdue counts as ending now.
func Reserve(now time.Time, r Request, workers []Worker, running []Running) (Reservation, bool) {
	if r.Tasks <= 0 {
		return Reservation{}, false
	}
	order := slices.Clone(running)
	slices.SortStableFunc(order, func(a, b Running) int {
		return cmp.Or(a.Ends.Compare(b.Ends), cmp.Compare(a.Job, b.Job))
	})
	m := newRoom(r, workers)
	at := now
	where := positionsOf(workers)
	for _, g := range order {
		if m.fits() && g.Ends.After(at) {
			break
		}
		if g.Ends.After(at) {
			at = g.Ends
		}
		for _, a := range g.Held {
			if i, ok := where[a.Worker]; ok {
				m.give(i, a.Held)
			}
		}
	}
	free := m.apply(workers)
	p, ok := Place(r, free)
	if !ok {
		return Reservation{}, false
	}
	take(free, p, r.PerTask)
	return Reservation{Placement: p, PerTask: r.PerTask, At: at, spare: free}, true
}

// ReserveAt returns the reservation of a placement that was chosen already, as
// by Victims: the gangs in running that end by then make room for it.
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
	take(free, p, perTask)
	return Reservation{Placement: p, PerTask: perTask, At: at, spare: free}
}

// TakenFrom returns the workers without what the reservation needs; what is free
// may become negative. A next gang reserves on these, so that no two gangs count
// on the same resources.
func (v Reservation) TakenFrom(workers []Worker) []Worker {
	free := slices.Clone(workers)
	take(free, v.Placement, v.PerTask)
	return free
}

// Allows reports whether a gang that is placed at p, with tasks of the size
// perTask, may start now without delaying the reservation: it is expected to
// end before, or it needs nothing that the reservation counts on.
func (v Reservation) Allows(now time.Time, p Placement, perTask Resources, run time.Duration) bool {
	if !now.Add(run).After(v.At) {
		return true
	}
	for i, id := range p {
		if slices.Contains(p[:i], id) {
			continue
		}
		at, ok := slices.BinarySearchFunc(v.spare, id, compareID)
		if ok && !perTask.Times(count(p[i:], id)).Fits(v.spare[at].Free) {
			return false
		}
	}
	return true
}

// With returns the reservation after a gang that may outlast its start was
// placed at p with tasks of the size perTask.
func (v Reservation) With(p Placement, perTask Resources) Reservation {
	v.spare = slices.Clone(v.spare)
	take(v.spare, p, perTask)
	return v
}

// take takes what a gang at p needs from the workers.
func take(workers []Worker, p Placement, perTask Resources) {
	for _, id := range p {
		if i, ok := slices.BinarySearchFunc(workers, id, compareID); ok {
			workers[i].Free = workers[i].Free.Minus(perTask)
		}
	}
}

func count(p Placement, id string) int {
	n := 0
	for _, w := range p {
		if w == id {
			n++
		}
	}
	return n
}
