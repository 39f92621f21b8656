package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

const (
	defaultShortRun   = time.Second
	defaultDeadline   = 30 * time.Second // of a route that sets none
	defaultMaxBody    = 1 << 20          // bytes, of a route that sets none
	defaultQueueLimit = 256              // requests, of a service that sets none
	classShort        = "short"
	classLong         = "long"
)

// Router queues, sends and retries requests. Its fields are set before the first
// call of Do.
type Router struct {
	// Snapshot returns the latest published snapshot.
	Snapshot func() *Snapshot
	// Send makes one attempt at an executor. After an error other than SendError
	// the request may have run.
	Send func(ctx context.Context, x Executor, q Request) (Answer, error)
	// Claim claims the idempotency key of a request before it is sent; with nil,
	// every request that needs a claim is refused.
	Claim func(ctx context.Context, now time.Time, q Request) (Claim, error)
	// Release releases the claim of a request that was not sent; nil for none.
	Release func(ctx context.Context, now time.Time, q Request)
	// Estimate returns how long a request of a route holds a slot, as a high
	// quantile of past run times, or 0 if there are none; nil for the declared
	// run times.
	Estimate func(service string, o *decoder.Route) time.Duration
	// Leaving is called when an executor's answer says that it is leaving; may
	// be nil.
	Leaving func(executor string)
	// Observe is called for each finished request; may be nil.
	Observe func(o Observation)
	// Now returns the current time; nil for the system clock.
	Now func() time.Time
	// Random returns a number in [0, 1); nil for math/rand.
	Random func() float64
	// KeyWindow is the greatest age of an idempotency key; 0 for 15 min.
	KeyWindow time.Duration
	// ShortRun is the longest run time of short work; 0 for 1 s.
	ShortRun time.Duration

	mu          sync.Mutex
	dispatchers map[string]*dispatcher // by service
	inFlight    int
	draining    bool
	idle        chan struct{} // set by Drain; closed when no request is in flight
}

// Do sends a request to an executor, with retries, and returns the answer. The
// error is always a *Refusal.
func (r *Router) Do(ctx context.Context, q Request) (Answer, error) {
	if !r.admit() {
		return Answer{}, unclaimedRefusal(&Refusal{
			Code: CodeDraining, Outcome: NotRun, Step: "accept", RetryAfter: minRetryAfter,
			Detail: "this entry VM is shutting down",
		}, nil, q.Key)
	}
	defer r.removeInFlight()
	c, refusal := r.plan(q)
	if refusal != nil {
		r.observe(&Observation{Organisation: q.Organisation, Service: q.Service, Code: refusal.Code, Outcome: refusal.Outcome})
		return Answer{}, refusal
	}
	a, refusal := c.run(ctx)
	r.observe(c.observation(&a, refusal))
	if refusal != nil {
		return Answer{}, refusal
	}
	return a, nil
}

// MaxBody returns the greatest length of a request body in bytes, or false if
// there is no such route.
func (r *Router) MaxBody(service, path string) (int64, bool) {
	s, ok := r.Snapshot().Services[service]
	if !ok {
		return 0, false
	}
	o, ok := matchRoute(&s, path)
	if !ok {
		return 0, false
	}
	return maxBody(o), true
}

// Refresh applies a newly published snapshot and grants its free slots to
// waiting requests.
func (r *Router) Refresh() {
	r.mu.Lock()
	all := make([]*dispatcher, 0, len(r.dispatchers))
	for _, d := range r.dispatchers {
		all = append(all, d)
	}
	r.mu.Unlock()
	for _, d := range all {
		d.refresh()
	}
}

// Drain refuses new requests and returns when all accepted requests have finished
// or the context ends.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	if !r.draining {
		r.draining = true
		r.idle = make(chan struct{})
		if r.inFlight == 0 {
			close(r.idle)
		}
	}
	r.mu.Unlock()
	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Router) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.inFlight++
	return true
}

// addInFlight makes Drain wait for work that outlives the call of Do.
func (r *Router) addInFlight() {
	r.mu.Lock()
	r.inFlight++
	r.mu.Unlock()
}

