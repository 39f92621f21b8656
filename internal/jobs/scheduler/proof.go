package scheduler

import (
	"maps"
	"slices"
	"time"
)

// maxUnheardLogged is the number of workers that the line about the end of a recovery names.
const maxUnheardLogged = 20

// previousRun is the last run of a task that this leader knew of, and what proved its end.
type previousRun struct {
	run    int64
	worker string
	proof  string
	at     time.Time
}

// recoveryEnd is how the recovery ended.
type recoveryEnd struct {
	at      time.Time
	unheard bool // a worker had not answered
}

// listedEnd returns a run as the previous one of its task after its worker has listed its end.
func listedEnd(now time.Time, w *worker, e End) *previousRun {
	return &previousRun{run: e.Run, worker: w.ID, proof: "listed as " + string(e.Reason), at: now}
}

// describePrevious adds what proved that no earlier run of a task exists any more.
func (s *Scheduler) describePrevious(now time.Time, d Details, j *job, t *task) {
	switch v := t.previous; {
	case v != nil:
		d["previous-run"], d["previous-worker"] = v.run, v.worker
		d["previous-ended-by"], d["previous-ended-ms"] = v.proof, now.Sub(v.at).Milliseconds()
	case j.inherited && s.recovery.unheard:
		d["previous-ended-by"], d["previous-ended-ms"] = "recovery timed out", now.Sub(s.recovery.at).Milliseconds()
	case j.inherited:
		d["previous-ended-by"], d["previous-ended-ms"] = "all workers were heard", now.Sub(s.recovery.at).Milliseconds()
	}
}

// unheardWorkers returns the workers that have not answered this leader and those that are
// unlisted, at most maxUnheardLogged.
func (s *Scheduler) unheardWorkers(unlisted []string) []string {
	all := append(slices.Sorted(maps.Keys(s.tracking.unanswered)), unlisted...)
	return all[:min(len(all), maxUnheardLogged)]
}
