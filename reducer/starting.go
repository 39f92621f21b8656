package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// startGang starts an attempt of a job on its workers and sends the prepare commands.
func (t *transition) startGang(j *job, p placer.Placement) {
	n := *j
	n.attempt++
	t.setJob(&n)
	t.dequeue(&n)
	t.addUsage(n.Job)
	g := &gang{job: n.ID, attempt: n.attempt, stage: stagePreparing, stageSince: t.now}
	for i, id := range p {
		g.tasks = append(g.tasks, task{worker: id, retryAt: t.now.Add(commandTimeoutOf(&n, CommandPrepare))})
		t.addHold(id, hold{id: g.leaseID(i), owner: n.Organisation, resources: n.Gang.PerTask, since: t.now})
		t.sendCommand(CommandPrepare, id, t.taskLease(&n, g, i))
	}
	t.setGang(g)
	t.setTimer(timerGang, g.job, t.now.Add(commandRetryDelay))
}

// taskLease returns the lease for one task of a gang.
func (t *transition) taskLease(j *job, g *gang, n int) leaser.Lease {
	return leaser.Lease{
		ID:             g.leaseID(n),
		Epoch:          t.epoch,
		GangSize:       j.Gang.Tasks,
		Organisation:   j.Organisation,
		Service:        j.Service,
		Resources:      j.Gang.PerTask,
		State:          leaser.StatePrepared,
		Checkpointable: j.Checkpointable,
		Payload:        j.Payload,
	}
}

func (t *transition) sendCommand(k CommandKind, worker string, l leaser.Lease) {
	t.emit(Command{Kind: k, Worker: worker, Epoch: t.epoch, Lease: l})
}

// gangPrepared continues with a gang once all its tasks are staged. A non-idempotent
// job first waits until its start record has been read back.
func (t *transition) gangPrepared(g *gang) {
	j, ok := t.liveJob(g.job)
	if !ok {
		return
	}
	if !j.NonIdempotent {
		t.startTasks(g)
		return
	}
	t.setGang(g.withStage(t.now, stageRecording))
	t.queueAppend(StartRecorded{Job: j.ID, Attempt: g.attempt, Epoch: t.epoch})
}

// startPermitted starts a gang whose start record has been read back.
func (t *transition) startPermitted(r StartRecorded) {
	g, ok := t.gangs.Get(r.Job)
	if ok && g.attempt == r.Attempt && g.stage == stageRecording {
		t.startTasks(g)
	}
}

// commandTimeoutOf returns the time after which a command without a result is sent
// again. Two prepares of a task of a non-idempotent job must never be in flight: one
// could reach the worker after a restart, and another start would then run the task
// there again.
func commandTimeoutOf(j *job, k CommandKind) time.Duration {
	if j.NonIdempotent && k == CommandPrepare {
		return atMostOncePrepareTimeout
	}
	return commandTimeout
}

func (t *transition) startTasks(g *gang) {
	n := g.withStage(t.now, stageStarting)
	n.startSent = true
	for i := range n.tasks {
		n.tasks[i].retryAt = t.now.Add(commandTimeout)
		t.sendCommand(CommandStart, n.tasks[i].worker, leaser.Lease{ID: n.leaseID(i)})
	}
	t.setGang(n)
	t.setTimer(timerGang, n.job, t.now.Add(commandRetryDelay))
}

// checkGang sends commands without an answer again, and stops a gang whose stage has
// timed out.
func (t *transition) checkGang(id string) {
	g, ok := t.gangs.Get(id)
	if !ok {
		return
	}
	limit, kind, waiting := g.pendingCommand()
	if limit == 0 {
		return
	}
	if !t.now.Before(g.stageSince.Add(limit)) {
		t.stageTimedOut(g)
		return
	}
	j, ok := t.jobs.Get(id)
	if !ok {
		return
	}
	n := g.clone()
	for i, v := range n.tasks {
		if kind == "" || v.state != waiting || t.now.Before(v.retryAt) {
			continue
		}
		n.tasks[i].retryAt = t.now.Add(commandTimeoutOf(j, kind))
		t.resend(kind, n, i)
	}
	t.setGang(n)
	t.setTimer(timerGang, id, t.now.Add(commandRetryDelay))
}

// pendingCommand returns the time limit of the gang's stage (0 for none), the command
// that is sent again, and the state of the tasks that it is sent to.
func (g *gang) pendingCommand() (limit time.Duration, kind CommandKind, waiting taskState) {
	switch g.stage {
	case stagePreparing:
		return prepareTimeout, CommandPrepare, taskSent
	case stageRecording:
		return startRecordTimeout, "", taskSent
	case stageStarting:
		return startTimeout, CommandStart, taskPrepared
	default:
		return 0, "", taskSent
	}
}

func (t *transition) resend(kind CommandKind, g *gang, n int) {
	l := leaser.Lease{ID: g.leaseID(n)}
	if j, ok := t.jobs.Get(g.job); ok && kind == CommandPrepare {
		l = t.taskLease(j, g, n)
	}
	t.sendCommand(kind, g.tasks[n].worker, l)
}

// stageTimedOut stops a gang that exceeded the time limit of its stage.
func (t *transition) stageTimedOut(g *gang) {
	j, ok := t.jobs.Get(g.job)
	if !ok {
		return
	}
	t.delayJob(j, refusalBackoff)
	t.pauseUnresponsive(g)
	switch g.stage {
	case stagePreparing:
		t.stopGang(g, ending{}, "not all tasks were staged in time")
	case stageRecording:
		t.outbox = t.outbox.Delete(outboxStart + g.job)
		t.stopGang(g, ending{}, "the start record was not read back from the log in time")
	default:
		t.stopGang(g, t.endingAfterLoss(j), "not all tasks started in time")
	}
}

// pauseUnresponsive keeps new tasks off the workers that did not answer a command for
// a gang. Other VMs may still report them as healthy, if only the leader cannot reach
// them.
func (t *transition) pauseUnresponsive(g *gang) {
	_, kind, waiting := g.pendingCommand()
	for _, v := range g.tasks {
		if kind == "" || v.state != waiting {
			continue
		}
		until := t.now.Add(unresponsivePause)
		t.changeWorker(v.worker, func(w *worker) { w.pausedUntil = until })
		t.setTimer(timerPlace, "worker "+v.worker, until)
	}
}

// endingAfterLoss returns the ending of a job whose gang was lost after it was started.
func (t *transition) endingAfterLoss(j *job) ending {
	if j.NonIdempotent {
		return ending{outcome: OutcomeUnknown, reason: "lost while it was running; it may have had an effect"}
	}
	return ending{}
}

// delayJob delays the next attempt of a job by at least d.
func (t *transition) delayJob(j *job, d time.Duration) {
	n := *j
	if until := t.now.Add(d); until.After(n.notBefore) {
		n.notBefore = until
	}
	t.setJob(&n)
}
