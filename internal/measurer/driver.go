package measurer

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Policy decides which jobs run where. The functions are called in virtual time
// and act on the driver.
type Policy struct {
	Name      string
	Begin     func(d *Driver)
	Submitted func(d *Driver, j *Job)
	Cancelled func(d *Driver, j *Job)
	Ended     func(d *Driver, j *Job, e End) // its resources are free again
}

// End is how one attempt of a job ended.
type End string

// The ends of an attempt.
const (
	EndSucceeded End = "succeeded"
	EndFailed    End = "failed"  // a worker failed it
	EndStopped   End = "stopped" // by the policy; it is to be run again
)

// Job is a job of the trace as it fares under a policy.
type Job struct {
	Arrival
	Started   time.Time // of the attempt that runs
	Waited    time.Duration
	Finished  time.Time // zero until it succeeds
	Placement placer.Placement
	Running   bool
	Cancelled bool
	Abandoned bool    // by the policy
	Lost      float64 // accelerator-seconds
	LostStop  float64 // of these, those lost to stops by the policy
	attempts  int
	done      time.Duration // run time that is kept in its last checkpoint
	begun     bool
	external  bool // the policy holds and frees its resources
	gang      int  // attempt by the policy's own count
}

const (
	checkpointEvery = 10 * time.Minute // how often a job that can checkpoint does so by itself
	failAfter       = 5 * time.Second  // how long a bad worker takes to fail a task
	horizon         = 72 * time.Hour   // a job that is unfinished by then never finishes
)

// Driver feeds one trace to one policy.
type Driver struct {
	Trace   *Trace
	Now     time.Time
	Workers []placer.Worker // by id
	Jobs    []*Job          // by arrival
	policy  Policy
	agenda  agenda
	number  int
	open    int // jobs that have not ended
	where   map[string]int
	account account
	settled bool // nothing is left to decide
}

// Run feeds a trace to a policy until every job has ended.
func Run(t *Trace, p Policy) Result {
	d := &Driver{
		Trace:   t,
		Now:     t.From,
		Workers: append([]placer.Worker(nil), t.Workers...),
		policy:  p,
		where:   make(map[string]int),
		open:    len(t.Arrivals),
	}
	for i, w := range t.Workers {
		d.where[w.ID] = i
	}
	if p.Begin != nil {
		p.Begin(d)
	}
	for _, a := range t.Arrivals {
		d.schedule(&Job{Arrival: a})
	}
	d.sample()
	end := t.From.Add(horizon)
	for len(d.agenda) > 0 && d.open > 0 && d.Now.Before(end) {
		e := heap.Pop(&d.agenda).(entry) //nolint:errcheck,forcetypeassert // the agenda holds nothing else
		d.Now = e.at
		e.do()
		if d.settled {
			d.finishAll()
		}
	}
	return d.result()
}

// After runs do once d has passed.
func (d *Driver) After(in time.Duration, do func()) {
	d.number++
	heap.Push(&d.agenda, entry{at: d.Now.Add(in), number: d.number, do: do})
}

func (d *Driver) schedule(j *Job) {
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
	d.open--
	if j.Running {
		d.release(j)
	}
	d.policy.Cancelled(d, j)
}

// Start starts a job that waits. It reports false, and does nothing, when the
// placement is not free.
func (d *Driver) Start(j *Job, p placer.Placement) bool {
	if j.Running || j.Cancelled || !d.fits(j, p) {
		return false
	}
	for _, w := range p {
		d.Give(w, placer.Resources{}.Minus(j.Job.Gang.PerTask))
	}
	d.execute(j, p)
	return true
}

// Execute starts a job on resources that the policy holds and frees by itself.
func (d *Driver) Execute(j *Job, p placer.Placement) {
	j.external = true
	d.execute(j, p)
}

func (d *Driver) execute(j *Job, p placer.Placement) {
	j.Running = true
	j.Started = d.Now
	j.Placement = p
	j.attempts++
	if !j.begun {
		j.begun = true
		j.Waited = d.Now.Sub(j.At)
	}
	attempt := j.attempts
	in, end := j.Run-j.done, EndSucceeded
	for _, w := range p {
		if d.Trace.Bad[w] {
			in, end = min(in, failAfter), EndFailed
		}
	}
	d.After(in, func() {
		if j.Running && j.attempts == attempt {
			d.finish(j, end)
		}
	})
}

// isSettled reports whether nothing is left to decide: all jobs have arrived,
// and those that have not ended run on sound workers.
func (d *Driver) isSettled() bool {
	if d.Now.Before(d.Trace.To) {
		return false
	}
	return !slices.ContainsFunc(d.Jobs, func(j *Job) bool {
		bad := slices.ContainsFunc(j.Placement, func(w string) bool { return d.Trace.Bad[w] })
		return j.At.After(d.Now) || j.waits(d.Now) || j.Running && bad
	})
}

// finishAll lets the jobs that run end as they would.
func (d *Driver) finishAll() {
	for _, j := range d.Jobs {
		if j.Running {
			j.Running = false
			j.Finished = j.Started.Add(j.Run - j.done)
			d.open--
		}
	}
}

func (d *Driver) finish(j *Job, e End) {
	if e == EndSucceeded {
		j.Finished = d.Now
		d.open--
	} else {
		d.lose(j, false)
	}
	d.release(j)
	d.policy.Ended(d, j, e)
}

// Give adds to the free resources of a worker.
func (d *Driver) Give(worker string, r placer.Resources) {
	w := &d.Workers[d.where[worker]]
	w.Free = w.Free.Plus(r)
}

func (d *Driver) release(j *Job) {
	j.Running = false
	if j.external {
		return
	}
	for _, w := range j.Placement {
		d.Give(w, j.Job.Gang.PerTask)
	}
}

func (d *Driver) fits(j *Job, p placer.Placement) bool {
	need := make(map[string]placer.Resources)
	for _, w := range p {
		need[w] = need[w].Plus(j.Job.Gang.PerTask)
		if !need[w].Fits(d.Workers[d.where[w]].Free) {
			return false
		}
	}
	return len(p) == j.Job.Gang.Tasks
}
