package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/quarantiner"
)

// Evidence that an instance of a worker has ended without notice. A worker that is only
// silent, or refuses connections, may be cut off and still run its tasks.
const (
	evidenceRestarted = "it has started again"
	evidenceReplaced  = "another worker has its address"
	evidenceNoMachine = "no machine runs it"
)

// openStart is a start whose outcome this leader can learn only from its worker's fate: an
// earlier leader recorded it, or its worker was silent until the lease expired.
type openStart struct {
	task TaskID
	quarantiner.Start
}

// fresh reports whether a run was started and has not been seen to outlive the time in
// which a task crashes its worker.
func (p *placement) fresh() bool { return !p.held && !p.outlived }

// left reports whether a worker has ended as announced or as requested.
func (w *worker) left() bool { return w.Draining || w.evacuating }

// noteCrash handles the end of a worker's instance without notice: its fresh runs are
// suspected once they are known to be lost with it.
func (s *Scheduler) noteCrash(now time.Time, w *worker, evidence string) {
	if w.left() || w.crashNoted {
		return
	}
	w.crashNoted = true
	at, open := now, s.openStarts[w.ID]
	delete(s.openStarts, w.ID)
	if !w.unresponsiveSince.IsZero() {
		at = w.unresponsiveSince
	}
	outage := false
	if !w.heardAt.IsZero() { // otherwise it is unknown what ran there
		fresh := slices.ContainsFunc(w.order, (*placement).fresh) || len(open) > 0
		outage = s.outage.Add(quarantiner.Crash{At: at, Fresh: fresh})
	}
	s.logDecision(Decision{
		Message: "worker has crashed", Counter: "worker-crashes", Worker: w.ID,
		Details: Details{"evidence": evidence, "address": w.Address, "rack": w.Rack, detailRuns: len(w.runs), "silent-ms": now.Sub(at).Milliseconds(), "outage": outage},
	})
	for _, p := range w.order {
		p.crashed, p.outage = p.fresh(), outage
		p.alone = w.hasOnly(p.task.Job)
		s.logDecision(Decision{
			Message: "run was on a crashed worker", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID,
			Details: Details{detailAfterMS: now.Sub(p.sentAt).Milliseconds(), "listed-ms": max(0, p.listedAt.Sub(p.sentAt).Milliseconds()), "suspected": p.crashed, "alone": p.alone},
		})
	}
	for _, v := range open {
		if _, ok := w.runs[placementKey{v.task, v.Run}]; !ok {
			s.blame(now, v.task, v.Run, w.ID, v.Alone, outage)
		}
	}
}

// logOldCrash logs a crash that happened before this leader heard the worker's present
// instance.
func (s *Scheduler) logOldCrash(w *worker, open int) {
	s.logDecision(Decision{Message: "worker had crashed before", Counter: "worker-crashes", Worker: w.ID, Details: Details{"address": w.Address, "born": w.StartedMS, "open-starts": open}})
}

// hasOnly reports whether a worker has fresh runs of no other job.
func (w *worker) hasOnly(job string) bool {
	return !slices.ContainsFunc(w.order, func(p *placement) bool { return p.task.Job != job && !p.outlived })
}

// blame counts the crash of a worker against the task of a run that was lost with it, and
// ends the job once the fault of the task is proven.
func (s *Scheduler) blame(now time.Time, id TaskID, run int64, worker string, alone, outage bool) {
	j, _, t := s.findTask(id)
	if t == nil || t.state == taskDone || j.state.Ended() {
		return
	}
	known := len(t.suspicion.Crashes)
	t.suspicion = t.suspicion.WithCrash(run, alone, outage)
	s.markDirty(j)
	s.storeSoon = true
	if len(t.suspicion.Crashes) == known {
		return // excused, or counted before
	}
	level := t.suspicion.Level()
	s.logDecision(Decision{
		Message: "task is suspected of crashing its worker", Counter: "crash-suspects", Job: id.Job, Task: id, Run: run, Worker: worker,
		Details: Details{"crashes": len(t.suspicion.Crashes), "alone": t.suspicion.Alone, "next": level.String()},
	})
	if level == quarantiner.GivenUp {
		s.logDecision(Decision{Message: "task is given up", Counter: "crash-tasks-given-up", Job: id.Job, Task: id, Run: run, Details: Details{"runs": t.suspicion.Crashes}})
		s.endJob(now, j, StateFailed, "a task has crashed the workers that started it")
	}
}

