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

// dispatcher grants the slots of one service to waiting requests.
type dispatcher struct {
	router  *Router
	service string

	mu               sync.Mutex
	snapshot         *Snapshot
	executors        map[string]Executor // by id
	pool             limiter.Pool
	shares           limiter.Shares
	usage            limiter.Usage
	queue            queuer.Queue
	budget           retrier.Budget
	runningShort     ticketList // short work that holds slots, oldest first
	reclaimable      ticketList // preemptible borrowers that have run too long, oldest first
	preempting       int        // number of preempted borrowers and hedges that still hold their slots
	hedges           []*ticket  // hedges that hold slots, oldest first
	reclaimScheduled bool       // a call of onReclaimTimer is scheduled
	overcommits      bool       // this VM owns no slot of the service and may use one slot in all
}

func (d *dispatcher) refresh() {
	now := d.router.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applySnapshot(now, d.router.Snapshot())
	d.dispatch(now)
}

// depositRetry credits a request to the retry budget.
func (d *dispatcher) depositRetry() {
	d.mu.Lock()
	d.budget.Deposit()
	d.mu.Unlock()
}

// spendRetry takes a retry from the budget, and reports whether there was one.
func (d *dispatcher) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Spend()
}

// acquireSlot waits until t has a slot or is refused.
func (d *dispatcher) acquireSlot(ctx context.Context, t *ticket) *Refusal {
	now := d.router.now()
	t.refusal = nil
	if refusal := d.enqueue(now, t); refusal != nil {
		return refusal
	}
	if t.ready == nil { // granted or refused at once
		return t.refusal
	}
	timer := time.NewTimer(t.item.LatestStart().Sub(now))
	defer timer.Stop()
	select {
	case <-t.ready:
		return t.refusal
	case <-ctx.Done():
		d.cancelWait(t)
		return &Refusal{Code: CodeCallerGone, Outcome: NotRun, Step: "wait for a slot", Err: context.Cause(ctx)}
	case <-timer.C:
		if d.expire(t) {
			return t.refusal
		}
		<-t.ready
		return t.refusal
	}
}

// enqueue queues t and grants free slots. If t has to wait, its ready channel is
// set.
func (d *dispatcher) enqueue(now time.Time, t *ticket) *Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applySnapshot(now, d.router.Snapshot())
	d.pool.Refresh(now)
	if d.pool.Slots() == 0 {
		return &Refusal{
			Code: CodeNoExecutor, Outcome: NotRun, RetryAfter: minRetryAfter, Step: "find a slot",
			Detail: "no executor of the service has a slot that this entry VM may use",
		}
	}
	i := &t.item
	if waiting, _ := d.queue.Waiting(i.Organisation); waiting == 0 {
		d.shares.Activate(i.Organisation)
	}
	t.ready = nil
	v, retry, evicted := d.queue.Enqueue(now, i, d.capacity())
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

// expire removes a request from the queue at its latest start, and reports
// whether it was still queued.
func (d *dispatcher) expire(t *ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.queue.Remove(&t.item) {
		return false
	}
	t.refusal = d.tooLateRefusal(&t.item)
	return true
}

// cancelWait removes the request of a caller that disconnected from the queue, or
// releases its slot.
func (d *dispatcher) cancelWait(t *ticket) {
	d.mu.Lock()
	waited := d.queue.Remove(&t.item)
	d.mu.Unlock()
	if !waited && t.refusal == nil {
		d.releaseSlot(t)
	}
}

// releaseSlot releases the slot of t and grants free slots.
func (d *dispatcher) releaseSlot(t *ticket) {
	now := d.router.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	i := &t.item
	d.pool.Release(t.executor.ID)
	d.usage.Finish(t.work())
	d.shares.Correct(i.Organisation, i.Weight, i.Estimate, now.Sub(t.started))
	d.queue.RecordRun(i.Long, i.Estimate, now.Sub(t.started))
	t.unlink()
	d.hedges = slices.DeleteFunc(d.hedges, func(o *ticket) bool { return o == t })
	if t.preempted {
		d.preempting--
	}
	t.executor = Executor{}
	d.applySnapshot(now, d.router.Snapshot())
	d.dispatch(now)
}

