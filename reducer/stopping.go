package reducer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// stopGang releases all leases of a gang at once.
func (t *transition) stopGang(g *gang, e ending, reason string) { t.stopGangAt(g, e, reason, t.now) }

// stopGangAt releases all leases of a gang. Its tasks may checkpoint themselves
// until stopAt, and are stopped then. A gang that is being stopped already is
// hurried up, and an outcome replaces the wish for another attempt.
func (t *transition) stopGangAt(g *gang, e ending, reason string, stopAt time.Time) {
	n := g.clone()
	if g.stage != stageStopping {
		n = g.with(t.now, stageStopping)
		n.reason = reason
		n.ending = e
	}
	if n.ending.outcome == "" {
		n.ending = e
	}
	t.setGang(n)
	for i, v := range n.tasks {
		if !v.state.over() {
			t.release(v.worker, n.id(i), stopAt)
		}
	}
	t.settleGang(n.job)
}

// settleGang finishes a gang that is being stopped, once none of its leases is
// held. One that never began needs no waiting: its leases are never renewed.
func (t *transition) settleGang(id string) {
	g, ok := t.gangs.Get(id)
	if !ok || g.stage != stageStopping {
		return
	}
	if !g.began || g.all(taskSucceeded) {
		t.finish(g)
	}
}

// finish takes a gang out of the state. Its job ends, or waits again.
func (t *transition) finish(g *gang) {
	t.gangs = t.gangs.Delete(g.job)
	t.placementNeeded = true
	j, ok := t.jobs.Get(g.job)
	if !ok {
		return
	}
	t.removeUsage(j.Job)
	if j.finished() {
		return
	}
	switch {
	case g.succeeded():
		t.end(j, OutcomeSucceeded, "", g.run())
	case j.NonIdempotent && g.any(taskFailed):
		t.end(j, OutcomeFailed, "a task failed", g.run())
	case g.ending.outcome != "":
		t.end(j, g.ending.outcome, g.ending.reason, g.run())
	default:
		t.admit(j)
	}
}

// end has the end of a job put into the log.
func (t *transition) end(j *job, o Outcome, reason string, run time.Duration) {
	n := *j
	n.endPending = true
	t.setJob(&n)
	t.dequeue(&n)
	t.reclaims = t.reclaims.Delete(n.ID)
	t.outbox = t.outbox.Delete(outboxStart + n.ID)
	t.queueAppend(JobEnded{
		Job:     n.ID,
		Attempt: n.attempt,
		Outcome: o,
		Reason:  reason,
		RunMS:   run.Milliseconds(),
	})
}

// cancel ends a job, or stops its gang first.
func (t *transition) cancel(j *job) {
	if j.finished() {
		return
	}
	e := ending{outcome: OutcomeCancelled, reason: "cancelled by its organisation"}
	if g, ok := t.gangs.Get(j.ID); ok {
		t.stopGang(g, e, e.reason)
		return
	}
	t.end(j, e.outcome, e.reason, 0)
}

// release has a lease checkpointed until stopAt, and stopped then.
func (t *transition) release(worker string, id leaser.ID, stopAt time.Time) {
	h, ok := t.getHold(worker, id)
	if !ok {
		t.gone(worker, id)
		return
	}
	if h.releasing && !stopAt.Before(h.stopAt) {
		return
	}
	h.releasing = true
	h.stopAt = stopAt
	t.sendRelease(worker, h)
}

func (t *transition) sendRelease(worker string, h hold) {
	kind := CommandStop
	h.checkpointing = t.now.Before(h.stopAt)
	if h.checkpointing {
		kind = CommandCheckpoint
	}
	h.retryAt = t.now.Add(commandTimeout)
	t.setHold(worker, h)
	t.command(kind, worker, leaser.Lease{ID: h.id})
	t.setTimer(timerWorker, worker, t.now.Add(commandRetryDelay))
}

// gone notes that a lease holds nothing any more.
func (t *transition) gone(worker string, id leaser.ID) {
	t.dropHold(worker, id)
	g, ok := t.gangAt(worker, id)
	if !ok {
		return
	}
	if !g.tasks[id.Task].state.over() {
		n := g.clone()
		n.tasks[id.Task].state = taskGone
		t.setGang(n)
	}
	t.settleGang(g.job)
}

// pokeWorker releases leases again that were not confirmed, gives up those that
// must be over, and asks a worker that is silent.
func (t *transition) pokeWorker(id string) {
	w, ok := t.workers.Get(id)
	if !ok {
		return
	}
	if !w.listed && len(w.holds) == 0 && t.now.Sub(w.unlistedAt) > forgetWorkerAfter {
		t.workers = t.workers.Delete(id)
		t.feasibleKeys = newTable[struct{}]()
		return
	}
	if w.doubtful(t.now) && (w.listed || len(w.holds) > 0) {
		t.fence(id)
	}
	for _, h := range w.holds {
		t.pokeHold(w, h)
	}
	t.armWorker(id)
}

// doubtful reports whether a worker is to be asked for its inventory.
func (w *worker) doubtful(now time.Time) bool {
	if w.fencePending && now.Before(w.lastFence.Add(commandTimeout)) || now.Before(w.lastFence.Add(fenceRetryDelay)) {
		return false
	}
	return !w.fenced || w.inventoryWanted || now.Sub(w.inventoryAt) >= probeAfterSilence
}

func (t *transition) armWorker(id string) {
	w, ok := t.workers.Get(id)
	if !ok {
		return
	}
	at := t.now.Add(probeAfterSilence)
	if !w.fenced || w.inventoryWanted || w.fencePending {
		at = t.now.Add(fenceRetryDelay)
	}
	if slices.ContainsFunc(w.holds, func(h hold) bool { return h.releasing }) {
		at = t.now.Add(commandRetryDelay)
	}
	t.setTimer(timerWorker, id, at)
}

func (t *transition) pokeHold(w *worker, h hold) {
	last := latest(latest(w.inventoryAt, t.peerReturnedAt), latest(h.since, h.answeredAt))
	if t.now.Sub(last) > leaseLostAfterSilence && !t.renewedElsewhere(w) {
		t.lost(w.id, h)
		return
	}
	overdue := !t.now.Before(h.retryAt)
	graceOver := !h.stopAt.After(t.now) && h.checkpointing
	if h.releasing && (overdue || graceOver) {
		t.sendRelease(w.id, h)
	}
}

// renewedElsewhere reports whether the leases of a silent worker may still be
// renewed: entry VMs fell silent with it or after it, and may reach it.
func (t *transition) renewedElsewhere(w *worker) bool {
	return !t.peerMissingSince.IsZero() && !w.inventoryAt.After(t.peerMissingSince.Add(partitionWindow))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lost notes that a worker has been silent for so long that a lease on it is
// over.
func (t *transition) lost(worker string, h hold) {
	if g, ok := t.gangAt(worker, h.id); ok && g.stage != stageStopping {
		if j, ok := t.jobs.Get(g.job); ok {
			t.stopGang(g, t.lossOf(j), "worker "+worker+" is silent")
		}
	}
	t.gone(worker, h.id)
}
