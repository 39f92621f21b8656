package router

import (
	"context"
	"strconv"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/retrier"
)

const (
	maxAttempts             = 8 // of one request, without hedges; the retry budget limits retries and hedges of the service
	maxLostConnections      = 4 // of one request, without hedges: it may be what crashes the executors
	nonIdempotentWaitFactor = 5 // multiple of the time to its deadline that a non-idempotent attempt may run and hold its slot
)

// call is the state of one request from Do to its outcome.
type call struct {
	router     *Router
	dispatcher *dispatcher
	request    Request
	route      *decoder.Route
	ticket     *ticket

	arrived    time.Time
	started    time.Time // start of the last attempt
	ended      time.Time
	attempts   int
	hedges     int // attempts that were hedges; included in attempts
	lost       int // attempts whose connection ended while the executor had the request, without hedges
	claimed    bool
	mayHaveRun bool // an executor may have received part of the request
}

// run makes attempts until the request is answered or refused.
func (c *call) run(ctx context.Context) (Answer, *Refusal) {
	c.dispatcher.depositRetry()
	// The claim precedes the slot: a claim that waits for the log would block the
	// slot for requests that need no claim.
	if refusal := c.claim(ctx); refusal != nil {
		return Answer{}, c.refuse(ctx, refusal)
	}
	for {
		v := c.attempt(ctx)
		if v.refusal == nil {
			return v.answer, nil
		}
		if !v.retry || !c.waitToRetry(ctx, v) {
			return Answer{}, c.refuse(ctx, v.refusal)
		}
	}
}

// attempt waits for a slot and sends the request once.
func (c *call) attempt(ctx context.Context) attemptResult {
	if refusal := c.dispatcher.acquireSlot(ctx, c.ticket); refusal != nil {
		return attemptResult{refusal: refusal}
	}
	if err := ctx.Err(); err != nil {
		c.dispatcher.releaseSlot(c.ticket)
		return attemptResult{refusal: &Refusal{Code: CodeCallerGone, Step: "send", Err: err}}
	}
	c.attempts++
	c.started = c.router.now()
	x := c.ticket.executor
	q := c.request
	if c.attempts > 1 {
		q.ID += "-" + strconv.Itoa(c.attempts)
	}
	s := c.send(ctx, x, q)
	c.ended = c.router.now()
	x = s.executor
	v := c.evaluate(x, s.id, &s.answer, s.err)
	if s.err != nil && c.ticket.preempted {
		v = c.reclaimedResult(v)
	}
	if ok, known := executorHealth(v); known {
		c.dispatcher.reportAttempt(x.ID, ok)
	}
	if v.refusal != nil {
		c.ticket.item.Avoid = append(c.ticket.item.Avoid, x.ID)
		c.ticket.item.AvoidZone = x.Zone
	}
	return v
}

// claim claims the idempotency key of a request that needs a claim.
func (c *call) claim(ctx context.Context) *Refusal {
	r := c.router
	if !c.route.NonIdempotent || c.request.Key == "" {
		return nil
	}
	outcome, err := Unavailable, error(nil)
	if r.Claim != nil {
		claimCtx, cancel := context.WithDeadline(ctx, c.ticket.item.LatestStart())
		outcome, err = r.Claim(claimCtx, r.now(), c.request)
		cancel()
	}
	switch outcome {
	case Granted:
		c.claimed = true
		return nil
	case AlreadyClaimed:
		return &Refusal{
			Code: CodeAlreadyClaimed, Outcome: Unknown, Step: "claim idempotency key", Err: err,
			Detail: "a request with this key was already accepted",
		}
	case Rejected:
		return &Refusal{Code: CodeMalformedKey, Step: "claim idempotency key", Err: err}
	default:
		return &Refusal{
			Code: CodeClaimUnavailable, RetryAfter: minRetryAfter, Step: "claim idempotency key", Err: err,
			Detail: "the key could not be claimed",
		}
	}
}

