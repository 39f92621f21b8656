package scheduler

import "time"

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
