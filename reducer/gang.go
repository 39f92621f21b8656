package reducer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// stage is where a gang stands.
type stage string

const (
	stagePreparing stage = "preparing" // some tasks are not staged yet
	stageRecording stage = "recording" // waits for its start record
	stageStarting  stage = "starting"  // some tasks have not started yet
	stageRunning   stage = "running"
	stageStopping  stage = "stopping" // leases are being released
)

// taskState is where a task of a gang stands.
type taskState int

const (
	taskSent      taskState = iota // prepare was sent
	taskPrepared                   // staged
	taskRunning                    // has started
	taskSucceeded                  // has ended by itself
	taskFailed                     // has ended with an error
	taskGone                       // its lease is over
)

// over reports whether the task's lease holds nothing any more.
func (s taskState) over() bool { return s >= taskSucceeded }

// task is one task of a gang.
type task struct {
	worker  string
	state   taskState
	retryAt time.Time // when the command of the stage is sent again
	run     time.Duration
}

// ending is what becomes of a job once its gang is stopped.
type ending struct {
	outcome Outcome // "" to wait for another attempt
	reason  string
}

// gang is an attempt of a job that has workers. It is never changed in place.
type gang struct {
	job     string
	attempt int
	stage   stage
	since   time.Time // of the stage
	began   bool      // a start was sent
	started time.Time // when all tasks ran
	tasks   []task
	ending  ending // of a gang that is being stopped
	reason  string // why it is being stopped
}

func (g *gang) clone() *gang {
	n := *g
	n.tasks = slices.Clone(g.tasks)
	return &n
}

// with returns the gang in another stage.
func (g *gang) with(now time.Time, s stage) *gang {
	n := g.clone()
	n.stage = s
	n.since = now
	return n
}

// all reports whether every task is in a state at least as far as s.
func (g *gang) all(s taskState) bool {
	return !slices.ContainsFunc(g.tasks, func(v task) bool { return v.state < s })
}

// any reports whether a task is in a state.
func (g *gang) any(s taskState) bool {
	return slices.ContainsFunc(g.tasks, func(v task) bool { return v.state == s })
}

// succeeded reports whether every task has succeeded.
func (g *gang) succeeded() bool {
	return !slices.ContainsFunc(g.tasks, func(v task) bool { return v.state != taskSucceeded })
}

// whole reports whether every task runs or has succeeded.
func (g *gang) whole() bool {
	return !slices.ContainsFunc(g.tasks, func(v task) bool {
		return v.state != taskRunning && v.state != taskSucceeded
	})
}

// run returns the time that the longest task ran.
func (g *gang) run() time.Duration {
	var longest time.Duration
	for _, v := range g.tasks {
		longest = max(longest, v.run)
	}
	return longest
}

// workers returns the worker of each task.
func (g *gang) workers() placer.Placement {
	p := make(placer.Placement, 0, len(g.tasks))
	for _, v := range g.tasks {
		p = append(p, v.worker)
	}
	return p
}

func (g *gang) id(n int) leaser.ID { return leaser.ID{Job: g.job, Attempt: g.attempt, Task: n} }

// gangOf returns the gang that leases show, nil when there are none.
func gangOf(now time.Time, j *job, f *found) *gang {
	if len(f.leases) == 0 {
		return nil
	}
	g := &gang{job: j.ID, attempt: f.attempt, stage: stageRunning, since: now, started: now}
	g.tasks = make([]task, j.Gang.Tasks)
	for i := range g.tasks {
		g.tasks[i].state = taskGone
	}
	for i, l := range f.leases {
		g.began = g.began || l.State != leaser.StatePrepared
		if l.ID.Task < len(g.tasks) {
			run := time.Duration(l.RunMS) * time.Millisecond
			g.tasks[l.ID.Task] = task{worker: f.workers[i], state: stateOf(l.State), run: run}
			if start := now.Add(-run); start.Before(g.started) {
				g.started = start
			}
		}
	}
	return g
}

// stateOf returns the state of a task under a lease.
func stateOf(s leaser.State) taskState {
	switch s {
	case leaser.StatePrepared:
		return taskPrepared
	case leaser.StateRunning:
		return taskRunning
	case leaser.StateSucceeded:
		return taskSucceeded
	case leaser.StateFailed:
		return taskFailed
	default:
		return taskGone
	}
}

func (t *turn) setGang(g *gang) { t.gangs = t.gangs.Set(g.job, g) }