func (r *Router) removeInFlight() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if r.draining && r.inFlight == 0 {
		close(r.idle)
	}
}

// plan finds the route of a request, and refuses a request that is invalid.
func (r *Router) plan(q Request) (*call, *Refusal) {
	now := r.now()
	s := r.Snapshot()
	service, ok := s.Services[q.Service]
	if !ok {
		f := &Refusal{Code: CodeUnknownService, Outcome: NotRun, Step: "find route", Detail: "no such service"}
		return nil, unclaimedRefusal(f, nil, q.Key)
	}
	o, ok := matchRoute(&service, q.Path)
	if !ok {
		f := &Refusal{Code: CodeUnknownRoute, Outcome: NotRun, Step: "find route", Detail: "the service has no such route"}
		return nil, unclaimedRefusal(f, nil, q.Key)
	}
	if int64(len(q.Body)) > maxBody(o) {
		f := &Refusal{Code: CodeBodyTooLarge, Outcome: NotRun, Step: "read body", Detail: "the body exceeds the limit of the route"}
		return nil, unclaimedRefusal(f, o, q.Key)
	}
	if o.NonIdempotent && q.Key != "" {
		if refusal := checkKey(now, q.Key, r.keyWindow()); refusal != nil {
			return nil, unclaimedRefusal(refusal, o, q.Key)
		}
	}
	q.Deadline = deadline(now, &q, o)
	c := &call{router: r, dispatcher: r.dispatcher(s, &service), request: q, route: o, arrived: now}
	c.ticket = r.ticket(s, &q, o)
	return c, nil
}

// ticket returns the queue entry of a request.
func (r *Router) ticket(s *Snapshot, q *Request, o *decoder.Route) *ticket {
	weight := s.Weights[q.Organisation]
	estimate := time.Duration(0)
	if r.Estimate != nil {
		estimate = r.Estimate(q.Service, o)
	}
	t := &ticket{}
	t.item.Long = o.Class == classLong
	if estimate > 0 {
		t.item.Long = estimate > r.shortRun()
	} else {
		estimate = o.DeclaredRun
	}
	t.item.Organisation = q.Organisation
	t.item.NonPreemptible = !t.item.Long && o.NonIdempotent
	t.item.Weight = max(weight, 1)
	t.item.Deadline = q.Deadline
	// A few stragglers can raise a high quantile beyond the deadline.
	t.item.Estimate = min(estimate, q.Deadline.Sub(r.now())/2)
	t.item.UserData = t
	return t
}

func (r *Router) dispatcher(s *Snapshot, service *decoder.Service) *dispatcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.dispatchers[service.Name]
	if !ok {
		if r.dispatchers == nil {
			r.dispatchers = make(map[string]*dispatcher)
		}
		d = &dispatcher{router: r, service: service.Name}
		d.applySnapshot(r.now(), s)
		r.dispatchers[service.Name] = d
	}
	return d
}

func (r *Router) observe(o *Observation) {
	if r.Observe != nil {
		r.Observe(*o)
	}
}

func (r *Router) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

func (r *Router) random() float64 {
	if r.Random != nil {
		return r.Random()
	}
	return rand.Float64() //nolint:gosec // jitter of retries, not security
}

func (r *Router) keyWindow() time.Duration {
	if r.KeyWindow > 0 {
		return r.KeyWindow
	}
	return defaultKeyWindow
}

func (r *Router) shortRun() time.Duration {
	if r.ShortRun > 0 {
		return r.ShortRun
	}
	return defaultShortRun
}

func maxBody(o *decoder.Route) int64 {
	if o.MaxBody > 0 {
		return o.MaxBody
	}
	return defaultMaxBody
}

// deadline returns the earlier of the caller's deadline and the route's.
func deadline(now time.Time, q *Request, o *decoder.Route) time.Time {
	d := o.Deadline
	if d <= 0 {
		d = defaultDeadline
	}
	if q.Arrived.IsZero() {
		q.Arrived = now
	}
	t := q.Arrived.Add(d)
	if !q.Deadline.IsZero() && q.Deadline.Before(t) {
		return q.Deadline
	}
	return t
}
