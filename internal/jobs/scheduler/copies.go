package scheduler

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	copyMinFactor   = 2               // multiple of its declared duration that a run takes before it may get a copy
	copyMinRunTime  = 2 * time.Second // minimum age of such a run, as the durations of short tasks are declared roughly
	copyFreeDivisor = 2               // at least 1/copyFreeDivisor of the resources of a service must be free for a copy
)

// removeRun removes a run that has ended on its worker, and reports whether the
// task now waits for a worker. The copy of a removed run becomes the run of the
// task.
func (s *step) removeRun(index int, worker string, run int64) bool {
	t := &s.tasks[index]
	switch {
	case t.copyRun == run && t.copyWorker == worker:
		t.copyRun, t.copyWorker = 0, ""
		return false
	case t.state != taskPlaced || t.run != run || t.worker != worker:
		return false
	case t.copyRun != 0:
		t.run, t.worker = t.copyRun, t.copyWorker
		t.copyRun, t.copyWorker = 0, ""
		return false
	}
	s.setState(index, taskWaiting)
	return true
}

// anySpeculative reports whether any active step allows copies of its runs.
func (s *Scheduler) anySpeculative() bool {
	for _, j := range s.active {
		for _, st := range j.steps {
			if st.Speculative {
				return true
			}
		}
	}
	return false
}

// startCopies starts copies of runs that take much longer than declared, as on a
// slow worker, if their steps allow it. A copy starts only while half of the
// resources are free and no task waits. Each task gets one copy: with more, a job
// that fails on every worker would use up its attempts sooner.
func (p *pass) startCopies() {
	for _, j := range p.s.active {
		if j.runsUntilCancelled() || !j.unconfirmedSince.IsZero() {
			continue
		}
		for i, st := range j.steps {
			if !st.Speculative || st.Gang || st.PerWorker > 0 {
				continue
			}
			for k := range st.tasks {
				if t := &st.tasks[k]; t.state == taskPlaced && !t.hadCopy && !t.suspicion.Suspected() && p.isSlow(TaskID{j.ID, i, k}, st, t) {
					p.startCopy(unit{j, i, st}, k)
				}
			}
		}
	}
}

// isSlow reports whether a new run of a task would probably end before the current
// one.
func (p *pass) isSlow(id TaskID, st *step, t *task) bool {
	w, ok := p.s.workers[t.worker]
	if !ok {
		return false
	}
	r, ok := w.runs[placementKey{id, t.run}]
	if !ok || r.stopping || r.confirmedAt.IsZero() {
		return false
	}
	declared := time.Duration(st.EstimateMS) * time.Millisecond
	ran := p.now.Sub(r.confirmedAt)
	if ran < max(copyMinFactor*declared, copyMinRunTime) {
		return false
	}
	if r.percent == 0 {
		return true
	}
	left := ran * time.Duration(fullPercent-r.percent) / time.Duration(r.percent)
	return left > declared
}

// startCopy starts a copy of the current run of a task on another worker.
func (p *pass) startCopy(u unit, index int) {
	t := &u.step.tasks[index]
	all := p.workers[u.job.queue.Service]
	if !hasSpareCapacity(all, u.step.Need) {
		return
	}
	var others []placer.Worker
	for _, v := range p.eligibleWorkers(u) {
		if v.ID != t.worker && !p.s.workers[v.ID].isStalled(p.now) {
			others = append(others, v)
		}
	}
	r := placer.Request{Tasks: 1, PerTask: u.step.Need, Adjacency: placer.AdjacencyNone}
	if near := inRack(others, u.step.DataRack); countFitting(r, near) > 0 {
		others = near
	}
	at, ok := p.s.placeWarm(p.now, r, others)
	if !ok {
		return
	}
	p.s.lastRun++
	t.copyWorker, t.copyRun, t.hadCopy = at[0], p.s.lastRun, true
	p.s.logDecision(Decision{Message: "copy of a slow run placed", Job: u.job.ID, Task: TaskID{u.job.ID, u.index, index}, Run: t.copyRun, Worker: t.copyWorker, Details: Details{"slow-run": t.run, "slow-worker": t.worker}})
	p.startRun(u, index, t.copyWorker, t.copyRun)
}

// hasSpareCapacity reports whether so many resources are free that a copy delays
// no other task.
func hasSpareCapacity(all []placer.Worker, need placer.Resources) bool {
	var free, total placer.Resources
	for i := range all {
		free, total = free.Plus(all[i].Free), total.Plus(all[i].Capacity)
	}
	if need.Accelerators > 0 {
		return free.Accelerators*copyFreeDivisor >= total.Accelerators
	}
	return free.MilliCores*copyFreeDivisor >= total.MilliCores
}

// stopCopies stops the copies on the workers of a service, because tasks wait
// there.
func (s *Scheduler) stopCopies(now time.Time, service string) {
	for _, j := range s.active {
		if j.queue.Service != service {
			continue
		}
		for i, st := range j.steps {
			if !st.Speculative {
				continue
			}
			for k := range st.tasks {
				s.stopCopy(now, TaskID{j.ID, i, k}, &st.tasks[k])
			}
		}
	}
}

// stopCopy stops the copy of a task, if it has one.
func (s *Scheduler) stopCopy(now time.Time, id TaskID, t *task) {
	w, ok := s.workers[t.copyWorker]
	if !ok || t.copyRun == 0 {
		return
	}
	if p, ok := w.runs[placementKey{id, t.copyRun}]; ok {
		s.stopRun(now, w, p)
	}
}
