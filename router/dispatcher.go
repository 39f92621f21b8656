package router

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/queuer"
	"github.com/lacewingdoor/lacewingdoor/retrier"
)

// dispatcher gives the slots of one service to the requests that wait for them.
type dispatcher struct {
	router  *Router
	service string

	mu        sync.Mutex
	snapshot  *Snapshot
	executors map[string]Executor // by id
	pool      limiter.Pool
	shares    limiter.Shares
	usage     limiter.Usage
	queue     queuer.Queue
	budget    retrier.Budget
	running   tickets   // short work in slots, the oldest first
	overdue   tickets   // borrowers that ran too long and can be stopped, the oldest first
	stopping  int       // borrowers and second attempts told to stop that still have their slots
	seconds   []*ticket // second attempts in slots, the oldest first
	timed     bool      // a call of tick is due
	extra     bool      // this VM owns no slot, and may use a single one
}

func (d *dispatcher) refresh() {
	now := d.router.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(now, d.router.Snapshot())
	d.dispatch(now)
}

// deposit counts a request for the retry budget.
func (d *dispatcher) deposit() {
	d.mu.Lock()
	d.budget.Deposit()
	d.mu.Unlock()
}

// spend takes a retry out of the budget.
func (d *dispatcher) spend() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Spend()
}

// acquire waits for a slot.
func (d *dispatcher) acquire(ctx context.Context, t *ticket) *Refusal {
	now := d.router.now()
	t.refusal = nil
	if refusal := d.offer(now, t); refusal != nil {
		return refusal
	}
	if t.ready == nil { // granted at once
		return t.refusal
	}
	timer := time.NewTimer(t.item.LatestStart().Sub(now))
	defer timer.Stop()
	select {
	case <-t.ready:
		return t.refusal
	case <-ctx.Done():
		d.abandon(t)
		return &Refusal{Code: CodeCallerGone, Outcome: NotRun, Step: "wait for a slot", Err: context.Cause(ctx)}
	case <-timer.C:
		if d.withdraw(t) {
			return t.refusal
		}
		<-t.ready
		return t.refusal
	}
}

// offer queues t and grants what can be granted. If t had to wait, its ready
// channel is set.
func (d *dispatcher) offer(now time.Time, t *ticket) *Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(now, d.router.Snapshot())
	d.pool.Refresh(now)
	if d.pool.Slots() == 0 {
		return &Refusal{
			Code: CodeNoExecutor, Outcome: NotRun, RetryAfter: minRetryAfter, Step: "find a slot",
			Detail: "no executor of the service takes work from this entry VM",
		}
	}
	i := &t.item
	if waiting, _ := d.queue.Waiting(i.Organisation); waiting == 0 {
		d.shares.Activate(i.Organisation)
	}
	t.ready = nil
	v, retry, evicted := d.queue.Offer(now, i, d.capacity())
	if v != queuer.Accepted {
		return queueRefusal(v, retry)
	}
	if evicted != nil {
		refuse(evicted, queueRefusal(queuer.Full, retry))
	}
	d.dispatch(now)
	if t.executor.ID == "" && t.refusal == nil {
		t.ready = make(chan struct{})
	}
	return nil
}

// withdraw takes a request out of the queue whose time has run out.
func (d *dispatcher) withdraw(t *ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.queue.Remove(&t.item) {
		return false
	}
	t.refusal = d.tooLate(&t.item)
	return true
}

// abandon takes a request out of the queue whose caller has gone, or gives back
// its slot.
func (d *dispatcher) abandon(t *ticket) {
	d.mu.Lock()
	waited := d.queue.Remove(&t.item)
	d.mu.Unlock()
	if !waited && t.refusal == nil {
		d.finish(t)
	}
}

