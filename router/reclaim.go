package router

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/queuer"
)

// reclassifyOverruns counts short work that has run for ShortRun as long.
func (d *dispatcher) reclassifyOverruns(now time.Time) {
	limit := d.router.shortRun()
	for t := d.runningShort.first; t != nil && now.Sub(t.started) >= limit; t = d.runningShort.first {
		t.unlink()
		d.usage.Finish(t.work())
		t.long = true
		d.usage.Start(t.work())
		if d.preemptible(t) {
			d.reclaimable.add(t)
		}
	}
}

// reclaim preempts borrowers that have run for ShortRun, oldest first, while the
// owner of the service waits for slots of its guaranteed share. If too few have run
// that long, a timer dispatches again when the next one has. So the owner gets its
// share within ShortRun, whatever the borrowers run.
func (d *dispatcher) reclaim(now time.Time, slots int) {
	waiting, long := d.queue.Waiting(d.usage.Owner)
	if waiting == 0 {
		return
	}
	toReclaim := d.usage.SlotsToReclaim(waiting, long, slots) - d.preempting
	for t := d.reclaimable.first; t != nil && toReclaim > 0; t = d.reclaimable.first {
		d.preempt(t)
		toReclaim--
	}
	if toReclaim <= 0 || d.reclaimScheduled {
		return
	}
	for t := d.runningShort.first; t != nil; t = t.next {
		if d.preemptible(t) {
			d.reclaimScheduled = true
			time.AfterFunc(d.router.shortRun()-now.Sub(t.started), d.onReclaimTimer)
			return
		}
	}
}

// onReclaimTimer dispatches when the next borrower has run for ShortRun.
func (d *dispatcher) onReclaimTimer() {
	now := d.router.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reclaimScheduled = false
	d.dispatch(now)
}

// preemptible reports whether the work of t, which started as short, may be
// preempted: work of the owner and non-idempotent work may not.
func (d *dispatcher) preemptible(t *ticket) bool {
	return t.item.Organisation != d.usage.Owner && !t.item.NonPreemptible
}

// preempt cancels the attempt that holds the slot of t. The slot becomes free when
// the attempt has ended.
func (d *dispatcher) preempt(t *ticket) {
	t.unlink()
	t.preempted = true
	d.preempting++
	if t.cancel != nil {
		t.cancel()
	}
}

// setCancel sets the function that cancels the attempt that holds the slot of t.
func (d *dispatcher) setCancel(t *ticket, cancel func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.cancel = cancel
	if t.preempted {
		cancel()
	}
}

// reclaimedResult makes the result of a preempted attempt a retry as long work. The
// retry costs no budget, as the requests of the owner limit how many there are.
func (c *call) reclaimedResult(v attemptResult) attemptResult {
	reclassifyLong(&c.ticket.item, c.ended, c.ended.Sub(c.started))
	v.refusal.Code = CodeSlotReclaimed
	v.refusal.Detail = "the slot was reclaimed for the owner of the service"
	v.refusal.RetryAfter = minRetryAfter
	v.retry = true
	v.budgetExempt = true
	return v
}

// reclassifyLong makes a preempted request long work. Long work borrows no
// guaranteed slots, so a request is preempted at most once. Its estimate is at least
// the time that it has run so far.
func reclassifyLong(i *queuer.Item, now time.Time, ran time.Duration) {
	i.Long = true
	i.Estimate = min(max(i.Estimate, ran), i.Deadline.Sub(now)/2)
}
