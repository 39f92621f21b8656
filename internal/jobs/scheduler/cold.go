package scheduler

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// isCold reports whether a worker is still slow after its start or after an evacuation.
func (w *worker) isCold(now time.Time) bool { return now.Before(w.ColdUntil) }

// placeWarm chooses workers for a request: cold ones only for the tasks that do not fit on the
// others. It finds a placement whenever one exists.
func (s *Scheduler) placeWarm(now time.Time, r placer.Request, all []placer.Worker) (placer.Placement, bool) {
	if !now.Before(s.coldUntil) {
		return placer.Place(r, all)
	}
	var warm, cold []placer.Worker
	for _, v := range all {
		if w, ok := s.workers[v.ID]; ok && w.isCold(now) {
			cold = append(cold, v)
		} else {
			warm = append(warm, v)
		}
	}
	if at, ok := placer.Place(r, warm); ok {
		return at, true
	}
	if n := countFitting(r, warm); n > 0 && r.Adjacency == placer.AdjacencyNone {
		first, rest := r, r
		first.Tasks, rest.Tasks = n, r.Tasks-n
		a, okA := placer.Place(first, warm)
		b, okB := placer.Place(rest, cold)
		if okA && okB {
			return append(a, b...), true
		}
	}
	return placer.Place(r, all)
}
