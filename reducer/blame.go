package reducer

import "slices"

// recordFailure records that a job failed on a worker. A worker on which several
// different jobs fail in a row is quarantined. After that time one job may test it:
// another failure quarantines it for twice as long, a success clears it.
func (t *transition) recordFailure(id, job string) {
	t.changeWorker(id, func(w *worker) {
		if !slices.Contains(w.failedJobs, job) {
			w.failedJobs = append(slices.Clone(w.failedJobs), job)
		}
		if len(w.failedJobs) < quarantineAfterJobs || t.now.Before(w.quarantinedUntil) {
			return
		}
		w.quarantine = min(max(initialQuarantine, w.quarantine*2), maxQuarantine)
		w.quarantinedUntil = t.now.Add(w.quarantine)
		w.failedJobs = slices.Clone(w.failedJobs[:quarantineAfterJobs-1])
		t.setTimer(timerPlace, "worker "+id, w.quarantinedUntil)
	})
}

// clearFailures clears the failures of the workers of a gang that succeeded.
func (t *transition) clearFailures(g *gang) {
	for _, v := range g.tasks {
		w, ok := t.workers.Get(v.worker)
		if !ok || len(w.failedJobs) == 0 && w.quarantine == 0 {
			continue
		}
		t.changeWorker(v.worker, func(w *worker) {
			w.failedJobs = nil
			w.quarantine = 0
		})
	}
}

// failsEverywhere reports whether a job fails regardless of the worker. Failures on
// quarantined workers do not count, until the job has failed maxJobFailures times.
func (t *transition) failsEverywhere(j *job) bool {
	healthy := 0
	for _, id := range j.failedOn {
		if w, ok := t.workers.Get(id); !ok || w.quarantine == 0 {
			healthy++
		}
	}
	return healthy >= maxFailedWorkers || j.failures >= maxJobFailures
}
