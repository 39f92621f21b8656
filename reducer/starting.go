package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// startGang gives a job its workers and has its tasks staged.
func (t *transition) startGang(j *job, p placer.Placement) {
	n := *j
	n.attempt++
	t.setJob(&n)
	t.dequeue(&n)
	t.addUsage(n.Job)
	g := &gang{job: n.ID, attempt: n.attempt, stage: stagePreparing, since: t.now}
	for i, id := range p {
		g.tasks = append(g.tasks, task{worker: id, retryAt: t.now.Add(lostAfter(&n, CommandPrepare))})
		t.addHold(id, hold{id: g.id(i), owner: n.Organisation, resources: n.Gang.PerTask, since: t.now})
		t.command(CommandPrepare, id, t.leaseOf(&n, g, i))
	}
	t.setGang(g)
	t.setTimer(timerGang, g.job, t.now.Add(commandRetryDelay))
}

// leaseOf returns the lease of one task of a gang.
func (t *transition) leaseOf(j *job, g *gang, n int) leaser.Lease {
	return leaser.Lease{
		ID:             g.id(n),
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

func (t *transition) command(k CommandKind, worker string, l leaser.Lease) {
	t.emit(Command{Kind: k, Worker: worker, Epoch: t.epoch, Lease: l})
}

// prepared goes on with a gang once all its tasks are staged. A non-idempotent
// job waits until its start record was read back.
func (t *transition) prepared(g *gang) {
	j, ok := t.liveJob(g.job)
	if !ok {
		return
	}
	if !j.NonIdempotent {
		t.startTasks(g)
		return
	}
	t.setGang(g.with(t.now, stageRecording))
	t.queueAppend(StartRecorded{Job: j.ID, Attempt: g.attempt, Epoch: t.epoch})
}

// startAllowed goes on with a gang whose start record was read back.
func (t *transition) startAllowed(r StartRecorded) {
	g, ok := t.gangs.Get(r.Job)
	if ok && g.attempt == r.Attempt && g.stage == stageRecording {
		t.startTasks(g)
	}
}

// lostAfter returns after how long a command to a task without a result is sent again.
// A second prepare of a non-idempotent job may not be under way: it could reach the
// next life of a worker, and a second start would run the task there again.
func lostAfter(j *job, k CommandKind) time.Duration {
	if j.NonIdempotent && k == CommandPrepare {
		return atMostOncePrepareTimeout
	}
	return commandTimeout
}

func (t *transition) startTasks(g *gang) {
	n := g.with(t.now, stageStarting)
	n.began = true
	for i := range n.tasks {
		n.tasks[i].retryAt = t.now.Add(commandTimeout)
		t.command(CommandStart, n.tasks[i].worker, leaser.Lease{ID: n.id(i)})
	}
	t.setGang(n)
	t.setTimer(timerGang, n.job, t.now.Add(commandRetryDelay))
}

// pokeGang sends commands again that had no answer, and gives a gang up that
// does not get on.
func (t *transition) pokeGang(id string) {
	g, ok := t.gangs.Get(id)
	if !ok {
		return
	}
	limit, kind, waiting := g.awaits()
	if limit == 0 {
		return
	}
	if !t.now.Before(g.since.Add(limit)) {
		t.giveUp(g)
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
		n.tasks[i].retryAt = t.now.Add(lostAfter(j, kind))
		t.resend(kind, n, i)
	}
	t.setGang(n)
	t.setTimer(timerGang, id, t.now.Add(commandRetryDelay))
}

// awaits returns how long a gang may stay in its stage, the command that is sent
// again, and the state of the tasks to which it is sent.
func (g *gang) awaits() (limit time.Duration, kind CommandKind, waiting taskState) {
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
	l := leaser.Lease{ID: g.id(n)}
	if j, ok := t.jobs.Get(g.job); ok && kind == CommandPrepare {
		l = t.leaseOf(j, g, n)
	}
	t.command(kind, g.tasks[n].worker, l)
}

// giveUp stops a gang that took too long over a stage.
func (t *transition) giveUp(g *gang) {
	j, ok := t.jobs.Get(g.job)
	if !ok {
		return
	}
	t.pause(j, refusalBackoff)
	t.shunSilent(g)
	switch g.stage {
	case stagePreparing:
		t.stopGang(g, ending{}, "not all tasks were staged in time")
	case stageRecording:
		t.outbox = t.outbox.Delete(outboxStart + g.job)
		t.stopGang(g, ending{}, "the log did not take the start record in time")
	default:
		t.stopGang(g, t.lossOf(j), "not all tasks started in time")
	}
}

// shunSilent keeps tasks off the workers that did not answer for a gang. Others may
// report them as sound, if the leader alone cannot reach them.
func (t *transition) shunSilent(g *gang) {
	_, kind, waiting := g.awaits()
	for _, v := range g.tasks {
		if kind == "" || v.state != waiting {
			continue
		}
		until := t.now.Add(unresponsivePause)
		t.changeWorker(v.worker, func(w *worker) { w.pausedUntil = until })
		t.setTimer(timerPlace, "worker "+v.worker, until)
	}
}

// lossOf returns what becomes of a job whose gang was lost after it began.
func (t *transition) lossOf(j *job) ending {
	if j.NonIdempotent {
		return ending{outcome: OutcomeUnknown, reason: "lost while it ran; it may have had effect"}
	}
	return ending{}
}

// pause keeps a job from being placed for a while.
func (t *transition) pause(j *job, d time.Duration) {
	n := *j
	if until := t.now.Add(d); until.After(n.notBefore) {
		n.notBefore = until
	}
	t.setJob(&n)
}
