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
func gangOf(now time.Time, j *job, f *foundAttempt) *gang {
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

func (t *transition) setGang(g *gang) { t.gangs = t.gangs.Set(g.job, g) }

// gangAt returns the gang to which a lease belongs, and the task.
func (t *transition) gangAt(worker string, id leaser.ID) (*gang, bool) {
	g, ok := t.gangs.Get(id.Job)
	if !ok || g.attempt != id.Attempt || id.Task >= len(g.tasks) || g.tasks[id.Task].worker != worker {
		return nil, false
	}
	return g, true
}
