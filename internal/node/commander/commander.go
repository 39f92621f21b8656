// Package commander runs the scheduler on the leader: it delivers events to the
// scheduler and executes the effects that the scheduler returns.
package commander

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/pacer"
)

const (
	tickInterval = 100 * time.Millisecond  // the scheduler's deadlines are a few hundred milliseconds
	queueSize    = 1024                    // events; Post blocks while the queue is full
	maxLooks     = 4096                    // concurrent holds: a long poll to each of a few thousand workers
	maxUnheard   = 32                      // concurrent holds to workers that did not answer, while the leader is short of its link: their answers may list hundreds of ends
	crowdedWait  = 1900 * time.Millisecond // long poll of a hold while the leader is short of its link; the platform allows 2 s
	startTries   = 3                       // of a start without an answer; with the shortest time-out, they take less than half of the time in which a gang must be complete
	maxCommands  = 512                     // other concurrent effects; apart from the holds, so that no start waits for long polls
)

// ErrLeadershipLost says that another VM has become the leader.
var ErrLeadershipLost = errors.New("another VM has become the leader")

// Commander executes the scheduler's effects. Its exported fields are set before Lead is
// called.
type Commander struct {
	Hold            func(ctx context.Context, h scheduler.Hold, margin time.Duration) scheduler.HoldResult
	Start           func(ctx context.Context, s scheduler.Start, sendTimeout, timeout time.Duration) scheduler.StartResult // gives up after sendTimeout if the call is not sent by then
	Stop            func(ctx context.Context, s scheduler.Stop, timeout time.Duration) scheduler.StopResult
	Pace            func(context.Context, scheduler.Pace) scheduler.PaceResult
	Advise          func(context.Context, scheduler.Advise) scheduler.AdviceResult
	ListMachines    func(context.Context) scheduler.MachinesListed
	BeginUpkeep     func(context.Context, scheduler.BeginUpkeep) scheduler.UpkeepResult
	MoveMachine     func(context.Context, scheduler.MoveMachine) scheduler.MoveResult
	StoreWave       func(context.Context, scheduler.StoreWave)
	StoreLoans      func(context.Context, scheduler.StoreLoans)
	ReportSpeeds    func(context.Context, scheduler.ReportSpeeds)
	StoreProgress   func(context.Context, map[string]scheduler.Progress) error // retries until it succeeds; an error may wrap ErrLeadershipLost
	DeleteJobs      func(ctx context.Context, jobs []string)
	LogDecision     func(scheduler.Decision)
	ObserveDuration func(event string, d time.Duration) // called with the durations of decisions and starts
	Now             func() time.Time

	// ReportEvacuations is called with the evacuated zones in the order of their changes.
	ReportEvacuations func(scheduler.EvacuationsReported)

	released atomic.Bool // in the present term

	mu      sync.Mutex
	current *leadership
	pacer   pacer.Pacer
}

// leadership is one term of this VM as the leader.
type leadership struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	events chan postedEvent

	// Those of the Commander when the term began: the next term has others.
	storeProgress func(context.Context, map[string]scheduler.Progress) error
	deleteJobs    func(ctx context.Context, jobs []string)
}

// postedEvent is an event with the time at which it was posted.
type postedEvent struct {
	scheduler.Event

	at      time.Time
	handled chan<- struct{} // closed once the scheduler has handled it, nil if nobody waits
}

// Post queues an event for the scheduler. It drops the event if this VM is not the leader.
func (c *Commander) Post(e scheduler.Event) {
	c.mu.Lock()
	l := c.current
	c.mu.Unlock()
	if l != nil {
		c.postTo(l, e)
	}
}

// PostAndWait queues an event and waits until the scheduler has handled it. It returns at
// once if this VM is not the leader, and an error if the context ends before.
func (c *Commander) PostAndWait(ctx context.Context, e scheduler.Event) error {
	c.mu.Lock()
	l := c.current
	c.mu.Unlock()
	if l == nil {
		return nil
	}
	handled := make(chan struct{})
	select {
	case l.events <- postedEvent{e, c.Now(), handled}:
	case <-l.ctx.Done():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("queue an event for the scheduler: %w", ctx.Err())
	}
	select {
	case <-handled:
		return nil
	case <-l.ctx.Done():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the scheduler: %w", ctx.Err())
	}
}

