package router

import (
	"context"
	"strconv"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/retrier"
)

const (
	maxAttempts = 8 // of one request, hedges not counted; the retry budget bounds the sum, hedges included
	linger      = 5 // a non-idempotent request is waited for this many times its deadline, as it may hold its slot for longer
)

// call is the life of one request.
type call struct {
	router     *Router
	dispatcher *dispatcher
	request    Request
	route      *decoder.Route
	ticket     *ticket

	arrived  time.Time
	started  time.Time // of the last attempt
	ended    time.Time
	attempts int
	hedges   int // of the attempts, those made beside another
	claimed  bool
	handed   bool // an executor may have got some of it
}

// run makes attempts until the request is answered or refused.
func (c *call) run(ctx context.Context) (Answer, *Refusal) {
	c.dispatcher.deposit()
	// The claim comes before the slot: a claim that waits for the log would keep
	// the slot from work that needs none.
	if refusal := c.claim(ctx); refusal != nil {
		return Answer{}, c.refuse(ctx, refusal)
	}
	for {
		v := c.attempt(ctx)
		if v.refusal == nil {
			return v.answer, nil
		}
		if !v.retry || !c.again(ctx, v) {
			return Answer{}, c.refuse(ctx, v.refusal)
		}
	}
}

// attempt waits for a slot and sends the request once.
func (c *call) attempt(ctx context.Context) verdict {
	if refusal := c.dispatcher.acquire(ctx, c.ticket); refusal != nil {
		return verdict{refusal: refusal}
	}
	if err := ctx.Err(); err != nil {
		c.dispatcher.finish(c.ticket)
		return verdict{refusal: &Refusal{Code: CodeCallerGone, Step: "send", Err: err}}
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
	v := c.judge(x, s.id, &s.answer, s.err)
	if s.err != nil && c.ticket.stopped {
		v = c.reclaimed(v)
	}
	if ok, known := healthy(v); known {
		c.dispatcher.report(x.ID, ok)
	}
	if v.refusal != nil {
		c.ticket.item.Avoid = append(c.ticket.item.Avoid, x.ID)
		c.ticket.item.AvoidZone = x.Zone
	}
	return v
}

// claim claims the idempotency key.
func (c *call) claim(ctx context.Context) *Refusal {
	r := c.router
	if !c.route.NonIdempotent || c.request.Key == "" {
		return nil
	}
	outcome, err := Unavailable, error(nil)
	if r.Claim != nil {
		within, cancel := context.WithDeadline(ctx, c.ticket.item.LatestStart())
		outcome, err = r.Claim(within, r.now(), c.request)
		cancel()
	}
	switch outcome {
	case Granted:
		c.claimed = true
		return nil
	case Taken:
		return &Refusal{
			Code: CodeClaimed, Outcome: Unknown, Step: "claim idempotency key", Err: err,
			Detail: "a request with this key was accepted before",
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

// send makes one attempt and gives the slot back when it is over. The work of a
// caller that goes away is cancelled where it is safe to run it again.
func (c *call) send(ctx context.Context, x Executor, q Request) sent {
	if c.route.NonIdempotent {
		a, err := c.sendOnce(ctx, x, q)
		return sent{x, q.ID, a, err}
	}
	within, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	c.dispatcher.attach(c.ticket, cancel)
	h := c.hedge(ctx, x, cancel)
	a, err := c.router.Send(within, x, q)
	c.dispatcher.finish(c.ticket)
	return h.settle(sent{x, q.ID, a, err})
}

// sendOnce sends a non-idempotent request. Neither its caller's leaving nor its
// deadline cancels the work; the slot is held, and Drain waits, until it ends.
func (c *call) sendOnce(ctx context.Context, x Executor, q Request) (Answer, error) {
	type result struct {
		answer Answer
		err    error
	}
	r := c.router
	left := q.Deadline.Sub(r.now())
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), linger*left)
	done := make(chan result, 1)
	r.hold()
	go func() {
		defer r.exit()
		defer cancel()
		a, err := r.Send(within, x, q)
		c.dispatcher.finish(c.ticket)
		done <- result{a, err}
	}()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case o := <-done:
		return o.answer, o.err
	case <-timer.C:
		return Answer{}, &SendError{Code: CodeDeadlinePassed, Handed: true, Final: true, Step: "wait for answer", Peer: x.ID, Err: context.DeadlineExceeded}
	case <-ctx.Done():
		return Answer{}, &SendError{Code: CodeCallerGone, Handed: true, Final: true, Step: "wait for answer", Peer: x.ID, Err: context.Cause(ctx)}
	}
}

// again reports whether a further attempt may be made, and waits before it.
func (c *call) again(ctx context.Context, v verdict) bool {
	if c.attempts-c.hedges >= maxAttempts {
		v.refusal.Detail = "it was tried as often as is allowed"
		return false
	}
	if !v.free && !c.dispatcher.spend() {
		v.refusal.Detail = "the retry budget of the service is used up"
		return false
	}
	wait := retrier.Delay(c.attempts, c.router.random())
	if c.router.now().Add(wait).After(c.ticket.item.LatestStart()) {
		v.refusal.Detail = "a further try would end after the deadline"
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

// refuse completes a refusal with its outcome, and gives back the claim of a
// request that was not sent.
func (c *call) refuse(ctx context.Context, refusal *Refusal) *Refusal {
	if c.handed || refusal.Outcome == Unknown {
		refusal.Outcome = Unknown
		return refusal
	}
	refusal.Outcome = NotRun
	if !c.claimed {
		return beforeClaim(refusal, c.route, c.request.Key)
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
