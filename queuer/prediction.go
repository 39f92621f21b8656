package queuer

import "time"

// minTenantSlots is the number of slots that a tenant is predicted to get when
// others are entitled to all slots, since they may not use them for long.
const minTenantSlots = 0.1

// ratioWeight is the weight of one run in the moving average of run times divided
// by estimates.
const ratioWeight = 1.0 / 64

// Capacity describes the slots that serve a queue.
type Capacity struct {
	Slots      int
	LongSlots  int    // slots that long work may hold
	Owner      string // organisation with the guaranteed share
	Guaranteed int    // slots that are the owner's whenever it needs them
}

// ratios holds the mean run time divided by the estimate, per class; 0 if unknown.
type ratios struct {
	short, long float64
}

// RecordRun records how long a request ran that had an estimate. Estimates are high
// quantiles, while a queue drains at the mean run time.
func (q *Queue) RecordRun(long bool, estimate, ran time.Duration) {
	if estimate <= 0 {
		return
	}
	r := &q.runRatios.short
	if long {
		r = &q.runRatios.long
	}
	ratio := ran.Seconds() / estimate.Seconds()
	if *r == 0 {
		*r = 1
	}
	*r += (ratio - *r) * ratioWeight
}

// expectedWork returns the total time for which the waiting requests of a class
// are expected to hold slots.
func expectedWork(c *class, ratio float64) time.Duration {
	if ratio == 0 {
		return c.totalEstimate
	}
	return time.Duration(float64(c.totalEstimate) * ratio)
}

// Predict returns how long a request would wait if it were enqueued now, as
// [Queue.Enqueue] estimates it.
func (q *Queue) Predict(i *Item, c Capacity) time.Duration {
	return q.predictWait(q.tenant(i.Organisation, i.Weight), i, c)
}

// predictWait predicts how long a request of a tenant waits: the time to finish
// the work ahead of it in the tenant's share of the slots, plus the rest of the
// running work, which is at most the mean run time of one request. Short work is
// assumed to go ahead of long work, which it does until the long work is due.
func (q *Queue) predictWait(t *tenant, i *Item, c Capacity) time.Duration {
	nonPreemptible := expectedWork(&t.nonPreemptible, q.runRatios.short)
	sum := expectedWork(&t.short, q.runRatios.short) + nonPreemptible
	length := len(t.short.items) + len(t.nonPreemptible.items)
	slots := q.slotShare(t, c)
	if i.Long {
		sum += expectedWork(&t.long, q.runRatios.long)
		length += len(t.long.items)
		slots = min(slots, float64(c.LongSlots))
	}
	if length == 0 {
		return 0
	}
	wait := time.Duration(float64(sum) / max(slots, minTenantSlots))
	if i.NonPreemptible && t.organisation != c.Owner {
		// In the slots that are not guaranteed, only work of the same class is ahead.
		wait = max(wait, time.Duration(float64(nonPreemptible)/max(min(slots, float64(c.Slots-c.Guaranteed)), minTenantSlots)))
	}
	return sum/time.Duration(length) + wait
}

// slotShare returns how many of the slots a tenant gets as long as the tenants
// that have waiting requests now continue to have some.
func (q *Queue) slotShare(t *tenant, c Capacity) float64 {
	weights := 0
	var owner *tenant
	for _, o := range q.tenants {
		if o != t && o.length() == 0 {
			continue
		}
		weights += o.weight
		if o.organisation == c.Owner {
			owner = o
		}
	}
	slots := float64(c.Slots)
	if owner == nil {
		return slots * float64(t.weight) / float64(weights)
	}
	ownerSlots := max(slots*float64(owner.weight)/float64(weights), float64(c.Guaranteed))
	if t == owner {
		return ownerSlots
	}
	return (slots - ownerSlots) * float64(t.weight) / float64(weights-owner.weight)
}