func (c *Commander) postTo(l *leadership, e scheduler.Event) {
	select {
	case l.events <- postedEvent{Event: e, at: c.Now()}:
	case <-l.ctx.Done():
	}
}

// Lead runs the scheduler until the context ends, or until workers or the store report
// a newer leader. initial returns the first events; it is called once Post accepts events.
func (c *Commander) Lead(ctx context.Context, s *scheduler.Scheduler, initial func() []scheduler.Event) error {
	x, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l := &leadership{ctx: x, cancel: cancel, events: make(chan postedEvent, queueSize), storeProgress: c.StoreProgress, deleteJobs: c.DeleteJobs}
	c.released.Store(false)
	c.mu.Lock()
	c.current = l
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.current = nil
		c.mu.Unlock()
	}()
	p := pools{looks: pond.NewPool(maxLooks), unheard: pond.NewPool(maxUnheard), commands: pond.NewPool(maxCommands)}
	defer p.stop()
	run := func(first postedEvent) {
		events, waiting := l.batch(first)
		c.process(l, p, s, events, first.at)
		for _, h := range waiting {
			close(h)
		}
	}
	c.process(l, p, s, initial(), c.Now())
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	pass := time.NewTimer(0)
	defer pass.Stop()
	for {
		if at := s.NextPass(); !at.IsZero() {
			pass.Reset(at.Sub(c.Now()))
		}
		select {
		case <-x.Done():
			return context.Cause(x)
		case e := <-l.events:
			run(e)
		case <-t.C:
			run(postedEvent{Event: scheduler.Ticked{}, at: c.Now()})
		case <-pass.C:
			run(postedEvent{at: c.Now()})
		}
	}
}

// batch returns an event together with all queued events, and what is to be closed once
// they are handled.
func (l *leadership) batch(first postedEvent) ([]scheduler.Event, []chan<- struct{}) {
	var events []scheduler.Event
	var waiting []chan<- struct{}
	add := func(e postedEvent) {
		events = append(events, e.Event)
		if e.handled != nil {
			waiting = append(waiting, e.handled)
		}
	}
	add(first)
	for {
		select {
		case e := <-l.events:
			add(e)
		default:
			return events, waiting
		}
	}
}

// pools are the slots for concurrent effects. Each kind has its own, so that none waits for
// another kind.
type pools struct {
	looks    pond.Pool
	unheard  pond.Pool // looks at workers that did not answer, while many calls get no answer
	commands pond.Pool
}

func (p pools) stop() {
	p.looks.Stop()
	p.unheard.Stop()
	p.commands.Stop()
}

// process lets the scheduler handle events, the oldest of which was posted at the given
// time, and begins to execute the effects.
func (c *Commander) process(l *leadership, p pools, s *scheduler.Scheduler, events []scheduler.Event, oldest time.Time) {
	began := c.Now()
	effects := s.Reduce(began, events...)
	for _, e := range events {
		if _, ok := e.(scheduler.Released); ok {
			c.released.Store(true)
		}
	}
	now := c.Now()
	c.ObserveDuration("decision", now.Sub(began))
	c.ObserveDuration("decision-lag", now.Sub(oldest))
	delay := pacer.LookDelay(now.Sub(oldest))
	for _, f := range effects {
		switch f := f.(type) {
		case scheduler.Decision:
			c.LogDecision(f)
		case scheduler.EvacuationsReported:
			c.ReportEvacuations(f)
		case scheduler.Resign:
			l.cancel(ErrLeadershipLost)
		case scheduler.Hold:
			switch {
			case f.Unheard && c.crowded():
				p.unheard.Submit(func() { c.execute(l, f) })
			case f.Ack == 0 && f.Wait > 0 && delay > 0:
				time.AfterFunc(delay, func() { p.looks.Submit(func() { c.execute(l, f) }) })
			default:
				p.looks.Submit(func() { c.execute(l, f) })
			}
		default:
			p.commands.Submit(func() { c.execute(l, f) })
		}
	}
}

// hold calls a worker, with a longer long poll and a longer time-out while many calls get
// no answer in time.
func (c *Commander) hold(l *leadership, h scheduler.Hold) {
	c.mu.Lock()
	margin := c.pacer.Margin()
	if c.pacer.Crowded() && h.Wait > 0 {
		h.Wait = max(h.Wait, crowdedWait)
	}
	c.mu.Unlock()
	e := c.Hold(l.ctx, h.At(c.Now()), margin)
	c.observe(l.ctx, e.Outcome)
	c.postTo(l, e)
}

