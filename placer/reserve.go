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
	At        time.Time
	spare     []Worker // free resources at that time besides the reservation
}

// Reserve returns where and when r can start if the running gangs end as
// expected. It reports false when r does not fit even after all of them.
// A gang that is overdue counts as ending now.
func Reserve(now time.Time, r Request, workers []Worker, running []Running) (Reservation, bool) {
	order := slices.Clone(running)
	slices.SortStableFunc(order, func(a, b Running) int {
		return cmp.Or(a.Ends.Compare(b.Ends), cmp.Compare(a.Job, b.Job))
	})
	free := slices.Clone(workers)
	at := now
	for i := 0; ; i++ {
		if p, ok := Place(r, free); ok {
			return Reservation{Placement: p, At: at, spare: withPlacement(free, p, r.PerTask)}, true
		}
		if i == len(order) {
			return Reservation{}, false
		}
		release(free, order[i].Held)
		if order[i].Ends.After(at) {
			at = order[i].Ends
		}
	}
}

// Allows reports whether a gang that is placed at p, with tasks of the size
// perTask, may start now without delaying the reservation: it is expected to
// end before, or it needs nothing that the reservation counts on.
func (v Reservation) Allows(now time.Time, p Placement, perTask Resources, run time.Duration) bool {
	if !now.Add(run).After(v.At) {
		return true
	}
	for _, w := range withPlacement(v.spare, p, perTask) {
		if w.Free.MilliCores < 0 || w.Free.MemoryMB < 0 || w.Free.Accelerators < 0 {
			return false
		}
	}
	return true
}

// With returns the reservation after a gang that may outlast its start was
// placed at p with tasks of the size perTask.
func (v Reservation) With(p Placement, perTask Resources) Reservation {
	v.spare = withPlacement(v.spare, p, perTask)
	return v
}

// withPlacement returns the workers without what a gang at p takes.
func withPlacement(workers []Worker, p Placement, perTask Resources) []Worker {
	free := slices.Clone(workers)
	for _, id := range p {
		release(free, []Allocation{{Worker: id, Held: Resources{}.Minus(perTask)}})
	}
	return free
}
