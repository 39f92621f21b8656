package scheduler

import "time"

const (
	fullPace         = 100                    // percent, of a run that is not slowed
	unknownPace      = -1                     // of a run that an earlier leader may have slowed
	initialPace      = 25                     // percent, of a filler that starts beside a serving task
	paceStep         = 10                     // percent by which the pace is raised
	slowTailPercent  = 85                     // of the target, above which fillers are slowed
	raiseTailPercent = 60                     // of the target, below which the pace may be raised
	paceSettleTime   = 700 * time.Millisecond // until a change shows in the tail latency: workers apply a pace in 100 ms and measure over half a second
	raiseInterval    = time.Second            // between two raises of the pace
	ceilingTime      = 20 * time.Second       // for which the pace stays below one that was too high
	maxHaltTime      = 8 * time.Second        // after which a halted filler is stopped, to run elsewhere
	colocationDelay  = 2 * time.Second        // for which fillers wait for a worker without serving tasks
	pacedHoldWait    = holdWait / 2           // long-poll time of a hold where both kinds run: two holds fit into half of the time for which a tail latency may be too high
	ceilingPercent   = 67                     // of a pace that was too high, as the limit afterwards
)

// Pace makes a run use only a share of its speed.
type Pace struct {
	Worker  string
	Address string
	Epoch   int64
	Task    TaskID
	Run     int64
	Percent int
}

// PaceResult is the result of a Pace effect.
type PaceResult struct {
	Pace    Pace
	Outcome Outcome
}

func (Pace) isEffect()      {}
func (PaceResult) isEvent() {}

// pacing is the pace that all fillers on a worker share.
type pacing struct {
	percent   int
	changedAt time.Time
	ceiling   int       // limit of the pace
	ceilingAt time.Time // when the limit was set, zero for no limit
}

// next returns the next pace, given the longest tail latency on the worker in
// percent of its target. The interference of fillers changes within seconds: a
// tail latency above the target halts them at once, and the pace that led to it is
// not used again for ceilingTime, which prevents oscillation.
func (g pacing) next(now time.Time, tail int) pacing {
	settled := now.Sub(g.changedAt) >= paceSettleTime
	switch {
	case tail > fullPercent && g.percent > 0:
		return g.lower(now, 0)
	case tail > slowTailPercent && g.percent > 0 && settled:
		return g.lower(now, g.percent/2)
	case tail < raiseTailPercent && now.Sub(g.changedAt) >= raiseInterval:
		limit := fullPace
		if !g.ceilingAt.IsZero() && now.Sub(g.ceilingAt) < ceilingTime {
			limit = g.ceiling
		}
		if n := min(limit, g.percent+paceStep); n > g.percent {
			g.percent, g.changedAt = n, now
		}
	}
	return g
}

func (g pacing) lower(now time.Time, percent int) pacing {
	return pacing{percent: percent, changedAt: now, ceiling: g.percent * ceilingPercent / fullPace, ceilingAt: now}
}

// maxTail returns the longest tail latency of the serving tasks on a worker, in
// percent of its target.
func (s *Scheduler) maxTail(w *worker) int {
	longest := 0
	for _, p := range w.runs {
		if _, st, t := s.findTask(p.task); t != nil && p.serving && !p.stopping && st.TargetMS > 0 {
			longest = max(longest, p.measure*fullPercent/st.TargetMS)
		}
	}
	return longest
}

// paceFillers adjusts the pace of the fillers on a worker to the tail latencies of
// the serving tasks there.
func (s *Scheduler) paceFillers(now time.Time, w *worker) {
	if w.fillerRuns == 0 {
		w.pacing = pacing{}
		return
	}
	if w.servingRuns == 0 {
		w.pacing = pacing{percent: fullPace}
	} else {
		if w.pacing.changedAt.IsZero() {
			w.pacing = pacing{percent: initialPace, changedAt: now}
		}
		w.pacing = w.pacing.next(now, s.maxTail(w))
	}
	halted := w.pacing.percent == 0 && now.Sub(w.pacing.changedAt) >= maxHaltTime
	if halted {
		w.noFillersUntil = now.Add(fillerExclusionTime)
	}
	for _, p := range w.sortedRuns() {
		switch {
		case !p.filler || p.stopping:
		case halted:
			s.logDecision(Decision{Message: "halted filler is stopped", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID})
			s.stopRun(now, w, p)
		case p.pace != w.pacing.percent && !p.paceInFlight && !p.confirmedAt.IsZero():
			p.paceInFlight = true
			s.logDecision(Decision{Message: "pace of a filler changes", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID, Details: Details{"percent": w.pacing.percent, "tail-percent": s.maxTail(w)}})
			s.emit(Pace{Worker: w.ID, Address: w.Address, Epoch: s.Epoch, Task: p.task, Run: p.run, Percent: w.pacing.percent})
		}
	}
}

// handlePaceResult handles the result of a pace change. One without an answer is sent
// again after the next hold.
func (s *Scheduler) handlePaceResult(now time.Time, e PaceResult) {
	w, ok := s.workers[e.Pace.Worker]
	if !ok {
		return
	}
	p, ok := w.runs[placementKey{e.Pace.Task, e.Pace.Run}]
	if !ok {
		return
	}
	p.paceInFlight, p.pace = false, unknownPace
	if e.Outcome == OutcomeFenced {
		s.noteRejection(now, w)
	}
	if e.Outcome == OutcomeDone {
		p.pace = e.Pace.Percent
		return
	}
	s.logDecision(Decision{Message: "pace of a filler was not changed", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID, Details: Details{detailOutcome: e.Outcome}})
}

// mayJoinServing reports whether the fillers of a step have waited long enough for
// a worker without serving tasks to start beside such tasks.
func (s *step) mayJoinServing(now time.Time) bool {
	return !s.blockedSince.IsZero() && now.Sub(s.blockedSince) >= colocationDelay
}

// colocationAllowed reports whether a worker may get a task of a step, given the
// other runs there. Fillers interfere with serving tasks, so the two share a
// worker only if there is no other room.
func (s *Scheduler) colocationAllowed(now time.Time, st *step, w *worker) bool {
	if st.Filler && (now.Before(w.noFillersUntil) || w.servingRuns > 0 && !st.mayJoinServing(now)) {
		return false
	}
	return s.colocationTolerable(st, w)
}

// colocationTolerable reports the same of a step that has waited for other room for long
// enough.
func (s *Scheduler) colocationTolerable(st *step, w *worker) bool {
	switch {
	case st.Filler:
		return w.servingRuns == 0 || s.maxTail(w) < raiseTailPercent
	case st.Serving:
		return w.fillerRuns == 0 || s.fillersStay(w)
	default:
		return true
	}
}
