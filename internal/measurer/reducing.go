package measurer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

const (
	entryVM      = "vm-1"
	oneWay       = 2 * time.Millisecond // between an entry VM and a worker
	appendTime   = 5 * time.Millisecond // of the log
	commandLimit = 2 * time.Second      // after which a command counts as unanswered
	tickEvery    = 250 * time.Millisecond
	pollEvery    = time.Second
	reportEvery  = 3 * time.Second // of a worker on which nothing changed
)

// reducing drives reducer.Reduce as one entry VM, with leaser.Table in the place
// of the workers and a log that answers at once.
type reducing struct {
	d       *Driver
	state   reducer.State
	offset  int64
	workers []*table // by id
	jobs    map[string]*Job
	started map[gangID][]string  // workers of the tasks that run
	saved   map[gangID]time.Time // when the checkpoint that was asked for is stored
}

// gangID names one attempt of a job.
type gangID struct {
	job     string
	attempt int
}

// table is a worker and when it last reported.
type table struct {
	leaser.Table

	changed  bool
	reported time.Time
}

// Reducer returns the policy that lacewingdoor runs: reducer.Reduce with its
// leases, its gangs in two phases and its lagging reports.
func Reducer() Policy {
	r := &reducing{}
	return Policy{
		Name:      "lacewingdoor",
		Begin:     r.begin,
		Submitted: r.submitted,
		Cancelled: func(_ *Driver, j *Job) {
			r.record(reducer.JobCancelled{Job: j.Job.ID, Organisation: j.Job.Organisation})
		},
		Ended: r.ended,
	}
}

func (r *reducing) begin(d *Driver) {
	*r = reducing{
		d:       d,
		state:   reducer.New(entryVM),
		jobs:    make(map[string]*Job),
		started: make(map[gangID][]string),
		saved:   make(map[gangID]time.Time),
	}
	var listed []reducer.WorkerListed
	for _, w := range d.Workers {
		r.workers = append(r.workers, &table{
			Table: leaser.Table{Worker: w.ID, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity},
		})
		listed = append(listed, reducer.WorkerListed{ID: w.ID, Rack: w.Rack, Zone: w.Zone})
	}
	r.feed(reducer.ConfigChanged{Config: d.Trace.Config})
	r.feed(reducer.PeersChanged{Live: []string{entryVM}})
	r.feed(reducer.WorkersListed{Workers: listed})
	r.tick()
	r.poll()
}

func (r *reducing) submitted(d *Driver, j *Job) {
	r.jobs[j.Job.ID] = j
	r.record(reducer.JobAccepted{Job: j.Job, Accepted: d.Now})
}

func (r *reducing) tick() {
	r.feed(reducer.CaughtUp{Next: r.offset + 1})
	r.feed(reducer.Ticked{})
	r.d.After(tickEvery, r.tick)
}

// record appends a record to the control stream and has it read back.
func (r *reducing) record(rec reducer.Record) {
	r.d.After(appendTime, func() {
		r.offset++
		r.feed(reducer.RecordRead{Offset: r.offset, Appended: r.d.Now, Record: rec})
		r.feed(reducer.CaughtUp{Next: r.offset + 1})
		r.feed(reducer.AppendEnded{Record: rec})
	})
	if e, ok := rec.(reducer.JobEnded); ok && e.Outcome != reducer.OutcomeSucceeded {
		r.d.Abandon(r.jobs[e.Job])
	}
}

func (r *reducing) feed(e reducer.Event) {
	s, effects := reducer.Reduce(r.d.Now, r.state, e)
	r.state = s
	for _, f := range effects {
		switch f := f.(type) {
		case reducer.AppendRecord:
			r.record(f.Record)
		case reducer.Fence:
			r.d.After(oneWay, func() { r.fence(f) })
		case reducer.Command:
			r.d.After(oneWay, func() { r.obey(f) })
		}
	}
}

func (r *reducing) answer(e reducer.Event) { r.d.After(oneWay, func() { r.feed(e) }) }

func (r *reducing) worker(id string) *table { return r.workers[r.d.where[id]] }

// ended lets the tasks of a gang end that ended by itself.
func (r *reducing) ended(d *Driver, j *Job, e End) {
	if e == EndStopped {
		return
	}
	r.each(j, func(w *table, id leaser.ID) {
		s := leaser.StateSucceeded
		if e == EndFailed {
			s = leaser.StateFailed
			if !d.Trace.Bad[w.Worker] {
				return // stopped when the failure is seen
			}
		}
		if next, err := w.End(d.Now, id, s, "by itself"); err == nil {
			r.set(w, next)
		}
	})
}

// each calls do for every task of a job's present attempt that runs.
func (r *reducing) each(j *Job, do func(w *table, id leaser.ID)) {
	for _, name := range slices.Compact(slices.Sorted(slices.Values(j.Placement))) {
		w := r.worker(name)
		for _, l := range w.Running() {
			if l.ID.Job == j.Job.ID {
				do(w, l.ID)
			}
		}
	}
}

func (r *reducing) set(w *table, next leaser.Table) {
	w.Table = next
	w.changed = true
	r.d.Workers[r.d.where[w.Worker]].Free = next.Free()
}

// poll renews the leases of whole gangs and reports the workers.
func (r *reducing) poll() {
	now := r.d.Now
	for _, w := range r.workers {
		if !w.changed && now.Sub(w.reported) < reportEvery {
			continue
		}
		var whole []leaser.ID
		for _, l := range w.Running() {
			if r.jobs[l.ID.Job].Running {
				whole = append(whole, l.ID)
			}
		}
		w.Table = w.Renew(now, leaser.TTL, whole)
		i := w.Inventory(now)
		w.Table = w.Acknowledge(now, leaser.Acknowledgements(i, r.state.Over))
		r.d.Workers[r.d.where[w.Worker]].Free = w.Free()
		w.changed, w.reported = false, now
		r.answer(reducer.WorkerReported{Inventory: i, Age: oneWay})
	}
	r.d.After(pollEvery, r.poll)
}
