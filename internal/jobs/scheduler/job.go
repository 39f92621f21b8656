// Package scheduler decides which tasks of stepped jobs run, where and when.
//
// One entry VM at a time feeds every event to Reduce in one goroutine and
// carries out the effects that come back. The package does no I/O, reads no
// clock and starts no goroutine. State is changed in place: a copy on each event
// would cost more than the decisions on VMs with a fraction of a core.
package scheduler

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks       int              `json:"tasks"`
	Need        placer.Resources `json:"need"`                  // of each task
	EstimateMS  int              `json:"estimate-ms,omitempty"` // declared duration of a task, rough
	After       []int            `json:"after,omitempty"`       // steps that must have succeeded first
	Checkpoints bool             `json:"checkpoints,omitempty"` // a stopped task may resume
	Gang        bool             `json:"gang,omitempty"`        // all tasks run together or none does
	SameRack    bool             `json:"same-rack,omitempty"`   // slower when spread over racks
	PerWorker   int              `json:"per-worker,omitempty"`  // most tasks on one worker, 0 for no limit
	Label       string           `json:"label,omitempty"`       // label that a worker must have
	DataRack    string           `json:"data-rack,omitempty"`   // rack that holds the data
	Speculative bool             `json:"speculative,omitempty"` // a second copy would be allowed
	Lasts       bool             `json:"lasts,omitempty"`       // tasks run until the job is cancelled
	Serves      bool             `json:"serves,omitempty"`      // tasks that last answer users of their own, in a bounded time
	TargetMS    int              `json:"target-ms,omitempty"`   // below which the tail of their answers must stay
	Fills       bool             `json:"fills,omitempty"`       // tasks use the processors that others leave idle
	MayMiss     int              `json:"may-miss,omitempty"`    // most tasks that last and may be away through the system
}

// Job is a job as its caller submitted it.
type Job struct {
	ID           string `json:"id"`
	Queue        string `json:"queue"`
	Organisation string `json:"organisation"`
	Spec         string `json:"spec"`
	Steps        []Step `json:"steps"`
	AcceptedMS   int64  `json:"accepted-ms"`           // Unix time at which a VM took it
	Terms        Queue  `json:"terms"`                 // of its queue at that time
	Times        int    `json:"times,omitempty"`       // occurrences of the steps, 0 for a job that runs once and now
	FirstMS      int64  `json:"first-ms,omitempty"`    // Unix time at which the first occurrence is due
	IntervalMS   int64  `json:"interval-ms,omitempty"` // between two of them
}

// Queue is what the configuration says of a queue of jobs.
type Queue struct {
	Service     string  `json:"service"`          // whose workers run the tasks
	Priority    int     `json:"priority"`         // 0 is urgent and may preempt others
	MaxAttempts int     `json:"max-attempts"`     // failures of a task or gang that fail the job
	Stretch     float64 `json:"stretch"`          // objective as a multiple of the longest chain
	ObjectiveMS int     `json:"objective-ms"`     // added to the objective
	Advice      *Advice `json:"advice,omitempty"` // nil where every worker may run the steps
}

// State is where a job stands.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Progress is what must outlive a leader: it is stored before the ends that it
// covers are acknowledged to workers.
type Progress struct {
	State    State              `json:"state"`
	Done     [][]int            `json:"done,omitempty"`     // tasks that succeeded, by step
	Failures map[string][]int64 `json:"failures,omitempty"` // failed runs, by task or gang key
	Saved    map[string]string  `json:"saved,omitempty"`    // newest checkpoints, by task or gang key
	EndedMS  int64              `json:"ended-ms,omitempty"` // Unix time at which the job ended
}

// Ended reports whether the job needs no more decisions.
func (s State) Ended() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// TaskID names a task of a job.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// taskState is where a task stands.
type taskState int

const (
	taskWaiting taskState = iota
	taskPlaced            // a run of it holds room on a worker
	taskDone
)