// StartRun starts a run. A start without an answer is sent again, as it may have been lost or
// may be carried out late, which would hold up a whole gang: a worker that has the run
// already answers that it runs. While many calls get no answer it is sent once, with a
// longer time-out. A start that is late is not sent.
func (c *Commander) StartRun(ctx context.Context, f scheduler.Start) scheduler.StartResult {
	e := scheduler.StartResult{Start: f, Outcome: scheduler.OutcomeUnknown}
	sent := false
	for range startTries {
		if c.released.Load() {
			f = f.WithRelease()
		}
		left := f.TimeLeft(c.Now())
		if left <= 0 {
			if !sent {
				e.Outcome = scheduler.OutcomeDropped
			}
			break
		}
		e = c.Start(ctx, f, min(c.margin(), left), c.margin())
		c.observe(ctx, e.Outcome)
		if sent {
			e.Outcome, e.Unanswered = afterUnanswered(e.Outcome), true
		}
		sent = sent || e.Outcome != scheduler.OutcomeUnsent
		if e.Outcome != scheduler.OutcomeUnknown || ctx.Err() != nil || c.crowded() {
			break
		}
	}
	return e
}

// afterUnanswered returns the outcome of a start that follows one without an answer, given
// the answer to it. The earlier one may have been carried out, or may still be.
func afterUnanswered(o scheduler.Outcome) scheduler.Outcome {
	switch o {
	case scheduler.OutcomeObsolete: // the run has ended there already; its worker lists the end
		return scheduler.OutcomeDone
	case scheduler.OutcomeUnsent, scheduler.OutcomeLate, scheduler.OutcomeFull, scheduler.OutcomeUnhealthy, scheduler.OutcomeTicket, scheduler.OutcomeInvalid, scheduler.OutcomeDropped:
		return scheduler.OutcomeUnknown
	default:
		return o
	}
}

// margin returns the time that an answer may take at present.
func (c *Commander) margin() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pacer.Margin()
}

func (c *Commander) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pacer.Crowded()
}

// observe notes whether a call was answered in time, unless the end of its term cancelled it.
func (c *Commander) observe(ctx context.Context, o scheduler.Outcome) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pacer.Observe(o != scheduler.OutcomeUnknown)
}

// execute executes one effect and posts its result. The scheduler would wait for the result
// of one that panicked for ever, so the leadership ends then.
func (c *Commander) execute(l *leadership, f scheduler.Effect) {
	defer func() {
		if v := recover(); v != nil {
			l.cancel(fmt.Errorf("execute %T: panic: %v\n%s", f, v, debug.Stack()))
		}
	}()
	switch f := f.(type) {
	case scheduler.Hold:
		c.hold(l, f)
	case scheduler.Start:
		began := c.Now()
		e := c.StartRun(l.ctx, f)
		c.ObserveDuration("start", c.Now().Sub(began))
		c.postTo(l, e)
	case scheduler.Stop:
		e := c.Stop(l.ctx, f, c.margin())
		c.observe(l.ctx, e.Outcome)
		c.postTo(l, e)
	case scheduler.Pace:
		e := c.Pace(l.ctx, f)
		c.postTo(l, e)
	case scheduler.Advise:
		c.postTo(l, c.Advise(l.ctx, f))
	case scheduler.ListMachines:
		c.postTo(l, c.ListMachines(l.ctx))
	case scheduler.BeginUpkeep:
		c.postTo(l, c.BeginUpkeep(l.ctx, f)) // a fence of one machine is no proof of a newer leader
	case scheduler.MoveMachine:
		c.postTo(l, c.MoveMachine(l.ctx, f)) // likewise
	case scheduler.StoreWave:
		c.StoreWave(l.ctx, f)
	case scheduler.StoreLoans:
		c.StoreLoans(l.ctx, f)
	case scheduler.ReportSpeeds:
		c.ReportSpeeds(l.ctx, f)
	case scheduler.Store:
		if err := l.storeProgress(l.ctx, f.Progress); err != nil {
			l.cancel(err)
			return
		}
		c.postTo(l, scheduler.Stored{})
	case scheduler.DeleteJobs:
		l.deleteJobs(l.ctx, f.Jobs)
	}
}
