package scheduler

import "time"

// stopTask stops the current run of a task.
func (s *Scheduler) stopTask(now time.Time, id TaskID, t *task) {
	w, ok := s.workers[t.worker]
	if !ok {
		return
	}
	if p, ok := w.runs[placementKey{id, t.run}]; ok {
		s.stopRun(now, w, p)
	}
}

// stopRun stops a run. It occupies its resources until its worker reports the end.
func (s *Scheduler) stopRun(now time.Time, w *worker, p *placement) {
	if p.stopping {
		return
	}
	p.stopping = true
	w.stoppingRuns++
	s.touch(w)
	p.stopAnsweredAt = time.Time{}
	s.sendStop(now, w, p)
}

// stopRetryPause returns how long after a stop without an answer it is sent again: longer
// each time, as the answers may be queueing on this VM's own link.
func (p *placement) stopRetryPause() time.Duration {
	return min(maxStopRetryDelay, stopRetryDelay<<min(p.stopsSent-1, maxStopDoublings))
}

func (s *Scheduler) sendStop(now time.Time, w *worker, p *placement) {
	p.stopInFlight = true
	p.stopSentAt = now
	p.stopsSent++
	s.emit(Stop{Worker: w.ID, Address: w.Address, Epoch: s.Epoch, Task: p.task, Run: p.run})
}

// handleStartResult handles the result of a start.
func (s *Scheduler) handleStartResult(now time.Time, e StartResult) {
	w, ok := s.workers[e.Start.Worker]
	if !ok {
		return
	}
	p, ok := w.runs[placementKey{e.Start.Task, e.Start.Run}]
	if !ok {
		return
	}
	s.touch(w)
	e = s.noteRejectedStart(now, w, e)
	w.noteStartAnswer(now, p, e)
	if e.ClockMS != 0 && !w.restartedSince(e.Start.DecidedAt) {
		if w.clockWentBack { // by a restart: the deadlines that were sent refer to another clock
			w.leaseDeadlineMS = e.ClockMS + s.Settings.Lease.Milliseconds()
		}
		w.noteAnswer(now, e.ClockMS)
	}
	if e.Outcome == OutcomeDone {
		if p.confirmedAt.IsZero() {
			p.confirmedAt, p.progressedAt = now, now
		}
		s.noteBegun(p)
		return
	}
	s.handleFailedStart(now, w, p, e)
}

// handleFailedStart handles the result of a start that was not accepted.
func (s *Scheduler) handleFailedStart(now time.Time, w *worker, p *placement, e StartResult) {
	s.logDecision(Decision{Message: "start failed", Job: e.Start.Task.Job, Task: e.Start.Task, Run: e.Start.Run, Worker: w.ID, Details: Details{detailOutcome: e.Outcome}})
	switch e.Outcome {
	case OutcomeUnknown:
		// An instance that this leader does not know may have granted a whole lease just now.
		s.noteGrant(now, w, w.minClock(now)+s.Settings.Lease.Milliseconds())
		s.noteFailedCall(now, w, e.Outcome)
		if j, st, _ := s.findTask(p.task); st != nil && st.Gang {
			s.stopGang(now, j, p.task.Step, p.run)
		}
		p.blameStop(wasteLapsed)
		s.stopRun(now, w, p)
	case OutcomeUnsent, OutcomeReplaced:
		p.crashed = false
		s.noteFailedCall(now, w, e.Outcome)
		s.loseRun(now, w, p, "its start was not sent")
	case OutcomeDropped:
		p.crashed = false
		s.loseRun(now, w, p, "its start was not sent")
	default:
		if _, st, _ := s.findTask(p.task); st != nil && st.tickets != nil && e.Outcome == OutcomeTicket {
			st.tickets[w.ID] = ticket{} // to be asked for again
		}
		if e.Outcome == OutcomeFull || e.Outcome == OutcomeUnhealthy || e.Outcome == OutcomeInvalid {
			w.excludedUntil = now.Add(exclusionTime)
		}
		p.crashed = false
		s.loseRun(now, w, p, "its start was refused")
	}
}

// handleStopResult handles the result of a stop.
func (s *Scheduler) handleStopResult(now time.Time, e StopResult) {
	w, ok := s.workers[e.Stop.Worker]
	if !ok {
		return
	}
	p, ok := w.runs[placementKey{e.Stop.Task, e.Stop.Run}]
	if !ok {
		return
	}
	p.stopInFlight = false
	s.touch(w)
	switch e.Outcome {
	case OutcomeDone, OutcomeObsolete:
		if w.restartedSince(p.stopSentAt) {
			s.sendStop(now, w, p)
			return
		}
		p.stopAnsweredAt = now
	case OutcomeUnknown, OutcomeUnsent:
		s.noteFailedCall(now, w, e.Outcome)
	case OutcomeFenced:
		s.noteRejection(now, w)
	default:
	}
}
