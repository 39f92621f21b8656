// Package runner executes the effects requested by the reducer and posts their
// results as events.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// The limits on concurrent effects.
const (
	maxConcurrentCalls = 256             // goroutines that call workers
	maxPerWorker       = 4               // so that an unresponsive worker or rack cannot occupy all of them
	maxAppends         = 64              // goroutines; each waits until its batch is confirmed
	callTimeout        = 2 * time.Second // of one call to a worker
)

// Runner executes effects on pools of goroutines. Set its fields before Run.
type Runner struct {
	// Append appends a record to the control stream and returns nil once it is
	// confirmed. After an error it may have been appended or not.
	Append func(context.Context, reducer.Record) error
	// Fence raises the epoch on a worker and reads its inventory. The epoch of the
	// result is the highest that the worker has seen, if it answered.
	Fence func(ctx context.Context, worker string, epoch leaser.Epoch) (leaser.Inventory, reducer.CommandEnded)
	// Command sends a command to a worker.
	Command func(context.Context, reducer.Command) reducer.CommandEnded
	// Post passes an event to the reducer.
	Post func(reducer.Event)

	callPool    pond.Pool
	appendPool  pond.Pool
	mu          sync.Mutex
	workerPools map[string]pond.Pool
}

// Run creates the pools and waits until ctx ends and all effects have returned.
func (r *Runner) Run(ctx context.Context) {
	r.Start(ctx)
	<-ctx.Done()
	r.callPool.StopAndWait()
	r.appendPool.StopAndWait()
}

// Start creates the pools. Run calls it; call it directly when no one has to wait
// for the effects.
func (r *Runner) Start(ctx context.Context) {
	r.callPool = pond.NewPool(maxConcurrentCalls, pond.WithContext(ctx))
	r.appendPool = pond.NewPool(maxAppends, pond.WithContext(ctx))
	r.workerPools = map[string]pond.Pool{}
}

// Do submits effects and returns immediately.
func (r *Runner) Do(ctx context.Context, effects []reducer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.AppendRecord:
			r.appendPool.Submit(func() { r.append(ctx, e) })
		case reducer.Fence:
			r.workerPool(e.Worker).Submit(func() { r.fence(ctx, e) })
		case reducer.Command:
			r.workerPool(e.Worker).Submit(func() { r.command(ctx, e) })
		}
	}
}

func (r *Runner) workerPool(id string) pond.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.workerPools[id]
	if !ok {
		p = r.callPool.NewSubpool(maxPerWorker)
		r.workerPools[id] = p
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
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	i, ended := r.Fence(c, e.Worker, e.Epoch)
	if ended.Result == reducer.CommandDone {
		r.Post(reducer.InventoryRead{Epoch: e.Epoch, SentAt: e.SentAt, Inventory: i})
		return
	}
	ended.Command = reducer.Command{Kind: reducer.CommandFence, Worker: e.Worker, Epoch: e.Epoch}
	r.Post(ended)
}

func (r *Runner) command(ctx context.Context, e reducer.Command) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ended := r.Command(c, e)
	ended.Command = e
	r.Post(ended)
}
