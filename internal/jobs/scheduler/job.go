// Package scheduler decides where and when the tasks of multi-step jobs run.
//
// One entry VM at a time passes all events to Reduce in one goroutine and executes
// the returned effects. The package performs no I/O, reads no clock and starts no
// goroutine. State is changed in place: on VMs with a fraction of a core, a copy per
// event would cost more than the decisions.
package scheduler

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/profiler"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/quarantiner"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Step is a set of identical tasks of a job.
type Step struct {
	Tasks          int              `json:"tasks"`
	Need           placer.Resources `json:"need"`                  // of each task
	EstimateMS     int              `json:"estimate-ms,omitempty"` // declared duration of a task, a rough estimate
	After          []int            `json:"after,omitempty"`       // steps that must succeed first
	Checkpoints    bool             `json:"checkpoints,omitempty"` // a stopped task may resume from its checkpoint
	Gang           bool             `json:"gang,omitempty"`        // all tasks run at the same time or none does
	SameRack       bool             `json:"same-rack,omitempty"`   // slower across racks
	PerWorker      int              `json:"per-worker,omitempty"`  // maximum number of tasks on one worker, 0 for no limit
	Label          string           `json:"label,omitempty"`       // required label of a worker
	DataRack       string           `json:"data-rack,omitempty"`   // rack that stores the data
	Speculative    bool             `json:"speculative,omitempty"` // a second copy of a running task is allowed
	LongRunning    bool             `json:"lasts,omitempty"`       // its tasks run until the job is cancelled
	Serving        bool             `json:"serves,omitempty"`      // long-running tasks that answer requests of their own users within TargetMS
	TargetMS       int              `json:"target-ms,omitempty"`   // limit of their tail latency
	Filler         bool             `json:"fills,omitempty"`       // tasks use CPU that others leave idle
	MaxUnavailable int              `json:"may-miss,omitempty"`    // maximum number of long-running tasks that the system may interrupt at a time
}

// Job is a job as its caller submitted it.
type Job struct {
	ID           string `json:"id"`
	Queue        string `json:"queue"`
	Organisation string `json:"organisation"`
	Spec         string `json:"spec"`
	Steps        []Step `json:"steps"`
	AcceptedMS   int64  `json:"accepted-ms"`           // Unix time at which a VM accepted it
	QueueConfig  Queue  `json:"terms"`                 // configuration of its queue at that time
	Times        int    `json:"times,omitempty"`       // occurrences of the steps, 0 for a job that runs once without delay
	FirstMS      int64  `json:"first-ms,omitempty"`    // Unix time of the first occurrence
	IntervalMS   int64  `json:"interval-ms,omitempty"` // between occurrences
}

// Queue is the configuration of a queue of jobs.
type Queue struct {
	Service     string  `json:"service"`          // whose workers run the tasks
	Priority    int     `json:"priority"`         // 0 is urgent and may preempt other jobs
	MaxAttempts int     `json:"max-attempts"`     // failures of a task or gang after which the job fails
	Stretch     float64 `json:"stretch"`          // multiple of the critical path in the objective
	ObjectiveMS int     `json:"objective-ms"`     // constant part of the objective
	Advice      *Advice `json:"advice,omitempty"` // nil if every worker may run the steps
}

// State is the state of a job.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Progress is the part of a job's state that outlives a leader. It is stored before
// the ends that it covers are acknowledged to workers.
type Progress struct {
	State       State              `json:"state"`
	Done        [][]int            `json:"done,omitempty"`     // completed tasks, by step
	Failures    map[string][]int64 `json:"failures,omitempty"` // failed runs, by key of the task or gang
	Checkpoints map[string]string  `json:"saved,omitempty"`    // newest checkpoints, by key of the task or gang
	Abandoned   map[string]int64   `json:"given-up,omitempty"` // highest runs given up without proof of their end, by key of the task, gang or step
	EndedMS     int64              `json:"ended-ms,omitempty"` // Unix time at which the job ended

	Suspicions map[string]quarantiner.Record `json:"suspicions,omitempty"` // crashes of workers under a task, by its key
}

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// taskState is the state of a task.
type taskState int

const (
	taskWaiting taskState = iota
	taskPlaced            // a run of it occupies resources on a worker
	taskDone
)

// task is a task of a step.
type task struct {
	state      taskState
	worker     string
	run        int64
	checkpoint string    // newest one
	savedRun   int64     // run that wrote it, 0 if this leader has not seen that
	savedAt    time.Time // when it was first reported
	abandoned  abandonment
	failures   []int64 // runs that failed
	copyWorker string  // worker of a concurrent second run
	copyRun    int64   // its number, 0 for none
	hadCopy    bool
	suspicion  quarantiner.Record // whether it crashes workers
	apartSince time.Time          // when it first found no worker that suits its suspicion, else zero; of a gang, on its first task

	preemptions int          // how often its runs were stopped for urgent jobs
	requeuedAt  time.Time    // when its last run ended or was lost
	previous    *previousRun // nil if this leader knows of none
}

