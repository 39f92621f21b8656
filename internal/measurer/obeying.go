package measurer

import (
	"errors"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

func (r *reducing) fence(f reducer.Fence) {
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
func (r *reducing) obey(c reducer.Command) {
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
func (r *reducing) follow(c reducer.Command, more int) {
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
func (r *reducing) checkpoint(c reducer.Command) {
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
func (r *reducing) save(j *Job, g gangID, asked time.Time, e leaser.Epoch) {
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