// send makes one attempt and releases the slot when it ends. If the caller
// disconnects, an idempotent request is cancelled at the executor.
func (c *call) send(ctx context.Context, x Executor, q Request) response {
	if c.route.NonIdempotent {
		a, err := c.sendNonIdempotent(ctx, x, q)
		return response{x, q.ID, a, err}
	}
	sendCtx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	c.dispatcher.setCancel(c.ticket, cancel)
	h := c.hedge(ctx, x, cancel)
	a, err := c.router.Send(sendCtx, x, q)
	c.dispatcher.releaseSlot(c.ticket)
	return h.resolve(response{x, q.ID, a, err})
}

// sendNonIdempotent sends a non-idempotent request. Neither a disconnect of the
// caller nor the deadline cancels it; it holds its slot, and Drain waits, until it
// ends.
func (c *call) sendNonIdempotent(ctx context.Context, x Executor, q Request) (Answer, error) {
	type result struct {
		answer Answer
		err    error
	}
	r := c.router
	remaining := q.Deadline.Sub(r.now())
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), nonIdempotentWaitFactor*remaining)
	done := make(chan result, 1)
	r.addInFlight()
	go func() {
		defer r.removeInFlight()
		defer cancel()
		a, err := r.Send(sendCtx, x, q)
		c.dispatcher.releaseSlot(c.ticket)
		done <- result{a, err}
	}()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case o := <-done:
		return o.answer, o.err
	case <-timer.C:
		return Answer{}, &SendError{Code: CodeDeadlinePassed, MayHaveRun: true, Final: true, Step: "wait for answer", Peer: x.ID, Err: context.DeadlineExceeded}
	case <-ctx.Done():
		return Answer{}, &SendError{Code: CodeCallerGone, MayHaveRun: true, Final: true, Step: "wait for answer", Peer: x.ID, Err: context.Cause(ctx)}
	}
}

// waitToRetry reports whether the request may be retried, after the retry delay.
func (c *call) waitToRetry(ctx context.Context, v attemptResult) bool {
	if c.lost >= maxLostConnections {
		v.refusal.Detail = "the connections to " + strconv.Itoa(c.lost) + " executors ended while they had the request"
		return false
	}
	if c.attempts-c.hedges >= maxAttempts {
		v.refusal.Detail = "the request reached the maximum number of attempts"
		return false
	}
	if !v.budgetExempt && !c.dispatcher.spendRetry() {
		v.refusal.Detail = "the retry budget of the service is exhausted"
		return false
	}
	wait := retrier.Delay(c.attempts, c.router.random())
	if c.router.now().Add(wait).After(c.ticket.item.LatestStart()) {
		v.refusal.Detail = "a retry could not finish before the deadline"
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// refuse sets the outcome of a refusal, and releases the claim of a request that
// was not sent.
func (c *call) refuse(ctx context.Context, refusal *Refusal) *Refusal {
	if c.mayHaveRun || refusal.Outcome == Unknown {
		refusal.Outcome = Unknown
		return refusal
	}
	refusal.Outcome = NotRun
	if !c.claimed {
		return unclaimedRefusal(refusal, c.route, c.request.Key)
	}
	if c.router.Release != nil {
		c.router.Release(context.WithoutCancel(ctx), c.router.now(), c.request)
	}
	return refusal
}

func (c *call) observation(a *Answer, refusal *Refusal) *Observation {
	o := &Observation{
		Organisation: c.request.Organisation, Service: c.request.Service, Route: c.route.Path,
		Class: classShort, Attempts: c.attempts, Status: a.Status,
	}
	if c.ticket.item.Long {
		o.Class = classLong
	}
	if refusal != nil {
		o.Code = refusal.Code
		o.Outcome = refusal.Outcome
	}
	if c.attempts == 0 {
		o.Wait = c.router.now().Sub(c.arrived)
		return o
	}
	o.Wait = c.started.Sub(c.arrived)
	o.Run = c.ended.Sub(c.started)
	return o
}