// task is one task of a step.
type task struct {
	state    taskState
	worker   string
	run      int64
	saved    string  // newest checkpoint
	failures []int64 // runs that failed
	copyOn   string  // worker of a second run at the same time
	copyRun  int64   // its number, 0 for none
	copied   bool    // it had one
}

// step is a step of a job with its tasks. A gang keeps one run, one checkpoint
// and one count of failures for all its tasks, on the first.
type step struct {
	Step
	tasks    []task
	done     int
	failedOn []string          // workers on which a run of it failed
	tickets  map[string]ticket // by worker, of a queue with advice
	denied   map[string]bool   // workers that may not run it
	claim    []string          // workers on which room is being made for a gang or urgent tasks
	moved    bool              // a run of it was moved, as it stood still
	blocked  time.Time         // since when it waits for room, zero when it does not
}

// job is a job with what the leader knows of it.
type job struct {
	Job
	queue    Queue
	steps    []*step
	state    State
	accepted time.Time
	offset   int64 // of its submission
	ended    time.Time
	dirty    bool          // differs from what is stored
	doubt    time.Time     // when it was read, if another VM may have led by then; else zero
	chain    time.Duration // longest chain of its steps
	due      time.Time     // no task starts earlier, zero for a job that runs now
	parent   *job          // of an occurrence
	children []*job        // occurrences of a scheduled job, nil for another
}

func newJob(j Job, offset int64) *job {
	n := &job{Job: j, queue: j.Terms, state: StateQueued, accepted: time.UnixMilli(j.AcceptedMS), offset: offset}
	for _, s := range j.Steps {
		if j.Times > 0 {
			break // its occurrences have the steps
		}
		if s.Fills {
			s.Need.MilliCores = 0 // it uses what others leave
		}
		n.steps = append(n.steps, &step{Step: s, tasks: make([]task, s.Tasks)})
	}
	n.chain = n.longest()
	return n
}

// longest returns the duration of the longest chain of steps by the estimates.
func (j *job) longest() time.Duration {
	ends := make([]time.Duration, len(j.steps))
	var all time.Duration
	for i, s := range j.steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += time.Duration(s.EstimateMS) * time.Millisecond
		all = max(all, ends[i])
	}
	return all
}

// objective returns the time after submission at which the job is late.
func (j *job) objective() time.Duration {
	return time.Duration(float64(j.chain)*j.queue.Stretch) + time.Duration(j.queue.ObjectiveMS)*time.Millisecond
}

// urgent reports whether the job may preempt others.
func (j *job) urgent() bool { return j.queue.Priority == 0 }

// lasts reports whether the job runs until it is cancelled.
func (j *job) lasts() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.Lasts })
}

// open reports whether the steps before s have all succeeded.
func (j *job) open(s *step) bool {
	for _, a := range s.After {
		if j.steps[a].done < len(j.steps[a].tasks) {
			return false
		}
	}
	return true
}

// completed reports whether every task has succeeded.
func (j *job) completed() bool {
	return !slices.ContainsFunc(j.steps, func(s *step) bool { return s.done < len(s.tasks) })
}

// finish marks a task of a step as succeeded; a gang succeeds as one.
func (s *step) finish(index int) {
	if s.Gang {
		for i := range s.tasks {
			s.tasks[i].state = taskDone
		}
		s.done = len(s.tasks)
		return
	}
	if s.tasks[index].state != taskDone {
		s.tasks[index].state = taskDone
		s.done++
	}
}

// lead returns the task that keeps the checkpoint and the failures of task index.
func (s *step) lead(index int) *task {
	if s.Gang {
		return &s.tasks[0]
	}
	return &s.tasks[index]
}

// waiting returns the tasks that need a worker.
func (s *step) waiting() []int {
	var w []int
	for i := range s.tasks {
		if s.tasks[i].state == taskWaiting {
			w = append(w, i)
		}
	}
	return w
}

// fail notes a failed run and returns how many there are of the task or gang.
func (s *step) fail(index int, run int64) int {
	t := s.lead(index)
	if !slices.Contains(t.failures, run) {
		t.failures = append(t.failures, run)
	}
	return len(t.failures)
}
