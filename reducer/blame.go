package reducer

import "slices"

// blame notes that a job failed on a worker. A worker on which several different
// jobs fail in a row is quarantined. After its time one job may probe it: a
// further failure quarantines it for twice as long, a success clears it.
func (t *turn) blame(id, job string) {
	t.changeWorker(id, func(w *worker) {
		if !slices.Contains(w.failed, job) {
			w.failed = append(slices.Clone(w.failed), job)
		}
		if len(w.failed) < quarantineJobs || t.now.Before(w.until) {
			return
		}
		w.sentence = min(max(quarantineTime, w.sentence*2), quarantineLimit)
		w.until = t.now.Add(w.sentence)
		w.failed = slices.Clone(w.failed[:quarantineJobs-1])
		t.arm(timerPlace, "worker "+id, w.until)
	})
}

// praise clears the workers of a gang that has succeeded.
func (t *turn) praise(g *gang) {
	for _, v := range g.tasks {
		w, ok := t.workers.Get(v.worker)
		if !ok || len(w.failed) == 0 && w.sentence == 0 {
			continue
		}
		t.changeWorker(v.worker, func(w *worker) {
			w.failed = nil
			w.sentence = 0
		})
	}
}

// broken reports whether a job fails wherever it runs. Failures on workers that
// are quarantined say nothing about it, until there are many.
func (t *turn) broken(j *job) bool {
	sound := 0
	for _, id := range j.failedOn {
		if w, ok := t.workers.Get(id); !ok || w.sentence == 0 {
			sound++
		}
	}
	return sound >= brokenWorkers || j.failures >= brokenFailures
}
