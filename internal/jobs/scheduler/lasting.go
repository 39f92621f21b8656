package scheduler

import "time"

const (
	fillerExclusionTime = 2 * time.Second         // for which a worker gets no new fillers after its fillers were stopped; a filler with nothing else to go to must not stand for 3 s
	drainSlack          = 1500 * time.Millisecond // time that a draining worker often stays beyond the announced one
)

// vacateWorkers moves runs off workers that drain or whose machine goes down. Of
// the long-running tasks of a step, at most MaxUnavailable move at a time. Other
// runs move at once if they would be cut off: they restart seconds earlier than if
// their leases had to expire first, which matters on days when many workers are
// taken away.
func (s *Scheduler) vacateWorkers(now time.Time, watched []*worker) {
	for _, w := range watched {
		if !w.Draining && !w.evacuating {
			continue
		}
		for _, p := range w.sortedRuns() {
			s.vacateRun(now, w, p)
		}
	}
}

// vacateRun moves a run off a departing worker if it is due to move.
func (s *Scheduler) vacateRun(now time.Time, w *worker, p *placement) {
	j, st, t := s.findTask(p.task)
	if t == nil || p.stopping || t.run != p.run || t.worker != w.ID {
		return
	}
	if st.LongRunning && s.countUnavailable(j, p.task.Step) >= max(1, st.MaxUnavailable) {
		return
	}
	if !st.LongRunning && (!w.Draining || !s.outlastsWorker(now, w, j, st, p)) {
		return
	}
	s.logDecision(Decision{Message: "run is moved off a departing worker", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID})
	if st.Gang {
		s.blameGangStop(p, wasteMoved)
		s.stopGang(now, j, p.task.Step, p.run)
		return
	}
	s.stopRun(now, w, p)
}

// outlastsWorker reports whether a run would still be running when its worker
// leaves. Runs without checkpoints get drainSlack in addition, as workers often
// stay longer than announced.
func (*Scheduler) outlastsWorker(now time.Time, w *worker, j *job, st *step, p *placement) bool {
	timeLeft := w.staysUntil.Sub(now)
	if !st.Checkpoints {
		timeLeft += drainSlack
	}
	left := time.Duration(remainingSeconds(now, j, st, p) * float64(time.Second))
	return left > timeLeft
}

// countUnavailable returns how many tasks of a long-running step are not ready or
// are being stopped.
func (s *Scheduler) countUnavailable(j *job, step int) int {
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

// evictFillers stops the fillers on one worker with room for a serving task, which
// found no worker without fillers.
func (s *Scheduler) evictFillers(now time.Time, j *job, st *step) {
	placed := st.placedByWorker()
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if w.Service != j.queue.Service || !w.usable(now) || w.fillerRuns == 0 || !st.Need.Fits(w.Capacity.Minus(w.used)) ||
			!w.hasLabel(st.Label) || (st.PerWorker > 0 && placed[id] >= st.PerWorker) || (j.queue.Advice != nil && !st.hasTicket(now, w)) {
			continue
		}
		s.stopFillers(now, j, w)
		return
	}
}

// stopFillers stops the fillers on a worker and keeps others away from it for a while. Of the
// long-running ones of a step, at most MaxUnavailable are stopped at a time.
func (s *Scheduler) stopFillers(now time.Time, j *job, w *worker) {
	w.noFillersUntil = now.Add(fillerExclusionTime)
	logged := false
	for _, p := range w.sortedRuns() {
		if !p.filler || p.stopping || s.mustStay(p) {
			continue
		}
		if !logged {
			logged = true
			s.logDecision(Decision{Message: "fillers are stopped for a serving task", Job: j.ID, Worker: w.ID})
		}
		p.blameStop(wastePreempted)
		s.stopRun(now, w, p)
	}
}

// mustStay reports whether a long-running task may not be stopped now, as MaxUnavailable tasks of
// its step are not ready already.
func (s *Scheduler) mustStay(p *placement) bool {
	j, st, _ := s.findTask(p.task)
	return st != nil && st.LongRunning && s.countUnavailable(j, p.task.Step) >= max(1, st.MaxUnavailable)
}

// fillersStay reports whether all fillers on a worker must stay for now. A serving task then
// starts beside them, and their pace is reduced: it would wait for as long as they run.
func (s *Scheduler) fillersStay(w *worker) bool {
	for _, p := range w.order {
		if p.filler && (p.stopping || !s.mustStay(p)) {
			return false
		}
	}
	return true
}
