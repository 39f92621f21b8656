package reducer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// stopGang stops a gang immediately, without time for a checkpoint.
func (t *transition) stopGang(g *gang, e ending, reason string) { t.stopGangAt(g, e, reason, t.now) }

// stopGangAt releases all leases of a gang. Its tasks may checkpoint until stopAt and
// are stopped then. For a gang that is already being stopped, an earlier stopAt takes
// effect, and an outcome replaces an ending that leads to another attempt.
func (t *transition) stopGangAt(g *gang, e ending, reason string, stopAt time.Time) {
	n := g.clone()
	if g.stage != stageStopping {
		n = g.withStage(t.now, stageStopping)
		n.stopReason = reason
		n.ending = e
	}
	if n.ending.outcome == "" {
		n.ending = e
	}
	t.setGang(n)
	for i, v := range n.tasks {
		if !v.state.ended() {
			t.releaseLease(v.worker, n.leaseID(i), stopAt)
		}
	}
	t.finishIfStopped(n.job)
}

// finishIfStopped finishes a gang that is being stopped once none of its leases is
// held. A gang that was never started need not wait, because its leases are never
// renewed.
func (t *transition) finishIfStopped(id string) {
	g, ok := t.gangs.Get(id)
	if !ok || g.stage != stageStopping {
		return
	}
	if !g.startSent || g.allReached(taskSucceeded) {
		t.finishGang(g)
	}
}

// finishGang removes a gang from the state. Its job ends or is queued again.
func (t *transition) finishGang(g *gang) {
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
		t.endJob(j, OutcomeSucceeded, "", g.runTime())
	case j.NonIdempotent && g.anyIn(taskFailed):
		t.endJob(j, OutcomeFailed, "a task failed", g.runTime())
	case g.ending.outcome != "":
		t.endJob(j, g.ending.outcome, g.ending.reason, g.runTime())
	default:
		t.admit(j)
	}
}

// endJob appends the end of a job to the log.
func (t *transition) endJob(j *job, o Outcome, reason string, run time.Duration) {
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

// cancelJob cancels a job, after stopping its gang if it has one.
func (t *transition) cancelJob(j *job) {
	if j.finished() {
		return
	}
	e := ending{outcome: OutcomeCancelled, reason: "cancelled by its organisation"}
	if g, ok := t.gangs.Get(j.ID); ok {
		t.stopGang(g, e, e.reason)
		return
	}
	t.endJob(j, e.outcome, e.reason, 0)
}

// releaseLease releases a lease: its task may checkpoint until stopAt and is then
// stopped.
func (t *transition) releaseLease(worker string, id leaser.ID, stopAt time.Time) {
	h, ok := t.getHold(worker, id)
	if !ok {
		t.leaseEnded(worker, id)
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
	t.sendCommand(kind, worker, leaser.Lease{ID: h.id})
	t.setTimer(timerWorker, worker, t.now.Add(commandRetryDelay))
}

// leaseEnded records that a lease holds no resources any more.
func (t *transition) leaseEnded(worker string, id leaser.ID) {
	t.dropHold(worker, id)
	g, ok := t.gangOfLease(worker, id)
	if !ok {
		return
	}
	if !g.tasks[id.Task].state.ended() {
		n := g.clone()
		n.tasks[id.Task].state = taskLeaseEnded
		t.setGang(n)
	}
	t.finishIfStopped(g.job)
}

// checkWorker retries unconfirmed releases, expires leases that are certain to have
// ended, and queries a worker that is silent.
func (t *transition) checkWorker(id string) {
	w, ok := t.workers.Get(id)
	if !ok {
		return
	}
	if !w.listed && len(w.holds) == 0 && t.now.Sub(w.unlistedAt) > forgetWorkerAfter {
		t.workers = t.workers.Delete(id)
		t.feasibleKeys = newTable[struct{}]()
		return
	}
	if w.inventoryDue(t.now) && (w.listed || len(w.holds) > 0) {
		t.fence(id)
	}
	for _, h := range w.holds {
		t.checkHold(w, h)
	}
	t.scheduleWorkerCheck(id)
}

// inventoryDue reports whether the inventory of a worker is to be read now.
func (w *worker) inventoryDue(now time.Time) bool {
	if w.fencePending && now.Before(w.lastFence.Add(commandTimeout)) || now.Before(w.lastFence.Add(fenceRetryDelay)) {
		return false
	}
	return !w.fenced || w.inventoryWanted || now.Sub(w.inventoryAt) >= probeAfterSilence
}

func (t *transition) scheduleWorkerCheck(id string) {
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

func (t *transition) checkHold(w *worker, h hold) {
	last := later(later(w.inventoryAt, t.peerReturnedAt), later(h.since, h.answeredAt))
	if t.now.Sub(last) > leaseLostAfterSilence && !t.renewedElsewhere(w) {
		t.expireHold(w.id, h)
		return
	}
	overdue := !t.now.Before(h.retryAt)
	graceEnded := !h.stopAt.After(t.now) && h.checkpointing
	if h.releasing && (overdue || graceEnded) {
		t.sendRelease(w.id, h)
	}
}

// renewedElsewhere reports whether the leases of a silent worker may still be
// renewed: entry VMs went silent at about the same time or later, and may reach it.
func (t *transition) renewedElsewhere(w *worker) bool {
	return !t.peerMissingSince.IsZero() && !w.inventoryAt.After(t.peerMissingSince.Add(partitionWindow))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expireHold drops a hold on a worker that has been silent for so long that the lease
// has expired.
func (t *transition) expireHold(worker string, h hold) {
	if g, ok := t.gangOfLease(worker, h.id); ok && g.stage != stageStopping {
		if j, ok := t.jobs.Get(g.job); ok {
			t.stopGang(g, t.endingAfterLoss(j), "worker "+worker+" is silent")
		}
	}
	t.leaseEnded(worker, h.id)
}