// clearSuspicion notes that a run has outlived the time in which a task crashes its worker.
func (s *Scheduler) clearSuspicion(w *worker, p *placement) {
	w.adjustCounts(p, -1)
	p.outlived = true
	w.adjustCounts(p, 1)
	s.touch(w)
	j, _, t := s.findTask(p.task)
	if t == nil || t.suspicion.IsZero() || t.run != p.run || t.state != taskPlaced {
		return
	}
	if t.suspicion.Suspected() {
		s.logDecision(Decision{Message: "task is no longer suspected", Counter: "crash-suspects-cleared", Job: j.ID, Task: p.task, Run: p.run, Worker: w.ID, Details: Details{"crashes": len(t.suspicion.Crashes)}})
	}
	t.suspicion = quarantiner.Record{}
	s.markDirty(j)
	s.placementDue = true
}

// noteFailedCall records that a call got no answer. A worker that refuses connections may
// have crashed, and the leader may die before it knows, so the fresh runs there are stored
// for its successor. Time-outs store nothing: the leader's own link may be full.
func (s *Scheduler) noteFailedCall(now time.Time, w *worker, o Outcome) {
	w.noteFailedCall(now)
	if o != OutcomeUnsent {
		return
	}
	first := !w.refuses
	w.refuses = true
	s.requestMachinesFor(now, w)
	if !first {
		return
	}
	for _, p := range w.order {
		if p.fresh() {
			s.recordOpenStart(w, p)
		}
	}
}

// recordOpenStart stores that the outcome of a start is unknown.
func (s *Scheduler) recordOpenStart(w *worker, p *placement) {
	j, _, t := s.findTask(p.task)
	if t == nil || t.state != taskPlaced || t.run != p.run || j.state.Ended() || w.left() {
		return
	}
	t.suspicion = t.suspicion.WithOpen(w.startOf(p))
	s.markDirty(j)
	s.storeSoon = true
}

// closeStart forgets a start that has crashed no worker.
func (s *Scheduler) closeStart(id TaskID, run int64) {
	j, _, t := s.findTask(id)
	if t == nil || t.suspicion.Open == nil || t.suspicion.Open.Run != run {
		return
	}
	t.suspicion = t.suspicion.WithoutOpen(run)
	s.markDirty(j)
}

// inheritOpenStarts notes the starts of a job whose outcome no earlier leader knew.
func (s *Scheduler) inheritOpenStarts(j *job) {
	for i, st := range j.steps {
		for k := range st.tasks {
			if v := st.tasks[k].suspicion.Open; v != nil {
				s.openStarts[v.Worker] = append(s.openStarts[v.Worker], openStart{TaskID{j.ID, i, k}, *v})
			}
		}
	}
}

// keepOpenStarts keeps the starts of fresh runs that are about to be given up although their
// worker's fate is unknown: evidence of a crash may come later.
func (s *Scheduler) keepOpenStarts(w *worker) {
	for _, p := range w.order {
		if p.fresh() && !w.left() {
			s.openStarts[w.ID] = append(s.openStarts[w.ID], openStart{p.task, w.startOf(p)})
		}
	}
}

// startOf returns the record of a run's start.
func (w *worker) startOf(p *placement) quarantiner.Start {
	return quarantiner.Start{Run: p.run, Worker: w.ID, Address: w.Address, StartedMS: w.StartedMS, Alone: w.hasOnly(p.task.Job)}
}

// closeOpenStarts handles the open starts on a worker that answers. In the same instance,
// its runs and ends tell the rest; a later one shows that it has crashed since.
func (s *Scheduler) closeOpenStarts(now time.Time, w *worker) {
	open := s.openStarts[w.ID]
	if len(open) == 0 {
		return
	}
	delete(s.openStarts, w.ID)
	logged := false
	for _, v := range open {
		_, listed := w.runs[placementKey{v.task, v.Run}]
		switch {
		case listed:
		case v.StartedMS != 0 && w.StartedMS > v.StartedMS:
			if !logged {
				logged = true
				s.logOldCrash(w, len(open))
			}
			s.blame(now, v.task, v.Run, w.ID, v.Alone, false)
		default:
			s.closeStart(v.task, v.Run)
		}
	}
}

// checkAddresses looks for workers with open starts whose address another worker has.
func (s *Scheduler) checkAddresses(now time.Time) {
	if len(s.openStarts) == 0 {
		return
	}
	at := make(map[string]string, len(s.workerIDs))
	for _, id := range s.workerIDs {
		if w := s.workers[id]; w.listed {
			at[w.Address] = id
		}
	}
	for _, id := range sortedKeys(s.openStarts) {
		other, ok := at[s.openStarts[id][0].Address]
		if _, known := s.workers[id]; known || !ok || other == id {
			continue
		}
		s.noteCrash(now, &worker{WorkerInfo: WorkerInfo{ID: id, Address: s.openStarts[id][0].Address}}, evidenceReplaced)
	}
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](all map[string]V) []string { return slices.Sorted(maps.Keys(all)) }
