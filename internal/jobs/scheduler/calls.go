package scheduler

import (
	"slices"
	"time"
)

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

func (s *Scheduler) takeEnds(now time.Time, w *worker, ends []End) {
	for _, e := range ends {
		if e.Number <= w.seen {
			continue
		}
		e.Task = s.canonical(e.Task)
		w.seen = e.Number
		s.hurry = true
		s.passDue = true
		p, ok := w.runs[placementKey{e.Task, e.Run}]
		if ok {
			w.remove(p)
		}
		if _, known := s.jobs[e.Task.Job]; !known {
			if !ok || !p.stopping {
				s.keepStray(now, w, e)
			}
			continue
		}
		s.takeEnd(now, w, e)
	}
}

// takeEnd draws the conclusions from the end of a run.
func (s *Scheduler) takeEnd(now time.Time, w *worker, e End) {
	j, st, t := s.find(e.Task)
	if t == nil || j.state.Ended() {
		return
	}
	n := Noted{Message: "run ended", Job: j.ID, Task: e.Task, Run: e.Run, Worker: w.ID, Details: Details{"how": e.How, "end": e.Number}}
	if t.state == taskDone {
		n.Message = "end of a run of a task that is done already"
		s.note(n)
		return
	}
	s.note(n)
	lead := st.lead(e.Task.Index)
	if e.Saved != "" && e.Run >= lead.run {
		lead.saved = e.Saved
	}
	j.dirty = true
	if st.Lasts {
		s.restart(w, t, e)
		return
	}
	if e.How == HowDone {
		w.absolve()
		s.succeed(now, j, st, e)
		return
	}
	current := t.drop(w.ID, e.Run)
	if e.How == HowFailed {
		w.blame(now, j.ID)
		if !slices.Contains(st.failedOn, w.ID) {
			st.failedOn = append(st.failedOn, w.ID)
		}
		if n := st.fail(e.Task.Index, e.Run); n >= j.queue.MaxAttempts {
			s.end(now, j, StateFailed, "a task failed as often as its queue allows")
			return
		}
	}
	if st.Gang && current {
		s.breakGang(now, j, e.Task.Step, e.Run)
	}
}

// restart lets a task that lasts wait for another worker, however it ended.
func (*Scheduler) restart(w *worker, t *task, e End) {
	if e.How == HowFailed {
		w.blame(w.clockAt, e.Task.Job)
	}
	t.drop(w.ID, e.Run)
}

// succeed notes that a task, or a gang, has done its work.
func (s *Scheduler) succeed(now time.Time, j *job, st *step, e End) {
	t := &st.tasks[e.Task.Index]
	if t.state == taskPlaced && t.run != e.Run {
		s.stopTask(now, e.Task, t)
	}
	if t.copyRun != e.Run {
		s.stopCopy(now, e.Task, t)
	}
	t.run = e.Run
	st.finish(e.Task.Index)
	if j.completed() {
		s.end(now, j, StateCompleted, "all tasks have succeeded")
	}
}

// breakGang stops the members of a gang that still run.
func (s *Scheduler) breakGang(now time.Time, j *job, step int, run int64) {
	st := j.steps[step]
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.state == taskPlaced && t.run == run {
			s.stopTask(now, TaskID{j.ID, step, i}, t)
		}
	}
}

// stopTask stops the current run of a task.
func (s *Scheduler) stopTask(now time.Time, id TaskID, t *task) {
	w, ok := s.workers[t.worker]
	if !ok {
		return
	}
	if p, ok := w.runs[placementKey{id, t.run}]; ok {
		s.stop(now, w, p)
	}
}

// stop stops a run; it holds its room until its worker lists the end.
func (s *Scheduler) stop(now time.Time, w *worker, p *placement) {
	if p.stopping {
		return
	}
	p.stopping = true
	p.settled = time.Time{}
	s.sendStop(now, w, p)
}

func (s *Scheduler) sendStop(now time.Time, w *worker, p *placement) {
	p.inFlight = true
	p.stopSent = now
	s.emit(Stop{Worker: w.ID, Address: w.Address, Epoch: s.Epoch, Task: p.task, Run: p.run})
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

// started takes in the answer to a start.
func (s *Scheduler) started(now time.Time, e Started) {
	w, ok := s.workers[e.Start.Worker]
	if !ok {
		return
	}
	p, ok := w.runs[placementKey{e.Start.Task, e.Start.Run}]
	if !ok {
		return
	}
	if e.ClockMS != 0 {
		w.note(now, e.ClockMS)
	}
	if e.Outcome == OutcomeDone {
		if p.confirmed.IsZero() {
			p.confirmed, p.moved = now, now
		}
		return
	}
	s.note(Noted{Message: "start failed", Job: e.Start.Task.Job, Task: e.Start.Task, Run: e.Start.Run, Worker: w.ID, Details: Details{detailOutcome: e.Outcome}})
	switch e.Outcome {
	case OutcomeUnknown:
		w.missed(now)
		if j, st, _ := s.find(p.task); st != nil && st.Gang {
			s.breakGang(now, j, p.task.Step, p.run)
		}
		s.stop(now, w, p)
	case OutcomeUnsent, OutcomeReplaced:
		w.missed(now)
		s.lose(now, w, p, "its start was not sent")
	default:
		if _, st, _ := s.find(p.task); st != nil && e.Outcome == OutcomeTicket {
			delete(st.tickets, w.ID)
		}
		if e.Outcome == OutcomeFull || e.Outcome == OutcomeUnhealthy || e.Outcome == OutcomeInvalid {
			w.shun = now.Add(shunTime)
		}
		s.lose(now, w, p, "its start was refused")
	}
}

// stopped takes in the answer to a stop.
func (s *Scheduler) stopped(now time.Time, e Stopped) {
	w, ok := s.workers[e.Stop.Worker]
	if !ok {
		return
	}
	p, ok := w.runs[placementKey{e.Stop.Task, e.Stop.Run}]
	if !ok {
		return
	}
	p.inFlight = false
	switch e.Outcome {
	case OutcomeDone, OutcomeObsolete:
		p.settled = now
	case OutcomeUnknown, OutcomeUnsent:
		w.missed(now)
	default:
	}
}