// finish gives back the slot of t.
func (d *dispatcher) finish(t *ticket) {
	now := d.router.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	i := &t.item
	d.pool.Give(t.executor.ID)
	d.usage.Finish(t.work())
	d.shares.Correct(i.Organisation, i.Weight, i.Estimate, now.Sub(t.started))
	d.queue.Learn(i.Long, i.Estimate, now.Sub(t.started))
	t.unlist()
	d.seconds = slices.DeleteFunc(d.seconds, func(o *ticket) bool { return o == t })
	if t.stopped {
		d.stopping--
	}
	t.executor = Executor{}
	d.apply(now, d.router.Snapshot())
	d.dispatch(now)
}

// report tells whether an executor brought a proper answer.
func (d *dispatcher) report(id string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.Report(d.router.now(), id, ok)
}

// leave stops new work for an executor that said it is leaving.
func (d *dispatcher) leave(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.Leave(d.router.now(), id)
}

// dispatch grants free slots to waiting requests, and has slots that the owner is
// due given back.
func (d *dispatcher) dispatch(now time.Time) {
	d.overstay(now)
	d.pool.Refresh(now)
	slots := d.slots()
	d.grantAll(now, slots)
	d.yield()
	d.reclaim(now, slots)
}

func (d *dispatcher) grantAll(now time.Time, slots int) {
	for d.queue.Len() > 0 && d.pool.CanTake(now, limiter.Choice{}) {
		i := d.queue.Next(func(i *queuer.Item) bool { return d.eligible(now, i, slots) }, d.rank(slots))
		if i == nil {
			return
		}
		if now.After(i.LatestStart()) {
			refuse(i, d.tooLate(i))
			continue
		}
		d.grant(now, i)
	}
}

func (d *dispatcher) eligible(now time.Time, i *queuer.Item, slots int) bool {
	if !d.usage.May(work(i), slots) {
		return false
	}
	return len(i.Avoid) == 0 || d.pool.CanTake(now, d.choice(i))
}

// rank orders organisations: the owner first while it is below its guaranteed
// share, the others by fair share.
func (d *dispatcher) rank(slots int) func(organisation string) float64 {
	ownerFirst := d.usage.OwnerFirst(slots)
	return func(organisation string) float64 {
		if ownerFirst && organisation == d.usage.Owner {
			return math.Inf(-1)
		}
		return d.shares.Time(organisation)
	}
}

func (d *dispatcher) grant(now time.Time, i *queuer.Item) {
	t, ok := i.Owner.(*ticket)
	if !ok {
		return
	}
	id, ok := d.pool.Take(now, d.choice(i))
	if !ok {
		refuse(i, queueRefusal(queuer.Full, minRetryAfter))
		return
	}
	t.executor = d.executors[id]
	t.started = now
	t.long = i.Long
	t.stopped = false
	t.cancel = nil
	d.usage.Start(t.work())
	d.shares.Start(i.Organisation, i.Weight, i.Estimate)
	if !i.Long {
		d.running.add(t)
	}
	t.wake()
}

func (d *dispatcher) tooLate(i *queuer.Item) *Refusal {
	wait := d.queue.Predict(i, d.capacity())
	return queueRefusal(queuer.TooLate, wait)
}

func (d *dispatcher) choice(i *queuer.Item) limiter.Choice {
	return limiter.Choice{Avoid: i.Avoid, AvoidZone: i.AvoidZone, Zone: d.snapshot.Zone}
}

// refuse ends the wait of a request without a slot.
func refuse(i *queuer.Item, refusal *Refusal) {
	if t, ok := i.Owner.(*ticket); ok {
		t.refusal = refusal
		t.wake()
	}
}

func queueRefusal(v queuer.Verdict, retry time.Duration) *Refusal {
	r := &Refusal{Code: CodeQueueFull, Outcome: NotRun, RetryAfter: max(retry, minRetryAfter), Step: "wait for a slot"}
	if v == queuer.TooLate {
		r.Code = CodeDeadlineNear
		r.Detail = "it could not be answered before its deadline"
	}
	return r
}
