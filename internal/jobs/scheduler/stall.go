package scheduler

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	stallTime     = 900 * time.Millisecond // without progress; a task of 2 s gains 40 % in it
	stallProgress = 3.0                    // percent that a run should have gained meanwhile, for rounding of what is reported
	stallRate     = 300 * time.Millisecond // of progress that tells how fast a run goes
	stallEnd      = 8 * time.Second        // workers stand still for 5 to 7 s; a run that gains nothing for longer is at fault itself
	stallLoss     = 3 * time.Second        // of work that may be lost by moving: workers stand still for 5 s and more
)

// judge finds out from the progress of its runs whether a worker stands still. It
// answers for workers that accept work, report good health and get nothing done: they
// get no tasks of urgent jobs, and those that they hold are moved if little is lost by
// that. Other work stays and may still come, as it can outlast the stall.
func (s *Scheduler) judge(now time.Time, w *worker) {
	still := false
	for _, p := range w.runs {
		switch s.progressOf(p) {
		case progressGood:
			if !w.stalled.IsZero() {
				w.stalled = time.Time{}
				s.note(Noted{Message: "runs on a worker go on again", Worker: w.ID})
			}
			return
		case progressNone:
			still = true
		case progressUnclear:
		}
	}
	if !still {
		return
	}
	s.passDue = true
	if !w.still(now) {
		s.note(Noted{Message: "runs on a worker stand still", Worker: w.ID, Details: Details{detailRuns: len(w.runs)}})
	}
	w.stalled = now
}

// still reports whether the worker was seen to stand still a moment ago.
func (w *worker) still(now time.Time) bool {
	return !w.stalled.IsZero() && now.Sub(w.stalled) < shunTime
}

// progress is what a run tells of its worker.
type progress int

const (
	progressUnclear progress = iota
	progressGood
	progressNone
)

// progressOf tells it as of the last look at the run.
func (s *Scheduler) progressOf(p *placement) progress {
	_, st, t := s.find(p.task)
	if t == nil || p.stopping || p.confirmed.IsZero() || p.percent >= fullPercent || st.Lasts {
		return progressUnclear
	}
	quiet := p.looked.Sub(p.moved)
	if p.percent > 0 && quiet < stallTime {
		return progressGood
	}
	if st.moved || quiet > stallEnd || (p.percent == 0 && st.Gang && !s.together(p)) {
		return progressUnclear
	}
	rate := fullPercent / max(float64(st.EstimateMS)/1000, 1) // percent a second
	if ran := p.moved.Sub(p.confirmed); p.percent > 0 && ran >= stallRate {
		rate = float64(p.percent) / ran.Seconds()
	}
	if quiet < stallTime || rate*quiet.Seconds() < stallProgress {
		return progressUnclear
	}
	return progressNone
}

// together reports whether the gang of a run has begun to work.
func (s *Scheduler) together(p *placement) bool {
	begun := false
	s.members(p, func(_ *worker, m *placement) { begun = begun || m.percent > 0 })
	return begun
}

// members calls f with the runs of the gang that p belongs to.
func (s *Scheduler) members(p *placement, f func(*worker, *placement)) {
	_, st, _ := s.find(p.task)
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

// moveStalled stops urgent runs that stand still and can run elsewhere at once.
func (p *pass) moveStalled() {
	for _, id := range p.s.order {
		w := p.s.workers[id]
		if !w.still(p.now) {
			continue
		}
		for _, r := range w.sorted() {
			j, st, t := p.s.find(r.task)
			if t == nil || !j.urgent() || r.stopping || t.run != r.run || t.worker != id || st.Lasts || p.s.progressOf(r) != progressNone {
				continue
			}
			if p.s.lossOf(st, r) <= stallLoss && p.fitsElsewhere(unit{j, r.task.Step, st}, r) {
				p.move(w, r, st, j)
			}
		}
	}
}

// move stops a run, or its gang. A step moves once: tasks that take far longer than
// declared seem to stand still on every worker.
func (p *pass) move(w *worker, r *placement, st *step, j *job) {
	st.moved = true
	p.s.note(Noted{Message: "run that stands still is moved", Job: j.ID, Task: r.task, Run: r.run, Worker: w.ID, Details: Details{"percent": r.percent, "still-ms": p.now.Sub(r.moved).Milliseconds()}})
	if st.Gang {
		p.s.breakGang(p.now, j, r.task.Step, r.run)
		return
	}
	p.s.stop(p.now, w, r)
}

// lossOf returns the work that is lost when a run, or its gang, is stopped.
func (s *Scheduler) lossOf(st *step, r *placement) time.Duration {
	if st.Checkpoints {
		return savedLoss
	}
	if !st.Gang {
		return r.worked(st)
	}
	lost := time.Duration(0)
	s.members(r, func(_ *worker, m *placement) { lost = max(lost, m.worked(st)) })
	return lost
}

// worked returns for how long a run has worked. One that was taken over began before
// this leader knew of it.
func (p *placement) worked(st *step) time.Duration {
	if p.percent == 0 {
		return 0
	}
	declared := time.Duration(st.EstimateMS) * time.Millisecond * time.Duration(p.percent) / fullPercent
	return max(declared, p.moved.Sub(p.confirmed))
}

// fitsElsewhere reports whether there is room for a run, or its whole gang, once it
// has left its workers.
func (p *pass) fitsElsewhere(u unit, r *placement) bool {
	q := placer.Request{Tasks: 1, PerTask: u.step.Need, Adjacency: placer.AdjacencyNone}
	all := append([]placer.Worker{}, p.allowed(u)...)
	if u.step.Gang {
		q.Tasks = len(u.step.tasks)
		p.s.members(r, func(w *worker, m *placement) {
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

// stalled reports whether any worker stands still.
func (s *Scheduler) stalled(now time.Time) bool {
	for _, w := range s.workers {
		if w.still(now) {
			return true
		}
	}
	return false
}
