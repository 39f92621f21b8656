package scheduler

import "time"

const (
	noFillTime = 3 * time.Second         // a worker on which fillers were stopped gets no others for so long
	leaveDoubt = 1500 * time.Millisecond // a draining worker often stays that much longer than it says
)

// leave moves work off workers that drain or whose machine goes down. Tasks that
// last go as few at a time as their steps allow. Others go at once if they would be
// cut off: they start elsewhere seconds earlier than if their leases had to be waited
// for, which answers for days on which many workers are taken away.
func (s *Scheduler) leave(now time.Time) {
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if !w.Draining && !w.evacuating {
			continue
		}
		for _, p := range w.sortedRuns() {
			s.leaveWith(now, w, p)
		}
	}
}

// leaveWith moves one run off a worker that leaves, if it is to go now.
func (s *Scheduler) leaveWith(now time.Time, w *worker, p *placement) {
	j, st, t := s.findTask(p.task)
	if t == nil || p.stopping || t.run != p.run || t.worker != w.ID {
		return
	}
	if st.Lasts && s.away(j, p.task.Step) >= max(1, st.MayMiss) {
		return
	}
	if !st.Lasts && (!w.Draining || !s.cutOff(now, w, j, st, p)) {
		return
	}
	s.logDecision(Noted{Message: "task is moved off a worker that leaves", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID})
	if st.Gang {
		s.stopGang(now, j, p.task.Step, p.run)
		return
	}
	s.stopRun(now, w, p)
}

// cutOff reports whether a run does not end before its worker leaves. One that
// saves nothing gets the benefit of the doubt, as workers may stay for longer.
func (*Scheduler) cutOff(now time.Time, w *worker, j *job, st *step, p *placement) bool {
	stays := w.staysUntil.Sub(now)
	if !st.Checkpoints {
		stays += leaveDoubt
	}
	left := time.Duration(remaining(now, j, st, p) * float64(time.Second))
	return left > stays
}

// away returns how many tasks of a step are not at work, or are being stopped.
func (s *Scheduler) away(j *job, step int) int {
	n := 0
	for i, t := range j.steps[step].tasks {
		w, ok := s.workers[t.worker]
		if t.state != taskPlaced || !ok {
			n++
			continue
		}
		p, ok := w.runs[placementKey{TaskID{j.ID, step, i}, t.run}]
		if !ok || p.stopping || p.percent < fullPercent {
			n++
		}
	}
	return n
}

// clearFillers stops the fillers on one worker that a task which serves could run
// on, if there is no worker without any.
func (s *Scheduler) clearFillers(now time.Time, j *job, st *step) {
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if w.Service != j.queue.Service || !w.usable(now) || w.fillerRuns == 0 || !st.Need.Fits(w.Capacity.Minus(w.used)) {
			continue
		}
		s.logDecision(Noted{Message: "fillers make way for a task that serves", Job: j.ID, Worker: id})
		w.noFillersUntil = now.Add(noFillTime)
		for _, p := range w.sortedRuns() {
			if _, other, t := s.findTask(p.task); t != nil && other.Fills {
				s.stopRun(now, w, p)
			}
		}
		return
	}
}
