package scheduler

import "time"

// hold calls the workers on which something runs, whose ends are to be
// acknowledged, or that have not answered yet.
func (s *Scheduler) hold(now time.Time) {
	for _, id := range s.order {
		w := s.workers[id]
		if w.holding || !w.wantsHold(now, s.recovering) {
			continue
		}
		h := Hold{Worker: id, Address: w.Address, Epoch: s.Epoch, Decided: now}
		// Ends are numbered anew in each life: a number goes out once, and only to
		// a worker that has just answered. Others are asked first.
		due := w.stored > w.acked && w.silent.IsZero()
		fresh := elapsed(now, w.heardAt) <= ackFresh
		if due && fresh {
			h.Ack = w.stored
		}
		if len(w.runs) > 0 && w.clockMS != 0 && w.silent.IsZero() { // a silent worker's leases must be able to run out
			h.DeadlineMS = w.clock(now) + s.Settings.Lease.Milliseconds()
			w.deadline = max(w.deadline, h.DeadlineMS)
		}
		if len(w.runs) > 0 && w.fenced && w.seen == w.stored && (fresh || !due) {
			h.Wait = w.look()
		}
		w.holding = true
		w.heldAt = now
		s.emit(h)
	}
}

// look returns for how long a look at the worker may wait for news.
func (w *worker) look() time.Duration {
	if w.serving > 0 && w.filling > 0 {
		return pacedLook
	}
	return holdWait
}

func (w *worker) wantsHold(now time.Time, recovering bool) bool {
	pause := holdPause
	if !w.fenced {
		pause = recoveryPause
	}
	if !w.failedAt.IsZero() && now.Sub(w.failedAt) < pause {
		return false
	}
	if !w.listed && len(w.runs) == 0 && (w.fenced || !recovering) {
		return false
	}
	if !w.fenced || !w.silent.IsZero() {
		return true
	}
	if w.seen > w.stored {
		return now.Sub(w.heldAt) >= storePause
	}
	return len(w.runs) > 0 || w.stored > w.acked
}

// held takes in the lists of a worker.
func (s *Scheduler) held(now time.Time, e Held) {
	w, ok := s.workers[e.Worker]
	if !ok {
		return
	}
	w.holding = false
	switch e.Outcome {
	case OutcomeDone:
	case OutcomeReplaced:
		s.replaced(now, w)
		return
	default:
		if w.silent.IsZero() {
			s.note(Noted{Message: "worker does not answer", Worker: w.ID, Details: Details{detailOutcome: e.Outcome, detailRuns: len(w.runs)}})
		}
		w.missed(now)
		return
	}
	if e.Born != 0 && e.Born < w.Born {
		return
	}
	if e.Born > w.Born {
		if w.Born != 0 {
			s.reborn(now, w, e.Born)
		}
		w.Born = e.Born
	}
	if !w.silent.IsZero() && w.fenced {
		s.note(Noted{Message: "worker answers again", Worker: w.ID, Details: Details{"silent-ms": now.Sub(w.silent).Milliseconds()}})
	}
	s.passDue = s.passDue || !w.fenced || !w.silent.IsZero()
	w.note(now, e.ClockMS)
	if !w.fenced { // an earlier leader may have extended the leases until now
		w.deadline = max(w.deadline, e.ClockMS+s.Settings.Lease.Milliseconds())
	}
	w.fenced = true
	w.acked = max(w.acked, e.Ack)
	w.heardAt = e.Sent // when it answered is not known: this VM may have been paused before it read the answer
	s.takeEnds(now, w, e.Ends)
	s.takeRunning(now, w, e)
}

// takeRunning compares what a worker lists as running with what it should run.
func (s *Scheduler) takeRunning(now time.Time, w *worker, e Held) {
	listed := make(map[placementKey]bool, len(e.Running))
	for _, r := range e.Running {
		r.Task = s.canonical(r.Task)
		k := placementKey{r.Task, r.Run}
		listed[k] = true
		p, ok := w.runs[k]
		if !ok {
			s.adopt(now, w, r)
			continue
		}
		if p.confirmed.IsZero() {
			p.confirmed, p.moved = now, now
		}
		p.looked, p.measure = now, r.Measure
		if r.Percent != p.percent {
			p.percent, p.moved = r.Percent, now
		}
		if _, st, t := s.find(r.Task); t != nil && r.Saved != "" && t.run == r.Run {
			st.lead(r.Task.Index).saved = r.Saved
		}
	}
	for _, p := range w.sorted() {
		if !listed[placementKey{p.task, p.run}] && p.over(e) {
			s.lose(now, w, p, "its worker lists it no more")
		}
	}
	s.judge(now, w)
	s.paceFillers(now, w)
}

// over reports whether a run that a list lacks is not on the worker and never
// will be.
func (p *placement) over(e Held) bool {
	return (!p.settled.IsZero() && p.settled.Before(e.Sent)) ||
		(!p.confirmed.IsZero() && p.confirmed.Before(e.Sent)) ||
		(p.untilMS != 0 && e.ClockMS > p.untilMS)
}

// adopt takes over a run that an earlier leader started, or stops one that is
// not wanted.
func (s *Scheduler) adopt(now time.Time, w *worker, r Running) {
	p := &placement{task: r.Task, run: r.Run, confirmed: now, percent: r.Percent, measure: r.Measure, pace: unknownPace, moved: now}
	j, st, t := s.find(r.Task)
	if t != nil {
		p.need, p.serves, p.fills = st.Need, st.Serves, st.Fills
	}
	w.add(p)
	if _, known := s.jobs[r.Task.Job]; !known {
		s.adoptStray(now, w, p)
		return
	}
	if t == nil || j.state.Ended() || t.state != taskWaiting || !st.accepts(r.Run) {
		s.note(Noted{Message: "run is not wanted", Job: r.Task.Job, Task: r.Task, Run: r.Run, Worker: w.ID})
		s.stop(now, w, p)
		return
	}
	t.state, t.run, t.worker = taskPlaced, r.Run, w.ID
	if r.Saved != "" {
		st.lead(r.Task.Index).saved = r.Saved
	}
	s.begin(j)
	s.note(Noted{Message: "run taken over", Job: j.ID, Task: r.Task, Run: r.Run, Worker: w.ID, Details: Details{"percent": r.Percent}})
}

// accepts reports whether a run may be taken over: the members of a gang share
// its number.
func (s *step) accepts(run int64) bool {
	if !s.Gang {
		return true
	}
	for i := range s.tasks {
		if s.tasks[i].state == taskPlaced && s.tasks[i].run != run {
			return false
		}
	}
	return true
}

// begin notes that a job has begun.
func (s *Scheduler) begin(j *job) {
	if j.state == StateQueued {
		j.state = StateRunning
		j.dirty = true
	}
	if j.parent != nil {
		s.begin(j.parent)
	}
}
