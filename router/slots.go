package router

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/queuer"
)

// applySnapshot applies a snapshot if it is new.
func (d *dispatcher) applySnapshot(now time.Time, s *Snapshot) {
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
	d.overcommits = !s.ExcludedFromDivision && ownsNoSlots(owned)
	if d.overcommits {
		overcommit(owned, list)
	}
	d.pool.Set(now, owned)
}

// slots returns how many slots this VM may use in total.
func (d *dispatcher) slots() int {
	if d.overcommits {
		return min(1, d.pool.Slots())
	}
	return d.pool.Slots()
}

// capacity returns the capacity that serves the queue.
func (d *dispatcher) capacity() queuer.Capacity {
	slots := d.slots()
	return queuer.Capacity{
		Slots: slots, LongSlots: d.usage.LongLimit(slots),
		Owner: d.usage.Owner, Guaranteed: d.usage.Guaranteed(slots),
	}
}

func ownsNoSlots(owned []limiter.Executor) bool {
	for _, x := range owned {
		if x.Slots > 0 && !x.Leaving {
			return false
		}
	}
	return true
}

// overcommit lets a VM that owns no slot of a service, because the service has fewer
// slots than there are entry VMs, use one slot of any executor at a time. Each such
// VM overcommits the service by at most one slot. That is safe, as a full executor
// refuses the request as not-run.
func overcommit(owned []limiter.Executor, list []Executor) {
	for i, x := range list {
		owned[i].Slots = min(1, x.Total)
	}
}
