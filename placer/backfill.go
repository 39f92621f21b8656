package placer

import (
	"slices"
	"time"
)

// Backfill places a gang that is expected to run for run, so that it delays none
// of the reservations held. It takes the best place if it ends before the
// reservations that count on it, and else the best one besides them.
func Backfill(now time.Time, r Request, run time.Duration, workers []Worker, held []Reservation) (Placement, bool) {
	p, ok := Place(r, workers)
	if !ok || allAllow(now, p, r.PerTask, run, held) {
		return p, ok
	}
	rest := slices.Clone(workers)
	for _, v := range held {
		if now.Add(run).After(v.At) {
			take(rest, v.Placement, v.PerTask)
		}
	}
	p, ok = Place(r, rest)
	if !ok || !allAllow(now, p, r.PerTask, run, held) {
		return nil, false
	}
	return p, true
}

func allAllow(now time.Time, p Placement, perTask Resources, run time.Duration, held []Reservation) bool {
	return !slices.ContainsFunc(held, func(v Reservation) bool { return !v.Allows(now, p, perTask, run) })
}
