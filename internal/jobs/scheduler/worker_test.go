package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// fakeWorker implements the protocol of the platform's workers.
type fakeWorker struct {
	info         scheduler.WorkerInfo
	inList       bool
	expiryUnseen bool // if unlisted, the list of recently expired workers lacks it as well
	alive        bool
	epoch        int64
	deadline     time.Time
	started      time.Time
	runs         map[scheduler.TaskID]*fakeRun
	lastOver     map[scheduler.TaskID]int64 // highest run that was stopped or ended
	ends         []scheduler.End
	lastEnd      int64
	endTimes     map[int64]time.Time // by number of the end
	openHolds    []*scheduler.Hold
	failing      bool
	shrunk       bool // its runs exceeded its capacity when that changed: no start may add to them
	stalled      bool // its runs make no progress
	swallowed    int  // starts that it accepted and did not carry out
	swallows     bool // it does so with all starts
	unhealthy    bool // it refuses all starts
	rejects      bool // it rejects the fencing token: another system uses it
	baseTail     int  // tail latency in milliseconds of a serving task without fillers
	fillerDelay  int  // additional milliseconds per filler at full pace
}

type fakeRun struct {
	run       int64
	remaining time.Duration
	total     time.Duration
	pace      int // percent
	stopAt    time.Time
	overSince time.Time // when its tail latency began to exceed the target, else zero
}

func (v *fakeWorker) clock(now time.Time) int64 { return now.Sub(v.started).Milliseconds() }

func (v *fakeWorker) extend(deadlineMS int64) {
	at := v.started.Add(time.Duration(deadlineMS) * time.Millisecond)
	if at.After(v.deadline) {
		v.deadline = at
	}
}

func (v *fakeWorker) start(w *world, f scheduler.Start) scheduler.StartResult {
	e := scheduler.StartResult{Start: f, Outcome: scheduler.OutcomeDone, ClockMS: v.clock(w.now)}
	if !v.rejects {
		v.extend(f.DeadlineMS)
	}
	switch {
	case f.Epoch < v.epoch || v.rejects:
		e.Outcome = scheduler.OutcomeFenced
	case f.Run <= v.lastOver[f.Task]:
		e.Outcome = scheduler.OutcomeObsolete
	case f.DeadlineMS < v.clock(w.now):
		e.Outcome = scheduler.OutcomeLate
	case w.config.Queues[w.jobs[baseJob(f.Task.Job)].Job.Queue].Advice != nil && !w.ticketed(f):
		e.Outcome = scheduler.OutcomeTicket
	case v.unhealthy:
		e.Outcome = scheduler.OutcomeUnhealthy
	case v.swallows:
		v.swallowed++
	default:
		if w.ackedTasks[f.Task] {
			w.violation = fmt.Sprintf("task %v starts after its success was acknowledged", f.Task)
		}
		w.starts[baseJob(f.Task.Job)]++
		w.lastStarts[f.Task] = w.now
		d := w.durations[baseJob(f.Task.Job)][f.Task.Step]
		v.runs[f.Task] = &fakeRun{run: f.Run, remaining: d, total: d, pace: 100}
		w.noteDeadlyStart(v, f.Task)
		w.watch.noteStart(w, f.Task)
		if v.shrunk = v.shrunk && !w.used(v).Fits(v.info.Capacity); v.shrunk {
			w.violation = fmt.Sprintf("task %v starts on %s, which runs %+v of %+v", f.Task, v.info.ID, w.used(v), v.info.Capacity)
		}
	}
	return e
}

func (w *world) ticketed(f scheduler.Start) bool {
	until, err := time.Parse(time.RFC3339Nano, f.Ticket)
	return err == nil && w.allowed[f.Worker] && w.now.Before(until)
}

func (v *fakeWorker) stop(w *world, f scheduler.Stop) scheduler.StopResult {
	if v.rejects {
		return scheduler.StopResult{Stop: f, Outcome: scheduler.OutcomeFenced}
	}
	v.lastOver[f.Task] = max(v.lastOver[f.Task], f.Run)
	if r, ok := v.runs[f.Task]; ok && r.run == f.Run && r.stopAt.IsZero() {
		r.stopAt = w.now.Add(runStopTime)
	}
	return scheduler.StopResult{Stop: f, Outcome: scheduler.OutcomeDone}
}

func (v *fakeWorker) end(w *world, id scheduler.TaskID, reason scheduler.EndReason) {
	r := v.runs[id]
	delete(v.runs, id)
	v.lastEnd++
	v.lastOver[id] = max(v.lastOver[id], r.run)
	v.ends = append(v.ends, scheduler.End{Number: v.lastEnd, Task: id, Run: r.run, Reason: reason})
	v.endTimes[v.lastEnd] = w.now
	w.watch.noteEnd(w, id, r.run, reason)
}

// gangState reports whether all members of a gang's run are present, and whether all
// have completed their work.
func (w *world) gangState(id scheduler.TaskID, run int64) (bool, bool) {
	n, done, ready := 0, false, true
	for _, v := range w.workers {
		for k, r := range v.runs {
			if k.Job == id.Job && k.Step == id.Step && r.run == run {
				n++
				ready = ready && r.remaining <= 0
			}
		}
		for _, e := range v.ends {
			done = done || (e.Task.Job == id.Job && e.Task.Step == id.Step && e.Run == run && e.Reason == scheduler.EndReasonDone)
		}
	}
	whole := n == w.taskStep(id).Tasks
	return whole, done || (whole && ready)
}

// runWorker advances the runs on a worker by one time step.
func (w *world) runWorker(v *fakeWorker) {
	for _, id := range slices.SortedFunc(maps.Keys(v.runs), compareTasks) {
		r := v.runs[id]
		whole, done := true, false
		if w.taskStep(id).Gang {
			whole, done = w.gangState(id, r.run)
		}
		if (whole || done) && !v.stalled {
			r.remaining -= worldStep * time.Duration(r.pace) / 100
		}
		w.checkTail(v, id, r)
		switch {
		case w.now.After(v.deadline):
			v.end(w, id, scheduler.EndReasonLeaseExpired)
		case !r.stopAt.IsZero() && !w.now.Before(r.stopAt):
			v.end(w, id, scheduler.EndReasonStopped)
		case v.failing || w.doomed[baseJob(id.Job)], w.faulty[baseJob(id.Job)] && r.remaining <= 0:
			v.end(w, id, scheduler.EndReasonFailed)
		case done || (r.remaining <= 0 && !w.taskStep(id).Gang):
			v.end(w, id, scheduler.EndReasonDone)
		}
	}
}

// checkpointOf returns the newest checkpoint of a run, empty for none.
func (w *world) checkpointOf(id scheduler.TaskID, r *fakeRun) string {
	if w.saveInterval == 0 || !w.taskStep(id).Checkpoints || r.total-r.remaining < w.saveInterval {
		return ""
	}
	return fmt.Sprintf("%d-%d", r.run, (r.total-r.remaining)/w.saveInterval)
}
