package queuer

import "time"

// leastPart is the part of a slot that a tenant is reckoned to get when others
// have a right to all slots, for they may not use it for long.
const leastPart = 0.1

// ratioWeight is the weight of one run in the learned ratio of run times to
// estimates.
const ratioWeight = 1.0 / 64

// Capacity is what serves a queue.
type Capacity struct {
	Slots      int
	LongSlots  int    // how many of them long work may hold
	Owner      string // organisation with the guaranteed share
	Guaranteed int    // slots that are the owner's when it wants them
}

// ratios are mean run times divided by estimates, per class; 0 when unknown.
type ratios struct {
	short, long float64
}

// Learn notes how long a request ran that was estimated. Estimates are high
// quantiles, while a queue moves at the mean.
func (q *Queue) Learn(long bool, estimate, ran time.Duration) {
	if estimate <= 0 {
		return
	}
	r := &q.learned.short
	if long {
		r = &q.learned.long
	}
	got := ran.Seconds() / estimate.Seconds()
	if *r == 0 {
		*r = 1
	}
	*r += (got - *r) * ratioWeight
}

// work returns how long the waiting requests of a class hold slots, in sum.
func work(c *class, ratio float64) time.Duration {
	if ratio == 0 {
		return c.work
	}
	return time.Duration(float64(c.work) * ratio)
}

// Predict returns how long a request would wait if it were offered now, as
// [Queue.Offer] reckons.
func (q *Queue) Predict(i *Item, c Capacity) time.Duration {
	return q.wait(q.tenant(i.Organisation, i.Weight), i, c)
}

// wait predicts how long a request of a tenant waits: the work ahead
// of it, done by the tenant's part of the slots, and what is left of the work in
// them, which is at most one more round. Short work is taken as going ahead of
// long work, which it does until the long work is due.
func (q *Queue) wait(t *tenant, i *Item, c Capacity) time.Duration {
	held := work(&t.held, q.learned.short)
	sum := work(&t.short, q.learned.short) + held
	length := len(t.short.items) + len(t.held.items)
	slots := q.part(t, c)
	if i.Long {
		sum += work(&t.long, q.learned.long)
		length += len(t.long.items)
		slots = min(slots, float64(c.LongSlots))
	}
	if length == 0 {
		return 0
	}
	wait := time.Duration(float64(sum) / max(slots, leastPart))
	if i.Held && t.organisation != c.Owner {
		// Only its own class competes for the slots that are not guaranteed.
		wait = max(wait, time.Duration(float64(held)/max(min(slots, float64(c.Slots-c.Guaranteed)), leastPart)))
	}
	return sum/time.Duration(length) + wait
}

// part returns how many of the slots a tenant gets while all that have something
// waiting now go on.
func (q *Queue) part(t *tenant, c Capacity) float64 {
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
	owned := max(slots*float64(owner.weight)/float64(weights), float64(c.Guaranteed))
	if t == owner {
		return owned
	}
	return (slots - owned) * float64(t.weight) / float64(weights-owner.weight)
}
