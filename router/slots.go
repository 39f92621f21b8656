package router

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/queuer"
)

// apply takes over a snapshot.
func (d *dispatcher) apply(now time.Time, s *Snapshot) {
	if s == d.snapshot {
		return
	}
	d.snapshot = s
	service := s.Services[d.service]
	d.usage.Owner = service.Organisation
	d.usage.Share = service.Share
	d.budget.Percent = service.RetryPercent
	d.queue.Limit = service.QueueLimit
	if d.queue.Limit <= 0 {
		d.queue.Limit = defaultQueueLimit
	}
	list := s.Executors[d.service]
	d.executors = make(map[string]Executor, len(list))
	owned := make([]limiter.Executor, len(list))
	for i, x := range list {
		d.executors[x.ID] = x
		owned[i] = limiter.Executor{ID: x.ID, Zone: x.Zone, Slots: x.Slots, Leaving: x.Leaving}
	}
	d.extra = !s.Apart && ownsNone(owned)
	if d.extra {
		borrow(owned, list)
	}
	d.pool.Set(now, owned)
}

// slots returns how many slots may be in use in sum.
func (d *dispatcher) slots() int {
	if d.extra {
		return min(1, d.pool.Slots())
	}
	return d.pool.Slots()
}

// capacity returns what serves the queue now.
func (d *dispatcher) capacity() queuer.Capacity {
	slots := d.slots()
	return queuer.Capacity{
		Slots: slots, LongSlots: d.usage.LongLimit(slots),
		Owner: d.usage.Owner, Guaranteed: d.usage.Guaranteed(slots),
	}
}

func ownsNone(owned []limiter.Executor) bool {
	for _, x := range owned {
		if x.Slots > 0 && !x.Leaving {
			return false
		}
	}
	return true
}

// borrow lets a VM that owns no slot of a service, because the service has fewer
// slots than there are entry VMs, use a single one of any executor. So the service
// is given at most one slot more for each such VM, and the executor's own refusal
// when it is full, which means not-run, keeps that safe.
func borrow(owned []limiter.Executor, list []Executor) {
	for i, x := range list {
		owned[i].Slots = min(1, x.Total)
	}
}
