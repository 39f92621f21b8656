package measurer

import (
	"errors"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
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

// reduced drives reducer.Reduce as one entry VM, with leaser.Table in the place
// of the workers and a log that answers at once.
type reduced struct {
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
	r := &reduced{}
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

func (r *reduced) begin(d *Driver) {
	*r = reduced{
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

func (r *reduced) submitted(d *Driver, j *Job) {
	r.jobs[j.Job.ID] = j
	r.record(reducer.JobAccepted{Job: j.Job, Accepted: d.Now})
}

func (r *reduced) tick() {
	r.feed(reducer.CaughtUp{Next: r.offset + 1})
	r.feed(reducer.Ticked{})
	r.d.After(tickEvery, r.tick)
}

// record appends a record to the control stream and has it read back.
func (r *reduced) record(rec reducer.Record) {
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

func (r *reduced) feed(e reducer.Event) {
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

func (r *reduced) answer(e reducer.Event) { r.d.After(oneWay, func() { r.feed(e) }) }

func (r *reduced) worker(id string) *table { return r.workers[r.d.where[id]] }

func (r *reduced) fence(f reducer.Fence) {
	w := r.worker(f.Worker)
	next, err := w.Fence(r.d.Now, leaser.Token{Epoch: f.Epoch, Holder: entryVM})
	if err != nil {
		c := reducer.Command{Kind: reducer.CommandFence, Worker: f.Worker, Epoch: f.Epoch}
		r.answer(reducer.CommandEnded{Command: c, Result: reducer.CommandFenced, Seen: w.Seen().Epoch, Reason: err.Error()})
		return
	}
	w.Table = next
	r.answer(reducer.InventoryRead{Epoch: f.Epoch, Asked: f.Asked, Inventory: w.Inventory(r.d.Now)})
}

// obey carries out a command on its worker and answers.
func (r *reduced) obey(c reducer.Command) {
	w := r.worker(c.Worker)
	token := leaser.Token{Epoch: c.Epoch, Holder: entryVM}
	id := c.Lease.ID
	next, err := w.Table, error(nil)
	switch c.Kind {
	case reducer.CommandPrepare:
		next, err = w.Prepare(r.d.Now, token, c.Lease)
	case reducer.CommandStart:
		next, err = w.Start(r.d.Now, token, id)
	case reducer.CommandStop:
		next, err = w.Stop(r.d.Now, token, id)
	case reducer.CommandCheckpoint:
		r.checkpoint(c)
		return
	case reducer.CommandThrottle, reducer.CommandFence:
	}
	before := len(w.Running())
	r.set(w, next)
	r.follow(c, len(next.Running())-before)
	e := reducer.CommandEnded{Command: c, Result: reducer.CommandDone, Seen: w.Seen().Epoch}
	if err != nil {
		e.Result, e.Reason = reducer.CommandRefused, err.Error()
		var fenced *leaser.FencedError
		if errors.As(err, &fenced) {
			e.Result = reducer.CommandFenced
		}
	}
	r.answer(e)
}

// follow starts a job once all its tasks run, and stops it once one was stopped.
func (r *reduced) follow(c reducer.Command, more int) {
	id := c.Lease.ID
	g := gangID{job: id.Job, attempt: id.Attempt}
	j := r.jobs[id.Job]
	switch {
	case c.Kind == reducer.CommandStart && more > 0:
		r.started[g] = append(r.started[g], c.Worker)
		if len(r.started[g]) == j.Job.Gang.Tasks && !j.Cancelled {
			r.d.Execute(j, placer.Placement(r.started[g]))
			j.gang = id.Attempt
		}
	case c.Kind == reducer.CommandStop && more < 0 && j.gang == id.Attempt:
		r.d.Stop(j)
	}
}

// checkpoint lets the whole gang save its work. The answer comes when that is
// done, or not at all.
func (r *reduced) checkpoint(c reducer.Command) {
	g := gangID{job: c.Lease.ID.Job, attempt: c.Lease.ID.Attempt}
	j := r.jobs[g.job]
	if _, ok := r.saved[g]; !ok {
		asked := r.d.Now
		r.saved[g] = asked.Add(j.CheckpointTime)
		r.d.After(j.CheckpointTime, func() { r.save(j, g, asked, c.Epoch) })
	}
	in := r.saved[g].Sub(r.d.Now)
	e := reducer.CommandEnded{Command: c, Result: reducer.CommandDone, Seen: r.worker(c.Worker).Seen().Epoch}
	if in > commandLimit {
		in = commandLimit
		e.Result = reducer.CommandUnreachable
	}
	r.d.After(in, func() { r.answer(e) })
}

// save ends a gang that has saved its work, if it still runs.
func (r *reduced) save(j *Job, g gangID, asked time.Time, e leaser.Epoch) {
	if !j.Running || j.gang != g.attempt {
		return
	}
	r.d.Save(j, asked)
	r.each(j, func(w *table, id leaser.ID) {
		if next, err := w.Checkpoint(r.d.Now, leaser.Token{Epoch: e, Holder: entryVM}, id); err == nil {
			r.set(w, next)
		}
	})
}

// ended lets the tasks of a gang end that ended by itself.
func (r *reduced) ended(d *Driver, j *Job, e End) {
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
func (r *reduced) each(j *Job, do func(w *table, id leaser.ID)) {
	for _, name := range slices.Compact(slices.Sorted(slices.Values(j.Placement))) {
		w := r.worker(name)
		for _, l := range w.Running() {
			if l.ID.Job == j.Job.ID {
				do(w, l.ID)
			}
		}
	}
}

func (r *reduced) set(w *table, next leaser.Table) {
	w.Table = next
	w.changed = true
	r.d.Workers[r.d.where[w.Worker]].Free = next.Free()
}

// poll renews the leases of whole gangs and reports the workers.
func (r *reduced) poll() {
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
