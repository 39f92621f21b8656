package measurer

import (
	"errors"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

func (r *reducerPolicy) fence(f reducer.Fence) {
	w := r.worker(f.Worker)
	next, err := w.Fence(r.d.Now, leaser.Token{Epoch: f.Epoch, Holder: entryVM})
	if err != nil {
		c := reducer.Command{Kind: reducer.CommandFence, Worker: f.Worker, Epoch: f.Epoch}
		r.deliver(reducer.CommandEnded{Command: c, Result: reducer.CommandFenced, HighestEpoch: w.HighestToken().Epoch, Reason: err.Error()})
		return
	}
	w.Table = next
	r.deliver(reducer.InventoryRead{Epoch: f.Epoch, SentAt: f.SentAt, Inventory: w.Inventory(r.d.Now)})
}

// execute executes a command on its worker and sends the result.
func (r *reducerPolicy) execute(c reducer.Command) {
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
	r.setTable(w, next)
	r.updateJob(c, len(next.Running())-before)
	e := reducer.CommandEnded{Command: c, Result: reducer.CommandDone, HighestEpoch: w.HighestToken().Epoch}
	if err != nil {
		e.Result, e.Reason = reducer.CommandRefused, err.Error()
		var fenced *leaser.FencedError
		if errors.As(err, &fenced) {
			e.Result = reducer.CommandFenced
		}
	}
	r.deliver(e)
}

// updateJob starts a job once all its tasks run, and stops it when a task is stopped.
func (r *reducerPolicy) updateJob(c reducer.Command, more int) {
	id := c.Lease.ID
	g := gangID{job: id.Job, attempt: id.Attempt}
	j := r.jobs[id.Job]
	switch {
	case c.Kind == reducer.CommandStart && more > 0:
		r.started[g] = append(r.started[g], c.Worker)
		if len(r.started[g]) == j.Job.Gang.Tasks && !j.Cancelled {
			r.d.Execute(j, placer.Placement(r.started[g]))
			j.policyAttempt = id.Attempt
		}
	case c.Kind == reducer.CommandStop && more < 0 && j.policyAttempt == id.Attempt:
		r.d.Stop(j)
	}
}

// checkpoint checkpoints the whole gang of a task. The result is sent when the
// checkpoint is stored, or CommandUnreachable after commandTimeout.
func (r *reducerPolicy) checkpoint(c reducer.Command) {
	g := gangID{job: c.Lease.ID.Job, attempt: c.Lease.ID.Attempt}
	j := r.jobs[g.job]
	if _, ok := r.checkpointAt[g]; !ok {
		asked := r.d.Now
		r.checkpointAt[g] = asked.Add(j.CheckpointTime)
		r.d.After(j.CheckpointTime, func() { r.save(j, g, asked, c.Epoch) })
	}
	delay := r.checkpointAt[g].Sub(r.d.Now)
	e := reducer.CommandEnded{Command: c, Result: reducer.CommandDone, HighestEpoch: r.worker(c.Worker).HighestToken().Epoch}
	if delay > commandTimeout {
		delay = commandTimeout
		e.Result = reducer.CommandUnreachable
	}
	r.d.After(delay, func() { r.deliver(e) })
}

// save stops a gang after its checkpoint, if it still runs.
func (r *reducerPolicy) save(j *Job, g gangID, asked time.Time, e leaser.Epoch) {
	if !j.Running || j.policyAttempt != g.attempt {
		return
	}
	r.d.Save(j, asked)
	r.eachTask(j, func(w *simWorker, id leaser.ID) {
		if next, err := w.Checkpoint(r.d.Now, leaser.Token{Epoch: e, Holder: entryVM}, id); err == nil {
			r.setTable(w, next)
		}
	})
}
