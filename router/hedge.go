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

const hedgeDelayFactor = 3 // multiple of the estimated run time, which is a high quantile already

// response is what an attempt returned.
type response struct {
	executor Executor
	id       string
	answer   Answer
	err      error
}

// usable reports whether the attempt returned a valid answer of a request that ran.
func (s *response) usable() bool {
	return s.err == nil && checkAnswer(s.id, &s.answer) == nil && !reportsNotRun(&s.answer)
}

// hedge is a second attempt at another executor, started when the first one runs
// far longer than its route usually does. It uses only a free slot that no request
// waits for, and costs a retry of the budget.
type hedge struct {
	call        *call
	id          string // request id of the second attempt
	first       Executor
	cancelFirst context.CancelFunc
	timer       *time.Timer

	mu         sync.Mutex
	firstEnded bool // the first attempt has ended
	cancel     context.CancelFunc
	done       chan struct{} // closed when the second attempt has ended; nil before it starts
	response   response
}

// hedge schedules a second attempt for short work. It returns nil if there will be
// none.
func (c *call) hedge(ctx context.Context, x Executor, cancelFirst context.CancelFunc) *hedge {
	i := &c.ticket.item
	delay := hedgeDelayFactor * i.Estimate
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
	t := h.start(ctx)
	if t == nil {
		return
	}
	c := h.call
	defer c.router.removeInFlight()
	q := c.request
	q.ID = h.id
	sendCtx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	h.mu.Lock()
	h.cancel = cancel
	firstEnded := h.firstEnded
	h.mu.Unlock()
	if firstEnded {
		cancel()
	}
	c.dispatcher.setCancel(t, cancel)
	x := t.executor
	a, err := c.router.Send(sendCtx, x, q)
	c.dispatcher.releaseSlot(t)
	h.response = response{x, q.ID, a, err}
	if h.response.usable() {
		h.cancelFirst()
	}
	close(h.done)
}

// start acquires a free slot for the second attempt, or returns nil.
func (h *hedge) start(ctx context.Context) *ticket {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstEnded || ctx.Err() != nil {
		return nil
	}
	t := h.call.dispatcher.acquireHedgeSlot(&h.call.ticket.item, h.first)
	if t != nil {
		h.done = make(chan struct{})
		h.call.router.addInFlight()
	}
	return t
}

// resolve is called when the first attempt has ended, and returns the response to
// use.
func (h *hedge) resolve(first response) response {
	if h == nil {
		return first
	}
	h.timer.Stop()
	h.mu.Lock()
	h.firstEnded = true
	cancel := h.cancel
	done := h.done
	h.mu.Unlock()
	if done == nil {
		return first
	}
	c := h.call
	c.attempts++
	c.hedges++
	if first.usable() {
		if cancel != nil {
			cancel()
		}
		return first
	}
	<-done
	c.mayHaveRun = true
	if h.response.usable() {
		c.dispatcher.reportAttempt(h.first.ID, false)
		return h.response
	}
	c.ticket.item.Avoid = append(c.ticket.item.Avoid, h.response.executor.ID)
	return first
}

// acquireHedgeSlot takes a free slot for a hedge of a request, or returns nil if another
// request waits for one or the retry budget is exhausted.
func (d *dispatcher) acquireHedgeSlot(i *queuer.Item, first Executor) *ticket {
	now := d.router.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reclassifyOverruns(now)
	d.pool.Refresh(now)
	c := limiter.Choice{Avoid: append(i.Avoid[:len(i.Avoid):len(i.Avoid)], first.ID), AvoidZone: first.Zone}
	if d.queue.Len() > 0 || !d.usage.CanStart(limiter.Work{Organisation: i.Organisation}, d.slots()) || !d.pool.CanAcquire(now, c) || !d.budget.Spend() {
		return nil
	}
	t := &ticket{}
	t.item = queuer.Item{
		Organisation: i.Organisation, Weight: i.Weight, Estimate: i.Estimate, Deadline: i.Deadline,
		Avoid: c.Avoid, AvoidZone: c.AvoidZone, UserData: t,
	}
	d.grant(now, &t.item)
	if t.refusal != nil {
		return nil
	}
	d.hedges = append(d.hedges, t)
	return t
}

// preemptHedges preempts hedges of organisations that have requests waiting,
// newest first: the slots of hedges are no longer spare.
func (d *dispatcher) preemptHedges() {
	freed := map[string]int{}
	for _, t := range slices.Backward(d.hedges) {
		organisation := t.item.Organisation
		waiting, _ := d.queue.Waiting(organisation)
		if freed[organisation] >= waiting {
			continue
		}
		freed[organisation]++
		if !t.preempted {
			d.preempt(t)
		}
	}
}
