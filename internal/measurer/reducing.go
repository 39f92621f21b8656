package measurer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

const (
	entryVM        = "vm-1"
	oneWayDelay    = 2 * time.Millisecond // between an entry VM and a worker
	appendDelay    = 5 * time.Millisecond // of the log
	commandTimeout = 2 * time.Second      // after which a command is reported as unreachable
	tickInterval   = 250 * time.Millisecond
	pollInterval   = time.Second
	reportInterval = 3 * time.Second // of an unchanged worker
)

// reducerPolicy runs reducer.Reduce as the only entry VM, with a leaser.Table for
// each worker and a log that is always available.
type reducerPolicy struct {
	d            *Driver
	state        reducer.State
	offset       int64
	workers      []*simWorker // by id
	jobs         map[string]*Job
	started      map[gangID][]string  // workers of the running tasks
	checkpointAt map[gangID]time.Time // when the requested checkpoint is stored
}

// gangID identifies one attempt of a job.
type gangID struct {
	job     string
	attempt int
}

// simWorker is a simulated worker and the state of its reports.
type simWorker struct {
	leaser.Table

	changed  bool
	reported time.Time
}

// Reducer returns the policy of lacewingdoor itself: reducer.Reduce with leases,
// two-phase gang starts and delayed reports.
func Reducer() Policy {
	r := &reducerPolicy{}
	return Policy{
		Name:      "lacewingdoor",
		Begin:     r.begin,
		Submitted: r.submitted,
		Cancelled: func(_ *Driver, j *Job) {
			r.appendRecord(reducer.JobCancelled{Job: j.Job.ID, Organisation: j.Job.Organisation})
		},
		Ended: r.ended,
	}
}

func (r *reducerPolicy) begin(d *Driver) {
	*r = reducerPolicy{
		d:            d,
		state:        reducer.New(entryVM),
		jobs:         make(map[string]*Job),
		started:      make(map[gangID][]string),
		checkpointAt: make(map[gangID]time.Time),
	}
	var listed []reducer.WorkerListed
	for _, w := range d.Workers {
		r.workers = append(r.workers, &simWorker{
			Table: leaser.Table{Worker: w.ID, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity},
		})
		listed = append(listed, reducer.WorkerListed{ID: w.ID, Rack: w.Rack, Zone: w.Zone})
	}
	r.apply(reducer.ConfigChanged{Config: d.Trace.Config})
	r.apply(reducer.PeersChanged{Live: []string{entryVM}})
	r.apply(reducer.WorkersListed{Workers: listed})
	r.tick()
	r.poll()
}

func (r *reducerPolicy) submitted(d *Driver, j *Job) {
	r.jobs[j.Job.ID] = j
	r.appendRecord(reducer.JobAccepted{Job: j.Job, Accepted: d.Now})
}

func (r *reducerPolicy) tick() {
	r.apply(reducer.CaughtUp{Next: r.offset + 1})
	r.apply(reducer.Ticked{})
	r.d.After(tickInterval, r.tick)
}

// appendRecord appends a record to the control stream and reads it back.
func (r *reducerPolicy) appendRecord(rec reducer.Record) {
	r.d.After(appendDelay, func() {
		r.offset++
		r.apply(reducer.RecordRead{Offset: r.offset, Appended: r.d.Now, Record: rec})
		r.apply(reducer.CaughtUp{Next: r.offset + 1})
		r.apply(reducer.AppendEnded{Record: rec})
	})
	if e, ok := rec.(reducer.JobEnded); ok && e.Outcome != reducer.OutcomeSucceeded {
		r.d.Abandon(r.jobs[e.Job])
	}
}

func (r *reducerPolicy) apply(e reducer.Event) {
	s, effects := reducer.Reduce(r.d.Now, r.state, e)
	r.state = s
	for _, f := range effects {
		switch f := f.(type) {
		case reducer.AppendRecord:
			r.appendRecord(f.Record)
		case reducer.Fence:
			r.d.After(oneWayDelay, func() { r.fence(f) })
		case reducer.Command:
			r.d.After(oneWayDelay, func() { r.execute(f) })
		}
	}
}

func (r *reducerPolicy) deliver(e reducer.Event) { r.d.After(oneWayDelay, func() { r.apply(e) }) }

func (r *reducerPolicy) worker(id string) *simWorker { return r.workers[r.d.workerIndex[id]] }

// ended ends the tasks of a gang that succeeded or failed.
func (r *reducerPolicy) ended(d *Driver, j *Job, e End) {
	if e == EndStopped {
		return
	}
	r.eachTask(j, func(w *simWorker, id leaser.ID) {
		s := leaser.StateSucceeded
		if e == EndFailed {
			s = leaser.StateFailed
			if !d.Trace.BadWorkers[w.Worker] {
				return // the reducer stops it when the failure is reported
			}
		}
		if next, err := w.End(d.Now, id, s, "by itself"); err == nil {
			r.setTable(w, next)
		}
	})
}

// eachTask calls do for each running task of a job's current attempt.
func (r *reducerPolicy) eachTask(j *Job, do func(w *simWorker, id leaser.ID)) {
	for _, name := range slices.Compact(slices.Sorted(slices.Values(j.Placement))) {
		w := r.worker(name)
		for _, l := range w.Running() {
			if l.ID.Job == j.Job.ID {
				do(w, l.ID)
			}
		}
	}
}

func (r *reducerPolicy) setTable(w *simWorker, next leaser.Table) {
	w.Table = next
	w.changed = true
	r.d.Workers[r.d.workerIndex[w.Worker]].Free = next.Free()
}

// poll renews the leases of gangs that run completely and reports the workers.
func (r *reducerPolicy) poll() {
	now := r.d.Now
	for _, w := range r.workers {
		if !w.changed && now.Sub(w.reported) < reportInterval {
			continue
		}
		var renewable []leaser.ID
		for _, l := range w.Running() {
			if r.jobs[l.ID.Job].Running {
				renewable = append(renewable, l.ID)
			}
		}
		w.Table = w.Renew(now, leaser.TTL, renewable)
		i := w.Inventory(now)
		w.Table = w.Acknowledge(now, leaser.Acknowledgements(i, r.state.AttemptEnded))
		r.d.Workers[r.d.workerIndex[w.Worker]].Free = w.Free()
		w.changed, w.reported = false, now
		r.deliver(reducer.WorkerReported{Inventory: i, Age: oneWayDelay})
	}
	r.d.After(pollInterval, r.poll)
}
