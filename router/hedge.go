package router

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/queuer"
)

const hedgeAfter = 3 // estimates, which are high quantiles already

// sent is an attempt that has ended.
type sent struct {
	executor Executor
	id       string
	answer   Answer
	err      error
}

// good reports whether the attempt brought a proper answer.
func (s *sent) good() bool {
	return s.err == nil && checkAnswer(s.id, &s.answer) == nil && !saysNotRun(&s.answer)
}

// hedge is a second attempt at another executor, made while the first one takes
// far longer than its route does. It uses only a slot that is free and waited for
// by nobody, and the budget of retries.
type hedge struct {
	call        *call
	id          string // of the second attempt
	first       Executor
	cancelFirst context.CancelFunc
	timer       *time.Timer

	mu      sync.Mutex
	over    bool // the first attempt has ended
	cancel  context.CancelFunc
	done    chan struct{} // closed when the second attempt has ended; nil before it began
	outcome sent
}

// hedge arranges a second attempt for short work. It returns nil for other work.
func (c *call) hedge(ctx context.Context, x Executor, cancelFirst context.CancelFunc) *hedge {
	i := &c.ticket.item
	delay := hedgeAfter * i.Estimate
	if i.Long || delay <= 0 || c.router.now().Add(delay).After(i.LatestStart()) {
		return nil
	}
	id := c.request.ID + "-hedge-" + strconv.Itoa(c.attempts)
	h := &hedge{call: c, id: id, first: x, cancelFirst: cancelFirst}
	h.timer = time.AfterFunc(delay, func() { h.run(ctx) })
	return h
}

// run makes the second attempt.
func (h *hedge) run(ctx context.Context) {
	t := h.begin(ctx)
	if t == nil {
		return
	}
	c := h.call
	defer c.router.exit()
	q := c.request
	q.ID = h.id
	within, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	h.mu.Lock()
	h.cancel = cancel
	over := h.over
	h.mu.Unlock()
	if over {
		cancel()
	}
	c.dispatcher.attach(t, cancel)
	x := t.executor
	a, err := c.router.Send(within, x, q)
	c.dispatcher.finish(t)
	h.outcome = sent{x, q.ID, a, err}
	if h.outcome.good() {
		h.cancelFirst()
	}
	close(h.done)
}

// begin takes a free slot, unless the first attempt has ended.
func (h *hedge) begin(ctx context.Context) *ticket {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || ctx.Err() != nil {
		return nil
	}
	t := h.call.dispatcher.spare(&h.call.ticket.item, h.first)
	if t != nil {
		h.done = make(chan struct{})
		h.call.router.hold()
	}
	return t
}

// settle returns the attempt that counts, once the first one has ended.
func (h *hedge) settle(first sent) sent {
	if h == nil {
		return first
	}
	h.timer.Stop()
	h.mu.Lock()
	h.over = true
	cancel := h.cancel
	done := h.done
	h.mu.Unlock()
	if done == nil {
		return first
	}
	c := h.call
	c.attempts++
	c.hedges++
	if first.good() {
		if cancel != nil {
			cancel()
		}
		return first
	}
	<-done
	c.handed = true
	if h.outcome.good() {
		c.dispatcher.report(h.first.ID, false)
		return h.outcome
	}
	c.ticket.item.Avoid = append(c.ticket.item.Avoid, h.outcome.executor.ID)
	return first
}

// spare takes a free slot for a second attempt at a request, if nobody waits for
// one and the budget allows it.
func (d *dispatcher) spare(i *queuer.Item, first Executor) *ticket {
	now := d.router.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.overstay(now)
	d.pool.Refresh(now)
	c := limiter.Choice{Avoid: append(i.Avoid[:len(i.Avoid):len(i.Avoid)], first.ID), AvoidZone: first.Zone}
	if d.queue.Len() > 0 || !d.usage.May(limiter.Work{Organisation: i.Organisation}, d.slots()) || !d.pool.CanTake(now, c) || !d.budget.Spend() {
		return nil
	}
	t := &ticket{}
	t.item = queuer.Item{
		Organisation: i.Organisation, Weight: i.Weight, Estimate: i.Estimate, Deadline: i.Deadline,
		Avoid: c.Avoid, AvoidZone: c.AvoidZone, Owner: t,
	}
	d.grant(now, &t.item)
	if t.refusal != nil {
		return nil
	}
	d.seconds = append(d.seconds, t)
	return t
}

// yield stops second attempts whose organisation has first ones waiting, the newest
// first: a slot that was free when they began is not free any more.
func (d *dispatcher) yield() {
	given := map[string]int{}
	for _, t := range slices.Backward(d.seconds) {
		organisation := t.item.Organisation
		waiting, _ := d.queue.Waiting(organisation)
		if given[organisation] >= waiting {
			continue
		}
		given[organisation]++
		if !t.stopped {
			d.stop(t)
		}
	}
}
