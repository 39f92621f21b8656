// Package commander runs the scheduler on the leader: it delivers events to the
// scheduler and executes the effects that the scheduler returns.
package commander

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

const (
	tickInterval = 100 * time.Millisecond // the scheduler's deadlines are a few hundred milliseconds
	queueSize    = 1024                   // events; Post blocks while the queue is full
	maxCalls     = 1024                   // concurrent effects: a long poll to each of a few hundred workers, and commands
)

// ErrLeadershipLost says that another VM has become the leader.
var ErrLeadershipLost = errors.New("another VM has become the leader")

// Commander executes the scheduler's effects. Its exported fields are set before Lead is
// called.
type Commander struct {
	Hold            func(context.Context, scheduler.Hold) scheduler.HoldResult
	Start           func(context.Context, scheduler.Start) scheduler.StartResult
	Stop            func(context.Context, scheduler.Stop) scheduler.StopResult
	Pace            func(context.Context, scheduler.Pace) scheduler.PaceResult
	Advise          func(context.Context, scheduler.Advise) scheduler.AdviceResult
	ListMachines    func(context.Context) scheduler.MachinesListed
	BeginUpkeep     func(context.Context, scheduler.BeginUpkeep) scheduler.UpkeepResult
	MoveMachine     func(context.Context, scheduler.MoveMachine) scheduler.MoveResult
	StoreWave       func(context.Context, scheduler.StoreWave)
	StoreLoans      func(context.Context, scheduler.StoreLoans)
	StoreProgress   func(context.Context, map[string]scheduler.Progress) error // retries until it succeeds; an error may wrap ErrLeadershipLost
	DeleteJobs      func(ctx context.Context, jobs []string)
	LogDecision     func(scheduler.Decision)
	ObserveDuration func(event string, d time.Duration) // called with the durations of decisions and starts
	Now             func() time.Time

	mu      sync.Mutex
	current *leadership
}

// leadership is one term of this VM as the leader.
type leadership struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	events chan scheduler.Event
}

// Post queues an event for the scheduler. It drops the event if this VM is not the leader.
func (c *Commander) Post(e scheduler.Event) {
	c.mu.Lock()
	l := c.current
	c.mu.Unlock()
	if l != nil {
		l.post(e)
	}
}

func (l *leadership) post(e scheduler.Event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// Lead runs the scheduler until the context ends, or until a worker or the store reports
// a newer leader. initial returns the first events; it is called once Post accepts events.
func (c *Commander) Lead(ctx context.Context, s *scheduler.Scheduler, initial func() []scheduler.Event) error {
	x, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l := &leadership{ctx: x, cancel: cancel, events: make(chan scheduler.Event, queueSize)}
	c.mu.Lock()
	c.current = l
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.current = nil
		c.mu.Unlock()
	}()
	pool := pond.NewPool(maxCalls)
	defer pool.Stop()
	c.process(l, pool, s, initial())
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return context.Cause(x)
		case e := <-l.events:
			c.process(l, pool, s, l.batch(e))
		case <-t.C:
			c.process(l, pool, s, l.batch(scheduler.Ticked{}))
		}
	}
}

// batch returns an event together with all queued events.
func (l *leadership) batch(e scheduler.Event) []scheduler.Event {
	all := []scheduler.Event{e}
	for {
		select {
		case n := <-l.events:
			all = append(all, n)
		default:
			return all
		}
	}
}

func (c *Commander) process(l *leadership, pool pond.Pool, s *scheduler.Scheduler, events []scheduler.Event) {
	began := c.Now()
	effects := s.Reduce(began, events...)
	c.ObserveDuration("decision", c.Now().Sub(began))
	for _, f := range effects {
		if n, ok := f.(scheduler.Decision); ok {
			c.LogDecision(n)
			continue
		}
		pool.Submit(func() { c.execute(l, f) })
	}
}

// execute executes one effect and posts its result.
func (c *Commander) execute(l *leadership, f scheduler.Effect) {
	switch f := f.(type) {
	case scheduler.Hold:
		e := c.Hold(l.ctx, f.At(c.Now()))
		l.postResult(e, e.Outcome)
	case scheduler.Start:
		began := c.Now()
		e := c.Start(l.ctx, f)
		c.ObserveDuration("start", c.Now().Sub(began))
		l.postResult(e, e.Outcome)
	case scheduler.Stop:
		e := c.Stop(l.ctx, f)
		l.postResult(e, e.Outcome)
	case scheduler.Pace:
		e := c.Pace(l.ctx, f)
		l.postResult(e, e.Outcome)
	case scheduler.Advise:
		l.post(c.Advise(l.ctx, f))
	case scheduler.ListMachines:
		l.post(c.ListMachines(l.ctx))
	case scheduler.BeginUpkeep:
		e := c.BeginUpkeep(l.ctx, f)
		l.postResult(e, e.Outcome)
	case scheduler.MoveMachine:
		e := c.MoveMachine(l.ctx, f)
		l.postResult(e, e.Outcome)
	case scheduler.StoreWave:
		c.StoreWave(l.ctx, f)
	case scheduler.StoreLoans:
		c.StoreLoans(l.ctx, f)
	case scheduler.Store:
		if err := c.StoreProgress(l.ctx, f.Progress); err != nil {
			l.cancel(err)
			return
		}
		l.post(scheduler.Stored{})
	case scheduler.DeleteJobs:
		c.DeleteJobs(l.ctx, f.Jobs)
	}
}

func (l *leadership) postResult(e scheduler.Event, o scheduler.Outcome) {
	if o == scheduler.OutcomeFenced {
		l.cancel(ErrLeadershipLost)
		return
	}
	l.post(e)
}
