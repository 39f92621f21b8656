// Package runner carries out the effects that the reducer asks for, and brings
// their results back as events.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// The limits on effects under way.
const (
	maxEffects   = 256             // goroutines in all
	maxPerWorker = 4               // so that a frozen worker or rack cannot hold them all
	maxAppends   = 64              // each waits for its batch to be confirmed
	deadline     = 2 * time.Second // of one call to a worker
)

// Runner carries out effects on a pool of goroutines. Its fields are set before Run.
type Runner struct {
	// Append appends a record to the control stream and returns once it is
	// confirmed, or with an error when that is uncertain.
	Append func(context.Context, reducer.Record) error
	// Fence raises the epoch on a worker and reads its inventory. The epoch is the
	// highest that the worker has seen, when it answered.
	Fence func(ctx context.Context, worker string, epoch leaser.Epoch) (leaser.Inventory, reducer.CommandEnded)
	// Command sends a command to a worker.
	Command func(context.Context, reducer.Command) reducer.CommandEnded
	// Post brings an event back to the reducer.
	Post func(reducer.Event)

	pool    pond.Pool
	appends pond.Pool
	mu      sync.Mutex
	workers map[string]pond.Pool
}

// Run makes the pools, and waits until ctx ends and all effects have returned.
func (r *Runner) Run(ctx context.Context) {
	r.Start(ctx)
	<-ctx.Done()
	r.pool.StopAndWait()
	r.appends.StopAndWait()
}

// Start makes the pools. Run calls it; call it alone when the pools need not be
// waited for.
func (r *Runner) Start(ctx context.Context) {
	r.pool = pond.NewPool(maxEffects, pond.WithContext(ctx))
	r.appends = pond.NewPool(maxAppends, pond.WithContext(ctx))
	r.workers = map[string]pond.Pool{}
}

// Do hands over effects and returns at once.
func (r *Runner) Do(ctx context.Context, effects []reducer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.AppendRecord:
			r.appends.Submit(func() { r.append(ctx, e) })
		case reducer.Fence:
			r.worker(e.Worker).Submit(func() { r.fence(ctx, e) })
		case reducer.Command:
			r.worker(e.Worker).Submit(func() { r.command(ctx, e) })
		}
	}
}

func (r *Runner) worker(id string) pond.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.workers[id]
	if !ok {
		p = r.pool.NewSubpool(maxPerWorker)
		r.workers[id] = p
	}
	return p
}

func (r *Runner) append(ctx context.Context, e reducer.AppendRecord) {
	a := reducer.AppendEnded{Record: e.Record}
	if err := r.Append(ctx, e.Record); err != nil {
		a.Err = err.Error()
	}
	r.Post(a)
}

func (r *Runner) fence(ctx context.Context, e reducer.Fence) {
	c, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	i, end := r.Fence(c, e.Worker, e.Epoch)
	if end.Result == reducer.CommandDone {
		r.Post(reducer.InventoryRead{Epoch: e.Epoch, Asked: e.Asked, Inventory: i})
		return
	}
	end.Command = reducer.Command{Kind: reducer.CommandFence, Worker: e.Worker, Epoch: e.Epoch}
	r.Post(end)
}

func (r *Runner) command(ctx context.Context, e reducer.Command) {
	c, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	end := r.Command(c, e)
	end.Command = e
	r.Post(end)
}
