package scheduler

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	minStallTime    = 900 * time.Millisecond // without progress; a task of 2 s gains 40 % in it
	minExpectedGain = 3.0                    // percent that a run should have gained in the time, as reports are rounded
	minRateTime     = 300 * time.Millisecond // of progress from which the rate of a run is estimated
	maxStallTime    = 8 * time.Second        // workers stall for 5 to 7 s; a run without progress for longer is at fault itself
	maxMoveLoss     = 3 * time.Second        // work that a move may lose: workers stall for 5 s and more
)

// detectStall detects from the progress of its runs whether a worker is stalled: it
// accepts work and reports good health, but its runs make no progress. A stalled
// worker gets no tasks of urgent jobs, and its urgent runs are moved if that loses
// little work. Other runs stay and may still start there, as they can outlast the
// stall.
func (s *Scheduler) detectStall(now time.Time, w *worker) {
	stalled := false
	for _, p := range w.runs {
		switch s.progressOf(p) {
		case progressMade:
			if !w.stalledAt.IsZero() {
				s.setStalled(w, time.Time{})
				s.logDecision(Decision{Message: "worker is no longer stalled", Worker: w.ID})
			}
			return
		case progressStalled:
			stalled = true
		case progressUnknown:
		}
	}
	if !stalled {
		return
	}
	s.placementDue = true
	if !w.isStalled(now) {
		s.logDecision(Decision{Message: "worker is stalled", Worker: w.ID, Details: Details{detailRuns: len(w.runs)}})
	}
	s.setStalled(w, now)
}

// setStalled sets when the runs on a worker were last seen to stall.
func (s *Scheduler) setStalled(w *worker, at time.Time) {
	w.stalledAt = at
	if at.IsZero() {
		delete(s.tracking.stalled, w.ID)
		return
	}
	s.tracking.stalled[w.ID] = w
}

// isStalled reports whether a stall was detected within the last exclusionTime.
func (w *worker) isStalled(now time.Time) bool {
	return !w.stalledAt.IsZero() && now.Sub(w.stalledAt) < exclusionTime
}

// runProgress is what a run shows about the state of its worker.
type runProgress int

const (
	progressUnknown runProgress = iota
	progressMade
	progressStalled
)

// progressOf returns the progress of a run as of its last report.
func (s *Scheduler) progressOf(p *placement) runProgress {
	_, st, t := s.findTask(p.task)
	if t == nil || p.stopping || p.confirmedAt.IsZero() || p.percent >= fullPercent || st.LongRunning {
		return progressUnknown
	}
	sinceProgress := p.listedAt.Sub(p.progressedAt)
	if p.percent > 0 && sinceProgress < minStallTime {
		return progressMade
	}
	if st.movedOnce || sinceProgress > maxStallTime || (p.percent == 0 && st.Gang && !s.gangBegun(p)) {
		return progressUnknown
	}
	rate := fullPercent / max(float64(st.EstimateMS)/1000, 1) // percent per second
	if ran := p.progressedAt.Sub(p.confirmedAt); p.percent > 0 && ran >= minRateTime {
		rate = float64(p.percent) / ran.Seconds()
	}
	if sinceProgress < minStallTime || rate*sinceProgress.Seconds() < minExpectedGain {
		return progressUnknown
	}
	return progressStalled
}

// gangBegun reports whether any member of a run's gang has made progress.
func (s *Scheduler) gangBegun(p *placement) bool {
	begun := false
	s.eachMember(p, func(_ *worker, m *placement) { begun = begun || m.percent > 0 })
	return begun
}

// eachMember calls f for each run of the gang that p belongs to.
func (s *Scheduler) eachMember(p *placement, f func(*worker, *placement)) {
	_, st, _ := s.findTask(p.task)
	for i := range st.tasks {
		t := &st.tasks[i]
		w, ok := s.workers[t.worker]
		if !ok || t.state != taskPlaced {
			continue
		}
		if m, ok := w.runs[placementKey{TaskID{p.task.Job, p.task.Step, i}, p.run}]; ok {
			f(w, m)
		}
	}
}

// moveStalled stops stalled urgent runs that can restart elsewhere at once.
func (p *pass) moveStalled() {
	for _, w := range sortedWorkers(p.s.tracking.stalled) {
		if !w.isStalled(p.now) {
			continue
		}
		for _, r := range w.sortedRuns() {
			j, st, t := p.s.findTask(r.task)
			if t == nil || !j.urgent() || r.stopping || t.run != r.run || t.worker != w.ID || st.LongRunning || p.s.progressOf(r) != progressStalled {
				continue
			}
			if p.s.lostWork(st, r) <= maxMoveLoss && p.fitsElsewhere(unit{j, r.task.Step, st}, r) {
				p.moveRun(w, r, st, j)
			}
		}
	}
}

// moveRun stops a run, or its gang, so that it restarts elsewhere. A step is moved
// once: tasks that take far longer than declared seem to stall on every worker.
func (p *pass) moveRun(w *worker, r *placement, st *step, j *job) {
	st.movedOnce = true
	p.s.logDecision(Decision{Message: "stalled run is moved", Job: j.ID, Task: r.task, Run: r.run, Worker: w.ID, Details: Details{"percent": r.percent, "still-ms": p.now.Sub(r.progressedAt).Milliseconds()}})
	if st.Gang {
		p.s.blameGangStop(r, wasteMoved)
		p.s.stopGang(p.now, j, r.task.Step, r.run)
		return
	}
	p.s.stopRun(p.now, w, r)
}

// lostWork returns the work that is lost when a run, or its gang, is stopped.
func (s *Scheduler) lostWork(st *step, r *placement) time.Duration {
	if st.Checkpoints {
		return checkpointLoss
	}
	if !st.Gang {
		return r.workDone(st)
	}
	lost := time.Duration(0)
	s.eachMember(r, func(_ *worker, m *placement) { lost = max(lost, m.workDone(st)) })
	return lost
}

// workDone estimates for how long a run has worked. An adopted run began before this
// leader confirmed it.
func (p *placement) workDone(st *step) time.Duration {
	if p.percent == 0 {
		return 0
	}
	declared := time.Duration(st.EstimateMS) * time.Millisecond * time.Duration(p.percent) / fullPercent
	return max(declared, p.progressedAt.Sub(p.confirmedAt))
}

// fitsElsewhere reports whether a run, or its whole gang, could be placed on
// eligible workers after it is stopped.
func (p *pass) fitsElsewhere(u unit, r *placement) bool {
	q := placer.Request{Tasks: 1, PerTask: u.step.Need, Adjacency: placer.AdjacencyNone}
	all := append([]placer.Worker{}, p.eligibleWorkers(u)...)
	if u.step.Gang {
		q.Tasks = len(u.step.tasks)
		p.s.eachMember(r, func(w *worker, m *placement) {
			for i := range all {
				if all[i].ID == w.ID {
					all[i].Free = all[i].Free.Plus(m.need)
				}
			}
		})
	}
	_, ok := placer.Place(q, all)
	return ok
}

// anyStalled reports whether any worker is stalled.
func (s *Scheduler) anyStalled(now time.Time) bool {
	for _, w := range s.tracking.stalled {
		if w.isStalled(now) {
			return true
		}
	}
	return false
}
