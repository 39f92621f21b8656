package reducer

import (
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// commandEnded applies the result of a command. Results for an older epoch of this VM
// are ignored, except that they may report a newer epoch.
func (t *transition) commandEnded(e CommandEnded) {
	if t.superseded(e.HighestEpoch) || !t.hasEpoch() || e.Command.Epoch != t.epoch {
		return
	}
	if e.Result == CommandFenced {
		t.stepDown() // another VM holds the same sub-term
		return
	}
	switch e.Command.Kind {
	case CommandFence:
		t.fenceFailed(e)
	case CommandPrepare:
		t.prepareEnded(e)
	case CommandStart:
		t.startEnded(e)
	case CommandCheckpoint, CommandStop:
		t.releaseEnded(e)
	case CommandThrottle:
	}
}

func (t *transition) fenceFailed(e CommandEnded) {
	t.changeWorker(e.Command.Worker, func(w *worker) { w.fencePending = false })
	t.setTimer(timerWorker, e.Command.Worker, t.now.Add(fenceRetryDelay))
}

// markAnswered records that the worker answered a command on a lease.
func (t *transition) markAnswered(e CommandEnded) {
	if h, ok := t.getHold(e.Command.Worker, e.Command.Lease.ID); ok {
		h.answeredAt = t.now
		t.setHold(e.Command.Worker, h)
	}
}

func (t *transition) prepareEnded(e CommandEnded) {
	c := e.Command
	g, ok := t.gangOfLease(c.Worker, c.Lease.ID)
	if !ok || g.stage != stagePreparing {
		return
	}
	switch e.Result {
	case CommandDone:
		t.markAnswered(e)
		t.taskPrepared(g, c.Lease.ID.Task)
	case CommandRefused:
		t.dropHold(c.Worker, c.Lease.ID)
		t.requestInventory(c.Worker)
		if j, ok := t.jobs.Get(g.job); ok {
			t.delayJob(j, refusalBackoff)
		}
		t.stopGang(g, ending{}, "worker "+c.Worker+" refused to stage its task: "+e.Reason)
	default:
		t.retryTask(g, c.Lease.ID.Task)
	}
}

// requestInventory schedules a query of a worker whose known inventory may be wrong.
func (t *transition) requestInventory(id string) {
	t.changeWorker(id, func(w *worker) { w.inventoryWanted = true })
	t.setTimer(timerWorker, id, t.now)
}

func (t *transition) taskPrepared(g *gang, n int) {
	if g.tasks[n].state != taskSent {
		return
	}
	g = g.clone()
	g.tasks[n].state = taskPrepared
	t.setGang(g)
	if g.allReached(taskPrepared) {
		t.gangPrepared(g)
	}
}

func (t *transition) retryTask(g *gang, n int) {
	g = g.clone()
	g.tasks[n].retryAt = t.now.Add(commandRetryDelay)
	t.setGang(g)
	t.setTimer(timerGang, g.job, t.now.Add(commandRetryDelay))
}

func (t *transition) startEnded(e CommandEnded) {
	c := e.Command
	g, ok := t.gangOfLease(c.Worker, c.Lease.ID)
	if !ok || g.stage != stageStarting {
		return
	}
	switch e.Result {
	case CommandDone:
		t.markAnswered(e)
		t.taskStarted(g, c.Lease.ID.Task)
	case CommandRefused:
		t.startRefused(g, e)
	default:
		t.retryTask(g, c.Lease.ID.Task)
	}
}

// startRefused stops a gang of which a task did not start. The task may have run and
// ended before its answer was lost; the inventory then shows its end.
func (t *transition) startRefused(g *gang, e CommandEnded) {
	c := e.Command
	if g.tasks[c.Lease.ID.Task].state.ended() {
		return
	}
	j, ok := t.jobs.Get(g.job)
	if !ok {
		return
	}
	t.requestInventory(c.Worker)
	t.delayJob(j, refusalBackoff)
	t.stopGang(g, t.endingAfterLoss(j), "worker "+c.Worker+" did not start its task: "+e.Reason)
}

func (t *transition) taskStarted(g *gang, n int) {
	if g.tasks[n].state > taskRunning {
		return
	}
	g = g.clone()
	g.tasks[n].state = taskRunning
	t.updateRunning(g)
}

// updateRunning stores a gang, and marks it as running once all its tasks are.
func (t *transition) updateRunning(g *gang) {
	if g.stage == stageStarting && g.complete() {
		g = g.withStage(t.now, stageRunning)
		g.started = t.now
	}
	t.setGang(g)
}

// releaseEnded applies the result of a stop or checkpoint. A worker that refuses a
// stop has no such lease. A checkpoint is always followed by a stop, because a task
// may continue after a checkpoint.
func (t *transition) releaseEnded(e CommandEnded) {
	c := e.Command
	h, ok := t.getHold(c.Worker, c.Lease.ID)
	if !ok || !h.releasing {
		return
	}
	switch {
	case e.Result == CommandUnreachable:
		h.retryAt = t.now.Add(commandRetryDelay)
		t.setHold(c.Worker, h)
		t.setTimer(timerWorker, c.Worker, h.retryAt)
	case c.Kind == CommandStop:
		t.leaseEnded(c.Worker, c.Lease.ID)
	default:
		h.stopAt = t.now
		t.sendRelease(c.Worker, h)
	}
}

// taskEnded handles a lease that has ended on its worker.
func (t *transition) taskEnded(worker string, l leaser.Lease) {
	g, ok := t.gangOfLease(worker, l.ID)
	if !ok || g.tasks[l.ID.Task].state.ended() {
		t.leaseEnded(worker, l.ID)
		return
	}
	n := g.clone()
	n.tasks[l.ID.Task].state = taskStateOf(l.State)
	n.tasks[l.ID.Task].runTime = runTimeOf(l)
	t.setGang(n)
	t.dropHold(worker, l.ID)
	switch {
	case n.succeeded():
		t.clearFailures(n)
		t.finishGang(n)
	case l.State == leaser.StateSucceeded:
		t.updateRunning(n)
	case l.State == leaser.StateFailed:
		t.taskFailed(worker, n, l)
	case n.stage != stageStopping:
		t.taskLost(worker, n, l)
	}
	t.finishIfStopped(l.ID.Job)
}

// taskLost stops the gang of a task that ended without a stop from the leader.
func (t *transition) taskLost(worker string, g *gang, l leaser.Lease) {
	j, ok := t.jobs.Get(g.job)
	if !ok {
		return
	}
	e := ending{}
	if g.startSent {
		e = t.endingAfterLoss(j)
	}
	t.stopGang(g, e, "task on "+worker+" is "+string(l.State)+": "+l.Reason)
}

// taskFailed counts the failure against the job and the worker, and stops the gang.
// The job ends as failed once it has failed on several healthy workers.
func (t *transition) taskFailed(worker string, g *gang, l leaser.Lease) {
	j, ok := t.jobs.Get(g.job)
	if !ok || g.stage == stageStopping && g.stopReason == reasonTaskFailed {
		return
	}
	n := j.withFailure(t.now, worker)
	t.setJob(n)
	t.recordFailure(worker, n.ID)
	e := ending{}
	switch {
	case n.NonIdempotent:
		e = ending{outcome: OutcomeFailed, reason: "a task failed: " + l.Reason}
	case t.failsEverywhere(n):
		e = ending{outcome: OutcomeFailed, reason: "failed on several workers, last on " + worker + ": " + l.Reason}
	}
	t.stopGang(g, e, reasonTaskFailed)
}

// reasonTaskFailed is the reason for stopping a gang after one of its tasks failed.
const reasonTaskFailed = "a task failed"