// step is a step of a job with its tasks. A gang keeps its run, checkpoint, failures and
// abandonment on its first task.
type step struct {
	Step
	tasks          []task
	waiting        int               // number of tasks that need a worker
	succeeded      int               // number of completed tasks
	failedWorkers  []string          // workers on which a run of it failed
	tickets        map[string]ticket // by worker, in a queue with advice
	askedAgainAt   time.Time         // time of the last call for advice that failed or named a worker again, else zero
	deniedWorkers  map[string]bool   // workers that may not run it
	searchFailedAt time.Time         // when a search for runs to stop or to wait for last found none, else zero
	reserved       []string          // workers on which resources are being freed for a gang or urgent tasks
	movedOnce      bool              // a stalled run of it was moved
	dearLogged     bool              // it was logged that stopping runs for it costs too much
	rackFits       bool              // at rackCheckedAt, an empty rack was large enough for it
	rackCheckedAt  time.Time
	fitsIdle       bool // at idleCheckedAt, it would have fitted on idle workers
	idleCheckedAt  time.Time
	blockedSince   time.Time // when it first found too few resources, else zero
	reservedAt     time.Time // when workers were last chosen for reserved
	ampleSince     time.Time // since when there has been ample room for it, else zero
	roomCheckedAt  time.Time // when the room for it was last examined
	wait           wait

	rates   profiler.Comparison // of runs of a step that is no gang, or of the members of one attempt
	ratesOf int64               // run of the gang that the rates belong to
}

// job is a job with the leader's state of it.
type job struct {
	Job
	queue            Queue
	steps            []*step
	state            State
	acceptedAt       time.Time
	inherited        bool // an earlier leader may have started it
	endedAt          time.Time
	dirty            bool          // it has changes that are not stored
	awaitingStore    bool          // its tasks may start only after its progress is stored
	unconfirmedSince time.Time     // when it was read while another VM may have led; else zero
	criticalPath     time.Duration // duration of the longest chain of its steps
	notBefore        time.Time     // earliest start of a task, zero for a job without a delay
	parent           *job          // scheduled job of an occurrence
	occurrences      []*job        // of a scheduled job, else nil
}

func newJob(j Job, inherited bool) *job {
	n := &job{Job: j, queue: j.QueueConfig, state: StateQueued, acceptedAt: time.UnixMilli(j.AcceptedMS), inherited: inherited}
	for _, s := range j.Steps {
		if j.Times > 0 {
			break // its occurrences have the steps
		}
		if s.Filler {
			s.Need.MilliCores = 0 // it uses CPU that others leave idle
		}
		if s.PerWorker > 0 && s.Need == (placer.Resources{}) {
			s.Need.MemoryMB = 1 // the limit per worker is enforced through what tasks need
		}
		n.steps = append(n.steps, &step{Step: s, tasks: make([]task, s.Tasks), waiting: s.Tasks})
	}
	n.criticalPath = n.computeCriticalPath()
	return n
}

// computeCriticalPath returns the duration of the longest chain of steps by the
// estimates.
func (j *job) computeCriticalPath() time.Duration {
	return j.longestChain(func(*step) bool { return true })
}

// longestChain returns the duration of the longest chain of the steps that count.
func (j *job) longestChain(counts func(*step) bool) time.Duration {
	ends := make([]time.Duration, len(j.steps))
	var all time.Duration
	for i, s := range j.steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if counts(s) {
			ends[i] += time.Duration(s.EstimateMS) * time.Millisecond
		}
		all = max(all, ends[i])
	}
	return all
}

// objective returns the time from acceptance to the due completion.
func (j *job) objective() time.Duration {
	return time.Duration(float64(j.criticalPath)*j.queue.Stretch) + time.Duration(j.queue.ObjectiveMS)*time.Millisecond
}

// urgent reports whether the job may preempt others.
func (j *job) urgent() bool { return j.queue.Priority == 0 }

// runsUntilCancelled reports whether the job runs until it is cancelled.
func (j *job) runsUntilCancelled() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.LongRunning })
}

// ready reports whether all steps that s depends on have succeeded.
func (j *job) ready(s *step) bool {
	for _, a := range s.After {
		if j.steps[a].succeeded < len(j.steps[a].tasks) {
			return false
		}
	}
	return true
}

// completed reports whether all tasks have succeeded.
func (j *job) completed() bool {
	return !slices.ContainsFunc(j.steps, func(s *step) bool { return s.succeeded < len(s.tasks) })
}

// setState sets the state of a task.
func (s *step) setState(index int, to taskState) {
	t := &s.tasks[index]
	s.count(t.state, -1)
	s.count(to, 1)
	t.state = to
}

func (s *step) count(v taskState, n int) {
	switch v {
	case taskWaiting:
		s.waiting += n
	case taskDone:
		s.succeeded += n
	case taskPlaced:
	}
}

// markDone marks a task, or its whole gang, as succeeded.
func (s *step) markDone(index int) {
	if !s.Gang {
		s.setState(index, taskDone)
		return
	}
	for i := range s.tasks {
		s.setState(i, taskDone)
	}
}

// primary returns the task that keeps the checkpoint and failures of a task: the
// first one of a gang.
func (s *step) primary(index int) *task {
	if s.Gang {
		return &s.tasks[0]
	}
	return &s.tasks[index]
}

// waitingTasks returns the indices of the tasks that need a worker.
func (s *step) waitingTasks() []int {
	if s.waiting == 0 {
		return nil
	}
	w := make([]int, 0, s.waiting)
	for i := range s.tasks {
		if s.tasks[i].state == taskWaiting {
			w = append(w, i)
		}
	}
	return w
}

// recordFailure records a failed run and returns the number of failures of the task
// or gang.
func (s *step) recordFailure(index int, run int64) int {
	t := s.primary(index)
	if !slices.Contains(t.failures, run) {
		t.failures = append(t.failures, run)
	}
	return len(t.failures)
}