// gangAt returns the gang to which a lease belongs, and the task.
func (t *turn) gangAt(worker string, id leaser.ID) (*gang, bool) {
	g, ok := t.gangs.Get(id.Job)
	if !ok || g.attempt != id.Attempt || id.Task >= len(g.tasks) || g.tasks[id.Task].worker != worker {
		return nil, false
	}
	return g, true
}

// startGang gives a job its workers and has its tasks staged.
func (t *turn) startGang(j *job, p placer.Placement) {
	n := *j
	n.attempt++
	t.setJob(&n)
	t.unqueue(&n)
	t.charge(n.Job)
	g := &gang{job: n.ID, attempt: n.attempt, stage: stagePreparing, since: t.now}
	for i, id := range p {
		g.tasks = append(g.tasks, task{worker: id, retryAt: t.now.Add(commandLost)})
		t.addHold(id, hold{id: g.id(i), owner: n.Organisation, resources: n.Gang.PerTask, since: t.now})
		t.command(CommandPrepare, id, t.leaseOf(&n, g, i))
	}
	t.setGang(g)
	t.arm(timerGang, g.job, t.now.Add(commandRetry))
}

// leaseOf returns the lease of one task of a gang.
func (t *turn) leaseOf(j *job, g *gang, n int) leaser.Lease {
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

func (t *turn) command(k CommandKind, worker string, l leaser.Lease) {
	t.emit(Command{Kind: k, Worker: worker, Epoch: t.epoch, Lease: l})
}

// prepared goes on with a gang once all its tasks are staged. A non-idempotent
// job waits until its start record was read back.
func (t *turn) prepared(g *gang) {
	j, ok := t.liveJob(g.job)
	if !ok {
		return
	}
	if !j.NonIdempotent {
		t.startTasks(g)
		return
	}
	t.setGang(g.with(t.now, stageRecording))
	t.send(StartRecorded{Job: j.ID, Attempt: g.attempt, Epoch: t.epoch})
}

// startAllowed goes on with a gang whose start record was read back.
func (t *turn) startAllowed(r StartRecorded) {
	g, ok := t.gangs.Get(r.Job)
	if ok && g.attempt == r.Attempt && g.stage == stageRecording {
		t.startTasks(g)
	}
}

func (t *turn) startTasks(g *gang) {
	n := g.with(t.now, stageStarting)
	n.began = true
	for i := range n.tasks {
		n.tasks[i].retryAt = t.now.Add(commandLost)
		t.command(CommandStart, n.tasks[i].worker, leaser.Lease{ID: n.id(i)})
	}
	t.setGang(n)
	t.arm(timerGang, n.job, t.now.Add(commandRetry))
}

// pokeGang sends commands again that had no answer, and gives a gang up that
// does not get on.
func (t *turn) pokeGang(id string) {
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
	n := g.clone()
	for i, v := range n.tasks {
		if kind == "" || v.state != waiting || t.now.Before(v.retryAt) {
			continue
		}
		n.tasks[i].retryAt = t.now.Add(commandLost)
		t.resend(kind, n, i)
	}
	t.setGang(n)
	t.arm(timerGang, id, t.now.Add(commandRetry))
}

// awaits returns how long a gang may stay in its stage, the command that is sent
// again, and the state of the tasks to which it is sent.
func (g *gang) awaits() (limit time.Duration, kind CommandKind, waiting taskState) {
	switch g.stage {
	case stagePreparing:
		return prepareLimit, CommandPrepare, taskSent
	case stageRecording:
		return recordLimit, "", taskSent
	case stageStarting:
		return startLimit, CommandStart, taskPrepared
	default:
		return 0, "", taskSent
	}
}

func (t *turn) resend(kind CommandKind, g *gang, n int) {
	l := leaser.Lease{ID: g.id(n)}
	if j, ok := t.jobs.Get(g.job); ok && kind == CommandPrepare {
		l = t.leaseOf(j, g, n)
	}
	t.command(kind, g.tasks[n].worker, l)
}

// giveUp stops a gang that took too long over a stage.
func (t *turn) giveUp(g *gang) {
	j, ok := t.jobs.Get(g.job)
	if !ok {
		return
	}
	t.pause(j, refusalPause)
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

// lossOf returns what becomes of a job whose gang was lost after it began.
func (t *turn) lossOf(j *job) ending {
	if j.NonIdempotent {
		return ending{outcome: OutcomeUnknown, reason: "lost while it ran; it may have had effect"}
	}
	return ending{}
}

// pause keeps a job from being placed for a while.
func (t *turn) pause(j *job, d time.Duration) {
	n := *j
	if until := t.now.Add(d); until.After(n.notBefore) {
		n.notBefore = until
	}
	t.setJob(&n)
}
