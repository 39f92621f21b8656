package scheduler

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/quarantiner"
)

// sendHolds calls the workers that have runs or unacknowledged ends, or that have
// not answered yet.
func (s *Scheduler) sendHolds(now time.Time) {
	for _, w := range s.dueHolds(now) {
		h := Hold{Worker: w.ID, Address: w.Address, Epoch: s.Epoch, DecidedAt: now, Unheard: !w.fenced || !w.unresponsiveSince.IsZero()}
		ackDue := w.storedEnd > w.ackedEnd && w.unresponsiveSince.IsZero()
		delay, mayAck := s.mayAcknowledge(now, w)
		if ackDue && mayAck {
			h.Ack, h.MaxAckDelay = w.storedEnd, delay
		}
		if len(w.runs) > 0 && w.clockMS != 0 && w.unresponsiveSince.IsZero() { // leases on an unresponsive worker must be able to expire
			h.DeadlineMS = s.leaseDeadline(now, w)
			s.noteGrant(now, w, h.DeadlineMS)
		}
		if len(w.runs) > 0 && w.fenced && w.unresponsiveSince.IsZero() && !w.endsMissing && w.handledEnd == w.storedEnd && (mayAck || !ackDue) {
			h.Wait = s.pollWait(w)
		}
		if w.lookDue {
			w.lookDue, h.Wait = false, 0
		}
		w.holdInFlight = true
		w.holdSentAt = now
		s.emit(h)
	}
}

// pollWait returns for how long the worker may delay its answer to a hold.
func (s *Scheduler) pollWait(w *worker) time.Duration {
	switch {
	case w.servingRuns > 0 && w.fillerRuns > 0:
		return pacedHoldWait
	case s.tracking.busy > manyBusyWorkers:
		return longHoldWait
	default:
		return holdWait
	}
}

// nextHold returns when the next hold is due, or false if none is.
func (w *worker) nextHold(recovering bool) (time.Time, bool) {
	if !w.listed && len(w.runs) == 0 && (w.hasListedAll() || w.departed || !recovering) {
		return time.Time{}, false
	}
	if w.departed {
		return w.callFailedAt.Add(departedRetryDelay), true
	}
	var at time.Time
	if !w.callFailedAt.IsZero() {
		pause := holdRetryDelay
		switch {
		case !w.fenced:
			pause = recoveryRetryDelay
		case w.unresponsiveSince.Equal(w.callFailedAt):
			pause = 0 // a single call may have got lost
		}
		at = w.callFailedAt.Add(max(pause, w.rejectedPause()))
	}
	switch {
	case !w.fenced || !w.unresponsiveSince.IsZero() || w.lookDue:
		return at, true
	case w.withheldEnd != 0 && len(w.runs) == 0 && len(w.orphanEnds) == 0 && w.lastAckable() <= w.ackedEnd:
		return at, false
	case w.handledEnd > w.storedEnd:
		for _, last := range []time.Time{w.holdSentAt, w.heardAt} {
			if next := last.Add(unstoredHoldDelay); next.After(at) {
				at = next
			}
		}
		return at, true
	default:
		return at, len(w.runs) > 0 || w.storedEnd > w.ackedEnd
	}
}

// handleHoldResult applies a worker's report of its runs and ends.
func (s *Scheduler) handleHoldResult(now time.Time, e HoldResult) {
	w, ok := s.workers[e.Worker]
	if !ok {
		return
	}
	w.holdInFlight = false
	s.touch(w)
	switch e.Outcome {
	case OutcomeDone:
	default:
		s.handleFailedHold(now, w, e.Outcome)
		return
	}
	if e.StartedMS != 0 && e.StartedMS < w.StartedMS {
		return
	}
	if e.StartedMS > w.StartedMS {
		if w.StartedMS != 0 {
			s.workerRestarted(now, w, e.StartedMS)
		}
		w.StartedMS = e.StartedMS
	}
	w.departed, w.crashNoted = false, false
	if !w.unresponsiveSince.IsZero() && w.fenced {
		s.logDecision(Decision{Message: "worker answers again", Worker: w.ID, Details: Details{"silent-ms": now.Sub(w.unresponsiveSince).Milliseconds()}})
	}
	s.placementDue = s.placementDue || !w.fenced || !w.unresponsiveSince.IsZero()
	w.noteAnswer(now, e.ClockMS)
	if !w.fenced { // an earlier leader may have extended the leases until now
		w.leaseDeadlineMS = max(w.leaseDeadlineMS, e.ClockMS+s.Settings.Lease.Milliseconds())
	}
	w.fenced, w.endsMissing = true, e.Incomplete
	w.acceptedBy()
	w.ackedEnd = max(w.ackedEnd, e.Ack)
	w.noteAnswerTime(e)
	w.clockWentBack = false
	w.heardAt = now
	s.handleEnds(now, w, e.Ends)
	s.reconcileRuns(now, w, e)
	s.closeOpenStarts(now, w)
	if len(s.held) > 0 {
		s.sendHeldStarts(now, false)
	}
}

