package measurer

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Policy decides which jobs run where. Its functions are called in virtual time
// and start and stop jobs through the driver.
type Policy struct {
	Name      string
	Begin     func(d *Driver)
	Submitted func(d *Driver, j *Job)
	Cancelled func(d *Driver, j *Job)
	Ended     func(d *Driver, j *Job, e End) // called after its resources are released
}

// End is the outcome of one attempt of a job.
type End string

// The outcomes of an attempt.
const (
	EndSucceeded End = "succeeded"
	EndFailed    End = "failed"  // on a bad worker
	EndStopped   End = "stopped" // by the policy; the job is to be run again
)

// Job is the state of a job of the trace under a policy.
type Job struct {
	Arrival
	Started       time.Time     // of the running attempt
	Waited        time.Duration // from submission to first start
	Finished      time.Time     // zero until it succeeds
	Placement     placer.Placement
	Running       bool
	Cancelled     bool
	Abandoned     bool    // ended by the policy without success
	Lost          float64 // work, in accelerator-seconds
	LostToStops   float64 // part of Lost due to stops by the policy
	attempts      int
	checkpointed  time.Duration // run time saved in its last checkpoint
	hasStarted    bool
	external      bool // the policy allocates and releases its resources
	policyAttempt int  // attempt number that the policy assigned
}

const (
	checkpointInterval = 10 * time.Minute // of periodic checkpoints of checkpointable jobs
	failDelay          = 5 * time.Second  // from start to failure on a bad worker
	horizon            = 72 * time.Hour   // virtual time limit; later jobs count as unfinished
)

// Driver simulates one trace under one policy.
type Driver struct {
	Trace       *Trace
	Now         time.Time
	Workers     []placer.Worker // by id
	Jobs        []*Job          // in order of arrival
	policy      Policy
	events      eventQueue
	seq         int
	unfinished  int // jobs that have not ended
	workerIndex map[string]int
	sums        sampleSums
	settled     bool // as isSettled returned
}

// Run simulates a trace under a policy until every job has ended.
func Run(t *Trace, p Policy) Result {
	d := &Driver{
		Trace:       t,
		Now:         t.From,
		Workers:     append([]placer.Worker(nil), t.Workers...),
		policy:      p,
		workerIndex: make(map[string]int),
		unfinished:  len(t.Arrivals),
	}
	for i, w := range t.Workers {
		d.workerIndex[w.ID] = i
	}
	if p.Begin != nil {
		p.Begin(d)
	}
	for _, a := range t.Arrivals {
		d.addJob(&Job{Arrival: a})
	}
	d.sample()
	end := t.From.Add(horizon)
	for len(d.events) > 0 && d.unfinished > 0 && d.Now.Before(end) {
		e := heap.Pop(&d.events).(event) //nolint:errcheck,forcetypeassert // the queue holds only events
		d.Now = e.at
		e.do()
		if d.settled {
			d.finishAll()
		}
	}
	return d.result()
}

// After schedules do to run after a delay.
func (d *Driver) After(delay time.Duration, do func()) {
	d.seq++
	heap.Push(&d.events, event{at: d.Now.Add(delay), seq: d.seq, do: do})
}

func (d *Driver) addJob(j *Job) {
	d.Jobs = append(d.Jobs, j)
	d.After(j.At.Sub(d.Now), func() { d.policy.Submitted(d, j) })
	if !j.CancelAt.IsZero() {
		d.After(j.CancelAt.Sub(d.Now), func() { d.cancel(j) })
	}
}

func (d *Driver) cancel(j *Job) {
	if !j.Finished.IsZero() {
		return
	}
	j.Cancelled = true
	d.unfinished--
	if j.Running {
		d.release(j)
	}
	d.policy.Cancelled(d, j)
}

// Start starts a waiting job. It reports false, and does nothing, if the job
// cannot be started or the placement has too few free resources.
func (d *Driver) Start(j *Job, p placer.Placement) bool {
	if j.Running || j.Cancelled || !d.fits(j, p) {
		return false
	}
	for _, w := range p {
		d.AddFree(w, placer.Resources{}.Minus(j.Job.Gang.PerTask))
	}
	d.execute(j, p)
	return true
}

// Execute starts a job on resources that the policy allocates and releases.
func (d *Driver) Execute(j *Job, p placer.Placement) {
	j.external = true
	d.execute(j, p)
}

func (d *Driver) execute(j *Job, p placer.Placement) {
	j.Running = true
	j.Started = d.Now
	j.Placement = p
	j.attempts++
	if !j.hasStarted {
		j.hasStarted = true
		j.Waited = d.Now.Sub(j.At)
	}
	attempt := j.attempts
	delay, end := j.Run-j.checkpointed, EndSucceeded
	for _, w := range p {
		if d.Trace.BadWorkers[w] {
			delay, end = min(delay, failDelay), EndFailed
		}
	}
	d.After(delay, func() {
		if j.Running && j.attempts == attempt {
			d.finish(j, end)
		}
	})
}

// isSettled reports whether the policy has no decisions left: all jobs have
// arrived, and those that have not ended run on healthy workers.
func (d *Driver) isSettled() bool {
	if d.Now.Before(d.Trace.To) {
		return false
	}
	return !slices.ContainsFunc(d.Jobs, func(j *Job) bool {
		bad := slices.ContainsFunc(j.Placement, func(w string) bool { return d.Trace.BadWorkers[w] })
		return j.At.After(d.Now) || j.isWaiting(d.Now) || j.Running && bad
	})
}

// finishAll completes the running jobs at their expected ends.
func (d *Driver) finishAll() {
	for _, j := range d.Jobs {
		if j.Running {
			j.Running = false
			j.Finished = j.Started.Add(j.Run - j.checkpointed)
			d.unfinished--
		}
	}
}

func (d *Driver) finish(j *Job, e End) {
	if e == EndSucceeded {
		j.Finished = d.Now
		d.unfinished--
	} else {
		d.recordLoss(j, false)
	}
	d.release(j)
	d.policy.Ended(d, j, e)
}

// AddFree adds r, which may be negative, to the free resources of a worker.
func (d *Driver) AddFree(worker string, r placer.Resources) {
	w := &d.Workers[d.workerIndex[worker]]
	w.Free = w.Free.Plus(r)
}

func (d *Driver) release(j *Job) {
	j.Running = false
	if j.external {
		return
	}
	for _, w := range j.Placement {
		d.AddFree(w, j.Job.Gang.PerTask)
	}
}

func (d *Driver) fits(j *Job, p placer.Placement) bool {
	need := make(map[string]placer.Resources)
	for _, w := range p {
		need[w] = need[w].Plus(j.Job.Gang.PerTask)
		if !need[w].Fits(d.Workers[d.workerIndex[w]].Free) {
			return false
		}
	}
	return len(p) == j.Job.Gang.Tasks
}
