package scheduler

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	copyAfter   = 2               // declared durations that a run takes before a copy of it is thought of
	copyAfterAt = 2 * time.Second // and so long at least, as short tasks are declared roughly
	copyRoom    = 2               // one in so many parts of the room of a service must be free
)

// drop forgets a run of a task that is over on its worker, and reports whether the
// task now waits. Its copy, if it has one, takes its place.
func (t *task) drop(worker string, run int64) bool {
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
	t.state = taskWaiting
	return true
}

// speculative reports whether a step allows copies of its runs.
func (s *Scheduler) speculative() bool {
	for _, j := range s.active {
		for _, st := range j.steps {
			if st.Speculative {
				return true
			}
		}
	}
	return false
}

// copySlow starts copies of runs that take far longer than declared, where their steps
// allow it. It answers for workers that are slow on days with room to spare: a copy is
// made only where half of the room is free and nothing waits. A task gets one: a job
// that fails everywhere would use up its attempts sooner.
func (p *pass) copySlow() {
	for _, j := range p.s.active {
		if j.runsUntilCancelled() || !j.unconfirmedSince.IsZero() {
			continue
		}
		for i, st := range j.steps {
			if !st.Speculative || st.Gang || st.PerWorker > 0 {
				continue
			}
			for k := range st.tasks {
				if t := &st.tasks[k]; t.state == taskPlaced && !t.hadCopy && p.slow(TaskID{j.ID, i, k}, st, t) {
					p.copyRun(unit{j, i, st}, k)
				}
			}
		}
	}
}

// slow reports whether a new run of a task would probably end before the one under way.
func (p *pass) slow(id TaskID, st *step, t *task) bool {
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
	if ran < max(copyAfter*declared, copyAfterAt) {
		return false
	}
	if r.percent == 0 {
		return true
	}
	left := ran * time.Duration(fullPercent-r.percent) / time.Duration(r.percent)
	return left > declared
}

// copyRun starts a copy of the run of a task on another worker.
func (p *pass) copyRun(u unit, index int) {
	t := &u.step.tasks[index]
	all := p.workers[u.job.queue.Service]
	if !roomToSpare(all, u.step.Need) {
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
	at, ok := placer.Place(r, others)
	if !ok {
		return
	}
	p.s.lastRun++
	t.copyWorker, t.copyRun, t.hadCopy = at[0], p.s.lastRun, true
	p.s.logDecision(Noted{Message: "slow run gets a copy", Job: u.job.ID, Task: TaskID{u.job.ID, u.index, index}, Run: t.copyRun, Worker: t.copyWorker, Details: Details{"slow-run": t.run, "slow-worker": t.worker}})
	p.startRun(u, index, t.copyWorker, t.copyRun)
}

// roomToSpare reports whether so much of the room of workers is free that a copy costs
// nobody's start.
func roomToSpare(all []placer.Worker, need placer.Resources) bool {
	var free, whole placer.Resources
	for i := range all {
		free, whole = free.Plus(all[i].Free), whole.Plus(all[i].Capacity)
	}
	if need.Accelerators > 0 {
		return free.Accelerators*copyRoom >= whole.Accelerators
	}
	return free.MilliCores*copyRoom >= whole.MilliCores
}

// dropCopies stops the copies on the workers of a service, as something waits there.
func (s *Scheduler) dropCopies(now time.Time, service string) {
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

// stopCopy stops the copy of a run, if there is one.
func (s *Scheduler) stopCopy(now time.Time, id TaskID, t *task) {
	w, ok := s.workers[t.copyWorker]
	if !ok || t.copyRun == 0 {
		return
	}
	if p, ok := w.runs[placementKey{id, t.copyRun}]; ok {
		s.stopRun(now, w, p)
	}
}
