package reducer

import (
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// commandEnded takes the result of a command. Those of an older epoch of this VM
// say nothing but that a newer one was seen.
func (t *turn) commandEnded(e CommandEnded) {
	if t.outranked(e.Seen) || !t.holding() || e.Command.Epoch != t.epoch {
		return
	}
	if e.Result == CommandFenced {
		t.resign() // another VM holds the same sub-term
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

func (t *turn) fenceFailed(e CommandEnded) {
	t.changeWorker(e.Command.Worker, func(w *worker) { w.asking = false })
	t.arm(timerWorker, e.Command.Worker, t.now.Add(fenceRetry))
}

// settle notes that the worker answered a command on a lease.
func (t *turn) settle(e CommandEnded) {
	if h, ok := t.getHold(e.Command.Worker, e.Command.Lease.ID); ok {
		h.settled = t.now
		t.setHold(e.Command.Worker, h)
	}
}

func (t *turn) prepareEnded(e CommandEnded) {
	c := e.Command
	g, ok := t.gangAt(c.Worker, c.Lease.ID)
	if !ok || g.stage != stagePreparing {
		return
	}
	switch e.Result {
	case CommandDone:
		t.settle(e)
		t.taskPrepared(g, c.Lease.ID.Task)
	case CommandRefused:
		t.dropHold(c.Worker, c.Lease.ID)
		t.doubt(c.Worker)
		if j, ok := t.jobs.Get(g.job); ok {
			t.pause(j, refusalPause)
		}
		t.stopGang(g, ending{}, "worker "+c.Worker+" refused: "+e.Reason)
	default:
		t.retryTask(g, c.Lease.ID.Task)
	}
}

// doubt has a worker asked for its inventory soon, for what is known of it seems
// to be wrong.
func (t *turn) doubt(id string) {
	t.changeWorker(id, func(w *worker) { w.doubt = true })
	t.arm(timerWorker, id, t.now)
}

func (t *turn) taskPrepared(g *gang, n int) {
	if g.tasks[n].state != taskSent {
		return
	}
	g = g.clone()
	g.tasks[n].state = taskPrepared
	t.setGang(g)
	if g.all(taskPrepared) {
		t.prepared(g)
	}
}

func (t *turn) retryTask(g *gang, n int) {
	g = g.clone()
	g.tasks[n].retryAt = t.now.Add(commandRetry)
	t.setGang(g)
	t.arm(timerGang, g.job, t.now.Add(commandRetry))
}

func (t *turn) startEnded(e CommandEnded) {
	c := e.Command
	g, ok := t.gangAt(c.Worker, c.Lease.ID)
	if !ok || g.stage != stageStarting {
		return
	}
	switch e.Result {
	case CommandDone:
		t.settle(e)
		t.taskStarted(g, c.Lease.ID.Task)
	case CommandRefused:
		t.startRefused(g, e)
	default:
		t.retryTask(g, c.Lease.ID.Task)
	}
}

// startRefused stops a gang of which a task did not start. The task may have run
// and ended before its answer got lost; then its inventory says so.
func (t *turn) startRefused(g *gang, e CommandEnded) {
	c := e.Command
	if g.tasks[c.Lease.ID.Task].state.over() {
		return
	}
	j, ok := t.jobs.Get(g.job)
	if !ok {
		return
	}
	t.doubt(c.Worker)
	t.pause(j, refusalPause)
	t.stopGang(g, t.lossOf(j), "worker "+c.Worker+" did not start its task: "+e.Reason)
}

func (t *turn) taskStarted(g *gang, n int) {
	if g.tasks[n].state > taskRunning {
		return
	}
	g = g.clone()
	g.tasks[n].state = taskRunning
	t.startedIfWhole(g)
}

// startedIfWhole notes that a gang runs once all its tasks do.
func (t *turn) startedIfWhole(g *gang) {
	if g.stage == stageStarting && g.whole() {
		g = g.with(t.now, stageRunning)
		g.started = t.now
	}
	t.setGang(g)
}

// releaseEnded takes the result of a stop or checkpoint. A worker that refuses a
// stop has no such lease. After a checkpoint the worker is told to stop, whatever
// it answered, for a task may go on though it was checkpointed.
func (t *turn) releaseEnded(e CommandEnded) {
	c := e.Command
	h, ok := t.getHold(c.Worker, c.Lease.ID)
	if !ok || !h.releasing {
		return
	}
	switch {
	case e.Result == CommandUnreachable:
		h.retryAt = t.now.Add(commandRetry)
		t.setHold(c.Worker, h)
		t.arm(timerWorker, c.Worker, h.retryAt)
	case c.Kind == CommandStop:
		t.gone(c.Worker, c.Lease.ID)
	default:
		h.stopAt = t.now
		t.sendRelease(c.Worker, h)
	}
}

// taskEnded takes it that a lease is over on its worker.
func (t *turn) taskEnded(worker string, l leaser.Lease) {
	g, ok := t.gangAt(worker, l.ID)
	if !ok || g.tasks[l.ID.Task].state.over() {
		t.gone(worker, l.ID)
		return
	}
	n := g.clone()
	n.tasks[l.ID.Task].state = stateOf(l.State)
	n.tasks[l.ID.Task].run = runOf(l)
	t.setGang(n)
	t.dropHold(worker, l.ID)
	switch {
	case n.succeeded():
		t.praise(n)
		t.finish(n)
	case l.State == leaser.StateSucceeded:
		t.startedIfWhole(n)
	case l.State == leaser.StateFailed:
		t.taskFailed(worker, n, l)
	case n.stage != stageStopping:
		t.taskLost(worker, n, l)
	}
	t.settleGang(l.ID.Job)
}

// taskLost stops the gang of a task that is over though nobody here stopped it.
func (t *turn) taskLost(worker string, g *gang, l leaser.Lease) {
	j, ok := t.jobs.Get(g.job)
	if !ok {
		return
	}
	e := ending{}
	if g.began {
		e = t.lossOf(j)
	}
	t.stopGang(g, e, "task on "+worker+" is "+string(l.State)+": "+l.Reason)
}

// taskFailed notes whose fault a failure may be, and stops the gang. The job
// ends as failed once it has failed on several sound workers.
func (t *turn) taskFailed(worker string, g *gang, l leaser.Lease) {
	j, ok := t.jobs.Get(g.job)
	if !ok || g.stage == stageStopping && g.reason == reasonFailed {
		return
	}
	n := j.withFailure(t.now, worker)
	t.setJob(n)
	t.blame(worker, n.ID)
	e := ending{}
	switch {
	case n.NonIdempotent:
		e = ending{outcome: OutcomeFailed, reason: "a task failed: " + l.Reason}
	case t.broken(n):
		e = ending{outcome: OutcomeFailed, reason: "failed on several workers, last on " + worker + ": " + l.Reason}
	}
	t.stopGang(g, e, reasonFailed)
}

// reasonFailed is why a gang is stopped one of whose tasks has failed.
const reasonFailed = "a task failed"
