package reducer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// stage is a stage in the life cycle of a gang.
type stage string

const (
	stagePreparing stage = "preparing" // some tasks are not staged yet
	stageRecording stage = "recording" // its start record has not been read back yet
	stageStarting  stage = "starting"  // some tasks have not started yet
	stageRunning   stage = "running"
	stageStopping  stage = "stopping" // leases are being released
)

// taskState is the state of a task, in the order in which states are reached.
type taskState int

const (
	taskSent       taskState = iota // prepare was sent, without a confirmation yet
	taskPrepared                    // staged
	taskRunning                     // started
	taskSucceeded                   // ended without an error
	taskFailed                      // ended with an error
	taskLeaseEnded                  // its lease has ended in any other way
)

// ended reports whether the task's lease holds no resources any more.
func (s taskState) ended() bool { return s >= taskSucceeded }

// task is one task of a gang.
type task struct {
	worker  string
	state   taskState
	retryAt time.Time // when the command of the current stage is sent again
	runTime time.Duration
}

// ending is the outcome of a job once its gang has stopped.
type ending struct {
	outcome Outcome // empty if the job waits for another attempt
	reason  string
}

// gang is a placed attempt of a job. It is immutable; changes are made on copies.
type gang struct {
	job        string
	attempt    int
	stage      stage
	stageSince time.Time // when the stage began
	startSent  bool      // a start command was sent, or a task was found started
	started    time.Time // when all tasks were running, zero before
	tasks      []task
	ending     ending // set while the gang is being stopped
	stopReason string // why it is being stopped
}

func (g *gang) clone() *gang {
	n := *g
	n.tasks = slices.Clone(g.tasks)
	return &n
}

// withStage returns a copy of the gang in another stage.
func (g *gang) withStage(now time.Time, s stage) *gang {
	n := g.clone()
	n.stage = s
	n.stageSince = now
	return n
}

// allReached reports whether every task is in state s or a later one.
func (g *gang) allReached(s taskState) bool {
	return !slices.ContainsFunc(g.tasks, func(v task) bool { return v.state < s })
}

// anyIn reports whether at least one task is in state s.
func (g *gang) anyIn(s taskState) bool {
	return slices.ContainsFunc(g.tasks, func(v task) bool { return v.state == s })
}

// succeeded reports whether every task has succeeded.
func (g *gang) succeeded() bool {
	return !slices.ContainsFunc(g.tasks, func(v task) bool { return v.state != taskSucceeded })
}

// complete reports whether every task is running or has succeeded.
func (g *gang) complete() bool {
	return !slices.ContainsFunc(g.tasks, func(v task) bool {
		return v.state != taskRunning && v.state != taskSucceeded
	})
}

// runTime returns the run time of the longest task.
func (g *gang) runTime() time.Duration {
	var longest time.Duration
	for _, v := range g.tasks {
		longest = max(longest, v.runTime)
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

func (g *gang) leaseID(n int) leaser.ID { return leaser.ID{Job: g.job, Attempt: g.attempt, Task: n} }

// gangFromLeases rebuilds a gang from the leases found, or returns nil without leases.
func gangFromLeases(now time.Time, j *job, f *foundAttempt) *gang {
	if len(f.leases) == 0 {
		return nil
	}
	g := &gang{job: j.ID, attempt: f.attempt, stage: stageRunning, stageSince: now, started: now}
	g.tasks = make([]task, j.Gang.Tasks)
	for i := range g.tasks {
		g.tasks[i].state = taskLeaseEnded
	}
	for i, l := range f.leases {
		g.startSent = g.startSent || l.State != leaser.StatePrepared
		if l.ID.Task < len(g.tasks) {
			runTime := time.Duration(l.RunMS) * time.Millisecond
			g.tasks[l.ID.Task] = task{worker: f.workers[i], state: taskStateOf(l.State), runTime: runTime}
			if start := now.Add(-runTime); start.Before(g.started) {
				g.started = start
			}
		}
	}
	return g
}

// taskStateOf returns the state of a task for the state of its lease.
func taskStateOf(s leaser.State) taskState {
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
		return taskLeaseEnded
	}
}

func (t *transition) setGang(g *gang) { t.gangs = t.gangs.Set(g.job, g) }

// gangOfLease returns the current gang that a lease on a worker belongs to.
func (t *transition) gangOfLease(worker string, id leaser.ID) (*gang, bool) {
	g, ok := t.gangs.Get(id.Job)
	if !ok || g.attempt != id.Attempt || id.Task >= len(g.tasks) || g.tasks[id.Task].worker != worker {
		return nil, false
	}
	return g, true
}