// reportAttempt records whether an attempt at an executor succeeded.
func (d *dispatcher) reportAttempt(id string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.ReportResult(d.router.now(), id, ok)
}

// markLeaving stops new work for an executor that is leaving.
func (d *dispatcher) markLeaving(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.MarkLeaving(d.router.now(), id)
}

// dispatch grants free slots to waiting requests, and reclaims slots that are
// guaranteed to the owner.
func (d *dispatcher) dispatch(now time.Time) {
	d.reclassifyOverruns(now)
	d.pool.Refresh(now)
	slots := d.slots()
	d.grantAll(now, slots)
	d.preemptHedges()
	d.reclaim(now, slots)
}

func (d *dispatcher) grantAll(now time.Time, slots int) {
	for d.queue.Len() > 0 && d.pool.CanAcquire(now, limiter.Choice{}) {
		i := d.queue.Next(func(i *queuer.Item) bool { return d.eligible(now, i, slots) }, d.rank(slots))
		if i == nil {
			return
		}
		if now.After(i.LatestStart()) {
			refuse(i, d.tooLateRefusal(i))
			continue
		}
		d.grant(now, i)
	}
}

func (d *dispatcher) eligible(now time.Time, i *queuer.Item, slots int) bool {
	if !d.usage.CanStart(work(i), slots) {
		return false
	}
	return len(i.Avoid) == 0 || d.pool.CanAcquire(now, d.choice(i))
}

// rank returns the order of organisations, lowest first: the owner while it uses
// less than its guaranteed share, the others by their virtual time.
func (d *dispatcher) rank(slots int) func(organisation string) float64 {
	ownerFirst := d.usage.OwnerFirst(slots)
	return func(organisation string) float64 {
		if ownerFirst && organisation == d.usage.Owner {
			return math.Inf(-1)
		}
		return d.shares.VirtualTime(organisation)
	}
}

func (d *dispatcher) grant(now time.Time, i *queuer.Item) {
	t, ok := i.UserData.(*ticket)
	if !ok {
		return
	}
	id, ok := d.pool.Acquire(now, d.choice(i))
	if !ok {
		refuse(i, queueRefusal(queuer.Full, minRetryAfter))
		return
	}
	t.executor = d.executors[id]
	t.started = now
	t.long = i.Long
	t.preempted = false
	t.cancel = nil
	d.usage.Start(t.work())
	d.shares.Start(i.Organisation, i.Weight, i.Estimate)
	if !i.Long {
		d.runningShort.add(t)
	}
	t.notify()
}

func (d *dispatcher) tooLateRefusal(i *queuer.Item) *Refusal {
	wait := d.queue.Predict(i, d.capacity())
	return queueRefusal(queuer.TooLate, wait)
}

func (d *dispatcher) choice(i *queuer.Item) limiter.Choice {
	return limiter.Choice{Avoid: i.Avoid, AvoidZone: i.AvoidZone, Zone: d.snapshot.Zone}
}

// refuse refuses a waiting request.
func refuse(i *queuer.Item, refusal *Refusal) {
	if t, ok := i.UserData.(*ticket); ok {
		t.refusal = refusal
		t.notify()
	}
}

func queueRefusal(v queuer.Verdict, retry time.Duration) *Refusal {
	r := &Refusal{Code: CodeQueueFull, Outcome: NotRun, RetryAfter: max(retry, minRetryAfter), Step: "wait for a slot"}
	if v == queuer.TooLate {
		r.Code = CodeDeadlineTooNear
		r.Detail = "the request could not finish before its deadline"
	}
	return r
}
