package router

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/queuer"
)

// overstay counts short work as long that has run for longer than short work
// does.
func (d *dispatcher) overstay(now time.Time) {
	limit := d.router.shortRun()
	for t := d.running.first; t != nil && now.Sub(t.started) >= limit; t = d.running.first {
		t.unlist()
		d.usage.Finish(t.work())
		t.long = true
		d.usage.Start(t.work())
		if d.stoppable(t) {
			d.overdue.add(t)
		}
	}
}

// reclaim stops borrowers that ran for longer than short work does, the oldest
// first, as far as the owner of the service waits for slots of its guaranteed
// share. If not enough of them have run so long, it looks again when the next one
// has. So the owner has its share within the time of one short request, whatever
// the borrowers do.
func (d *dispatcher) reclaim(now time.Time, slots int) {
	waiting, long := d.queue.Waiting(d.usage.Owner)
	if waiting == 0 {
		return
	}
	due := d.usage.Due(waiting, long, slots) - d.stopping
	for t := d.overdue.first; t != nil && due > 0; t = d.overdue.first {
		d.stop(t)
		due--
	}
	if due <= 0 || d.timed {
		return
	}
	for t := d.running.first; t != nil; t = t.next {
		if d.stoppable(t) {
			d.timed = true
			time.AfterFunc(d.router.shortRun()-now.Sub(t.started), d.tick)
			return
		}
	}
}

// tick dispatches when the next borrower has run too long.
func (d *dispatcher) tick() {
	now := d.router.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timed = false
	d.dispatch(now)
}

// stoppable reports whether the work of t, which began as short, may be stopped:
// that of the owner never is, nor what must not run twice.
func (d *dispatcher) stoppable(t *ticket) bool {
	return t.item.Organisation != d.usage.Owner && !t.item.Held
}

// stop ends the attempt that holds the slot of t. The slot is free when the
// attempt has ended.
func (d *dispatcher) stop(t *ticket) {
	t.unlist()
	t.stopped = true
	d.stopping++
	if t.cancel != nil {
		t.cancel()
	}
}

// attach tells how the attempt that holds the slot of t is ended.
func (d *dispatcher) attach(t *ticket, cancel func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.cancel = cancel
	if t.stopped {
		cancel()
	}
}

// reclaimed turns what is known after an attempt that was stopped into a retry
// as long work. It costs no budget: the owner's requests bound how many there are.
func (c *call) reclaimed(v verdict) verdict {
	lengthen(&c.ticket.item, c.ended, c.ended.Sub(c.started))
	v.refusal.Code = CodeReclaimed
	v.refusal.Detail = "its slot was needed by the service's owner"
	v.refusal.RetryAfter = minRetryAfter
	v.retry = true
	v.free = true
	return v
}

// lengthen makes a request that was stopped go on as long work, which gets no
// guaranteed slot of another, so it is stopped once at most. As nothing better is
// known, it is expected to run for as long as it has.
func lengthen(i *queuer.Item, now time.Time, ran time.Duration) {
	i.Long = true
	i.Estimate = min(max(i.Estimate, ran), i.Deadline.Sub(now)/2)
}
