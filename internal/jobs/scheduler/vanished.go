package scheduler

import "time"

const (
	vanishLimit           = 3 // starts in a row that a worker accepted and did not list then; one may be lost in a restart that no answer has shown yet
	maxVanishedExclusions = 4 // doublings of exclusionTime, up to about a minute
)

// noteVanished counts a run that its worker accepted and then listed neither as running nor as
// ended. Such a worker would get the same tasks again and again, so it gets none for a while,
// longer each time until it lists a run.
func (w *worker) noteVanished(now time.Time, p *placement) {
	if !p.listedAt.IsZero() || p.confirmedAt.IsZero() || p.stopping || !p.sentAt.After(w.instanceSince) {
		return
	}
	w.vanishedStarts++
	if w.vanishedStarts < vanishLimit {
		return
	}
	w.vanishedStarts = vanishLimit - 1 // the next one excludes it again
	if now.Before(w.excludedUntil) {
		return // it was started before that
	}
	w.excludedUntil = now.Add(exclusionTime << min(w.vanishedExclusions, maxVanishedExclusions))
	w.vanishedExclusions++
}

// noteListedRun records that a worker has listed a run of this leader.
func (w *worker) noteListedRun() { w.vanishedStarts, w.vanishedExclusions = 0, 0 }