// handleFailedHold handles a hold without a report of the worker.
func (s *Scheduler) handleFailedHold(now time.Time, w *worker, o Outcome) {
	switch o {
	case OutcomeReplaced:
		s.workerReplaced(now, w)
	case OutcomeFenced:
		s.noteRejection(now, w)
	default:
		if w.unresponsiveSince.IsZero() {
			s.logDecision(Decision{Message: "worker does not answer", Worker: w.ID, Details: Details{detailOutcome: o, detailRuns: len(w.runs)}})
		}
		s.noteFailedCall(now, w, o)
	}
}

// reconcileRuns compares the runs that a worker lists with the expected ones.
func (s *Scheduler) reconcileRuns(now time.Time, w *worker, e HoldResult) {
	listed := make(map[placementKey]bool, len(e.Running))
	for _, r := range e.Running {
		r.Task = s.canonicalID(r.Task)
		k := placementKey{r.Task, r.Run}
		listed[k] = true
		p, ok := w.runs[k]
		if !ok {
			s.adopt(now, w, r)
			continue
		}
		if p.confirmedAt.IsZero() {
			p.confirmedAt, p.progressedAt = now, now
		}
		s.noteBegun(p)
		p.listedAt, p.measure = now, r.Measure
		w.noteListedRun()
		p.crashed = false
		if !p.outlived && w.answeredAt.Sub(p.confirmedAt) >= quarantiner.Window {
			s.clearSuspicion(w, p)
		}
		s.sampleRate(now, w, p, r.Percent)
		if r.Percent != p.percent {
			p.percent, p.progressedAt = r.Percent, now
		}
		if _, st, t := s.findTask(r.Task); t != nil && r.Checkpoint != "" && t.run == r.Run {
			st.primary(r.Task.Index).noteCheckpoint(now, r.Run, r.Checkpoint)
		}
	}
	if len(listed) < len(w.order) {
		s.loseAbsentRuns(now, w, e, listed)
	}
	s.detectStall(now, w)
	s.paceFillers(now, w)
}

// loseAbsentRuns gives up the runs on a worker that it lists neither as running nor as ended,
// and whose ends it will not list either.
func (s *Scheduler) loseAbsentRuns(now time.Time, w *worker, e HoldResult, listed map[placementKey]bool) {
	lose := s.loseRun
	if !w.unconfirmedSince.IsZero() {
		lose = s.giveUpRun // they may have been in an earlier instance
	}
	for _, p := range w.sortedRuns() {
		switch {
		case listed[placementKey{p.task, p.run}] || !p.confirmedAbsent(e):
		case !e.Incomplete:
			w.noteVanished(now, p)
			lose(now, w, p, "its worker no longer lists it")
		case w.listsNoFurtherEnds():
			s.abandonRun(w, p)
			s.giveUpRun(now, w, p, "its worker lists no further ends")
		}
	}
}

// confirmedAbsent reports whether a run that a list lacks is not on the worker and
// can't start there any more.
func (p *placement) confirmedAbsent(e HoldResult) bool {
	return (!p.stopAnsweredAt.IsZero() && p.stopAnsweredAt.Before(e.Sent)) ||
		(!p.confirmedAt.IsZero() && p.confirmedAt.Before(e.Sent)) ||
		(p.startDeadlineMS != 0 && e.ClockMS > p.startDeadlineMS)
}

// adopt takes over a run that an earlier leader started, or stops it if it is not
// wanted.
func (s *Scheduler) adopt(now time.Time, w *worker, r Running) {
	p := &placement{task: r.Task, run: r.Run, sentAt: now, confirmedAt: now, percent: r.Percent, measure: r.Measure, pace: unknownPace, progressedAt: now}
	j, st, t := s.findTask(r.Task)
	if t != nil {
		p.need, p.serving, p.filler = st.Need, st.Serving, st.Filler
		p.level = t.suspicion.Level()
	}
	s.addRun(w, p)
	if _, known := s.jobs[r.Task.Job]; !known {
		s.keepOrphanRun(now, w, p)
		return
	}
	if t == nil || j.state.Ended() || t.state != taskWaiting || !st.canAdopt(r.Run) || st.restartedAfter(r.Task.Index, r.Run) {
		s.logDecision(Decision{Message: "unwanted run is stopped", Job: r.Task.Job, Task: r.Task, Run: r.Run, Worker: w.ID})
		s.stopRun(now, w, p)
		return
	}
	st.setState(r.Task.Index, taskPlaced)
	t.run, t.worker = r.Run, w.ID
	if r.Checkpoint != "" {
		st.primary(r.Task.Index).checkpoint = r.Checkpoint
	}
	s.markRunning(j)
	s.logDecision(Decision{Message: "run of an earlier leader adopted", Job: j.ID, Task: r.Task, Run: r.Run, Worker: w.ID, Details: Details{"percent": r.Percent}})
}

// canAdopt reports whether a run may be adopted: all members of a gang have the same
// run number.
func (s *step) canAdopt(run int64) bool {
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

// noteBegun marks the job of a run as running once the worker has accepted its start: a job of
// which a start was only refused still counts as queued.
func (s *Scheduler) noteBegun(p *placement) {
	if j, _, _ := s.findTask(p.task); j != nil {
		s.markRunning(j)
	}
}

// markRunning marks a queued job as running.
func (s *Scheduler) markRunning(j *job) {
	if j.state == StateQueued {
		j.state = StateRunning
		s.markDirty(j)
	}
	if j.parent != nil {
		s.markRunning(j.parent)
	}
}
