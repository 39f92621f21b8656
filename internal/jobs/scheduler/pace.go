package scheduler

import "time"

const (
	fullPace     = 100                    // percent at which a run begins
	unknownPace  = -1                     // of a run that an earlier leader may have slowed
	firstPace    = 25                     // percent of a run that fills, where it begins beside a task that serves
	paceStep     = 10                     // percent that fillers gain at a time
	longTail     = 85                     // percent of the target from which fillers are slowed
	shortTail    = 60                     // percent of the target below which they may gain
	paceSettles  = 700 * time.Millisecond // until a change shows: the pace time of 100 ms and a figure over half a second
	raisePause   = time.Second            // between two gains
	ceilingTime  = 20 * time.Second       // for which the pace stays below the one that was too much
	maxHalted    = 8 * time.Second        // a filler that may not work for so long is stopped, to run elsewhere
	besideAfter  = 2 * time.Second        // that fillers wait for workers without tasks that serve
	pacedLook    = holdWait / 2           // a look at a worker where both kinds run: two fit before a tail has lasted too long by half
	ceilingShare = 67                     // percent of the pace that was too much
)

// Pace lets a run work at a share of its speed.
type Pace struct {
	Worker  string
	Address string
	Epoch   int64
	Task    TaskID
	Run     int64
	Percent int
}

// Paced is the result of a Pace effect.
type Paced struct {
	Pace    Pace
	Outcome Outcome
}

func (Pace) isEffect() {}
func (Paced) isEvent() {}

// pacing is the pace of the fillers on a worker.
type pacing struct {
	percent   int
	changed   time.Time
	ceiling   int       // the pace stays at or below it
	ceilingAt time.Time // when it was found, zero for none
}

// with returns the next pace, as the longest tail on the worker is at so many
// percent of its target. It answers for fillers whose disturbance changes within
// seconds: a tail over its target halts them at once, and the pace that led there is
// not tried again for a while, so that it does not swing.
func (g pacing) with(now time.Time, tail int) pacing {
	settled := now.Sub(g.changed) >= paceSettles
	switch {
	case tail > fullPercent && g.percent > 0:
		return g.lowered(now, 0)
	case tail > longTail && g.percent > 0 && settled:
		return g.lowered(now, g.percent/2)
	case tail < shortTail && now.Sub(g.changed) >= raisePause:
		limit := fullPace
		if !g.ceilingAt.IsZero() && now.Sub(g.ceilingAt) < ceilingTime {
			limit = g.ceiling
		}
		if n := min(limit, g.percent+paceStep); n > g.percent {
			g.percent, g.changed = n, now
		}
	}
	return g
}

func (g pacing) lowered(now time.Time, percent int) pacing {
	return pacing{percent: percent, changed: now, ceiling: g.percent * ceilingShare / fullPace, ceilingAt: now}
}

// tail returns the longest tail among the tasks that serve on a worker, in percent
// of its target.
func (s *Scheduler) tail(w *worker) int {
	longest := 0
	for _, p := range w.runs {
		if _, st, t := s.findTask(p.task); t != nil && p.serves && !p.stopping && st.TargetMS > 0 {
			longest = max(longest, p.measure*fullPercent/st.TargetMS)
		}
	}
	return longest
}

// paceFillers slows the fillers on a worker down or lets them gain, by the tails of
// the tasks that serve beside them.
func (s *Scheduler) paceFillers(now time.Time, w *worker) {
	if w.fillerRuns == 0 {
		w.pacing = pacing{}
		return
	}
	if w.servingRuns == 0 {
		w.pacing = pacing{percent: fullPace}
	} else {
		if w.pacing.changed.IsZero() {
			w.pacing = pacing{percent: firstPace, changed: now}
		}
		w.pacing = w.pacing.with(now, s.tail(w))
	}
	halted := w.pacing.percent == 0 && now.Sub(w.pacing.changed) >= maxHalted
	if halted {
		w.noFillersUntil = now.Add(noFillTime)
	}
	for _, p := range w.sortedRuns() {
		switch {
		case !p.fills || p.stopping:
		case halted:
			s.logDecision(Noted{Message: "filler may not work here and is stopped", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID})
			s.stopRun(now, w, p)
		case p.pace != w.pacing.percent && !p.paceInFlight && !p.confirmedAt.IsZero():
			p.paceInFlight = true
			s.logDecision(Noted{Message: "filler is paced", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID, Details: Details{"percent": w.pacing.percent, "tail-percent": s.tail(w)}})
			s.emit(Pace{Worker: w.ID, Address: w.Address, Epoch: s.Epoch, Task: p.task, Run: p.run, Percent: w.pacing.percent})
		}
	}
}

// paced takes in the answer to a change of pace; one without an answer is sent again
// after the next look.
func (s *Scheduler) paced(e Paced) {
	w, ok := s.workers[e.Pace.Worker]
	if !ok {
		return
	}
	p, ok := w.runs[placementKey{e.Pace.Task, e.Pace.Run}]
	if !ok {
		return
	}
	p.paceInFlight, p.pace = false, unknownPace
	if e.Outcome == OutcomeDone {
		p.pace = e.Pace.Percent
		return
	}
	s.logDecision(Noted{Message: "filler could not be paced", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID, Details: Details{detailOutcome: e.Outcome}})
}

// beside reports whether fillers may begin beside tasks that serve: they have waited
// for workers without any.
func (s *step) beside(now time.Time) bool {
	return !s.blockedSince.IsZero() && now.Sub(s.blockedSince) >= besideAfter
}

// mixes reports whether a worker may get a task of a step: fillers disturb the tasks
// that serve, so the two are kept apart where there is room for that.
func (s *Scheduler) mixes(now time.Time, st *step, w *worker) bool {
	switch {
	case st.Fills:
		return !now.Before(w.noFillersUntil) && (w.servingRuns == 0 || st.beside(now) && s.tail(w) < shortTail)
	case st.Serves:
		return w.fillerRuns == 0
	default:
		return true
	}
}
