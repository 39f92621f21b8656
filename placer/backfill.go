package placer

import (
	"slices"
	"time"
)

// Backfill places a gang with the expected run time so that it delays none of
// the reservations. It prefers the best placement on all free resources, if the
// gang ends before the reservations that need them, and otherwise uses
// resources that are not reserved.
func Backfill(now time.Time, r Request, runTime time.Duration, workers []Worker, reservations []Reservation) (Placement, bool) {
	p, ok := Place(r, workers)
	if !ok || allAllow(now, p, r.PerTask, runTime, reservations) {
		return p, ok
	}
	remaining := slices.Clone(workers)
	for _, v := range reservations {
		if now.Add(runTime).After(v.At) {
			allocate(remaining, v.Placement, v.PerTask)
		}
	}
	p, ok = Place(r, remaining)
	if !ok || !allAllow(now, p, r.PerTask, runTime, reservations) {
		return nil, false
	}
	return p, true
}

func allAllow(now time.Time, p Placement, perTask Resources, runTime time.Duration, reservations []Reservation) bool {
	return !slices.ContainsFunc(reservations, func(v Reservation) bool { return !v.Allows(now, p, perTask, runTime) })
}
