// Package commander runs the scheduler on the VM that leads: it feeds it events
// and carries out its effects.
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
	tick      = 100 * time.Millisecond // deadlines of the scheduler are a few hundred milliseconds
	inboxSize = 1024                   // events; callers of Post wait when it is full
	poolSize  = 1024                   // calls in flight: one hold for each of a few hundred workers, and orders
)

// ErrOutranked says that another VM leads now.
var ErrOutranked = errors.New("another VM leads")

// Commander carries out the effects of the scheduler. Its fields are set before
// Lead.
type Commander struct {
	Hold   func(context.Context, scheduler.Hold) scheduler.Held
	Start  func(context.Context, scheduler.Start) scheduler.Started
	Stop   func(context.Context, scheduler.Stop) scheduler.Stopped
	Pace   func(context.Context, scheduler.Pace) scheduler.Paced
	Advise func(context.Context, scheduler.Advise) scheduler.Advised
	List   func(context.Context) scheduler.MachinesListed
	Upkeep func(context.Context, scheduler.BeginUpkeep) scheduler.UpkeepEnded
	Move   func(context.Context, scheduler.MoveMachine) scheduler.MoveEnded
	Wave   func(context.Context, scheduler.StoreWave)
	Loans  func(context.Context, scheduler.StoreLoans)
	Store  func(context.Context, map[string]scheduler.Progress) error // tries until it is done; wraps ErrOutranked
	Forget func(ctx context.Context, jobs []string)
	Note   func(scheduler.Noted)
	Took   func(event string, d time.Duration) // told how long each decision took
	Now    func() time.Time

	mu   sync.Mutex
	lead *lead
}

// lead is one leadership.
type lead struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	inbox  chan scheduler.Event
}

// Post hands an event to the scheduler; it is dropped when this VM does not lead.
func (c *Commander) Post(e scheduler.Event) {
	c.mu.Lock()
	l := c.lead
	c.mu.Unlock()
	if l != nil {
		l.post(e)
	}
}

func (l *lead) post(e scheduler.Event) {
	select {
	case l.inbox <- e:
	case <-l.ctx.Done():
	}
}

// Lead runs the scheduler until the context ends or a worker or the store shows
// that another VM leads. first is called once Post takes events, and returns the
// events to begin with.
func (c *Commander) Lead(ctx context.Context, s *scheduler.Scheduler, first func() []scheduler.Event) error {
	x, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l := &lead{ctx: x, cancel: cancel, inbox: make(chan scheduler.Event, inboxSize)}
	c.mu.Lock()
	c.lead = l
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.lead = nil
		c.mu.Unlock()
	}()
	pool := pond.NewPool(poolSize)
	defer pool.Stop()
	c.reduce(l, pool, s, first())
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return context.Cause(x)
		case e := <-l.inbox:
			c.reduce(l, pool, s, l.more(e))
		case <-t.C:
			c.reduce(l, pool, s, l.more(scheduler.Ticked{}))
		}
	}
}

// more returns an event with those that wait in the inbox.
func (l *lead) more(e scheduler.Event) []scheduler.Event {
	all := []scheduler.Event{e}
	for {
		select {
		case n := <-l.inbox:
			all = append(all, n)
		default:
			return all
		}
	}
}

func (c *Commander) reduce(l *lead, pool pond.Pool, s *scheduler.Scheduler, events []scheduler.Event) {
	began := c.Now()
	effects := s.Reduce(began, events...)
	c.Took("decision", c.Now().Sub(began))
	for _, f := range effects {
		if n, ok := f.(scheduler.Noted); ok {
			c.Note(n)
			continue
		}
		pool.Submit(func() { c.carryOut(l, f) })
	}
}

// carryOut carries out one effect and brings the result back.
func (c *Commander) carryOut(l *lead, f scheduler.Effect) {
	switch f := f.(type) {
	case scheduler.Hold:
		e := c.Hold(l.ctx, f.At(c.Now()))
		l.answer(e, e.Outcome)
	case scheduler.Start:
		began := c.Now()
		e := c.Start(l.ctx, f)
		c.Took("start", c.Now().Sub(began))
		l.answer(e, e.Outcome)
	case scheduler.Stop:
		e := c.Stop(l.ctx, f)
		l.answer(e, e.Outcome)
	case scheduler.Pace:
		e := c.Pace(l.ctx, f)
		l.answer(e, e.Outcome)
	case scheduler.Advise:
		l.post(c.Advise(l.ctx, f))
	case scheduler.ListMachines:
		l.post(c.List(l.ctx))
	case scheduler.BeginUpkeep:
		e := c.Upkeep(l.ctx, f)
		l.answer(e, e.Outcome)
	case scheduler.MoveMachine:
		e := c.Move(l.ctx, f)
		l.answer(e, e.Outcome)
	case scheduler.StoreWave:
		c.Wave(l.ctx, f)
	case scheduler.StoreLoans:
		c.Loans(l.ctx, f)
	case scheduler.Store:
		if err := c.Store(l.ctx, f.Progress); err != nil {
			l.cancel(err)
			return
		}
		l.post(scheduler.Stored{})
	case scheduler.Forget:
		c.Forget(l.ctx, f.Jobs)
	}
}

func (l *lead) answer(e scheduler.Event, o scheduler.Outcome) {
	if o == scheduler.OutcomeFenced {
		l.cancel(ErrOutranked)
		return
	}
	l.post(e)
}
