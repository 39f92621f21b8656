// Package queuer holds the requests that wait for a slot of a service, per
// organisation and class, and says early which cannot be answered in time.
//
// It decides only: it does no I/O, reads no clock and starts no goroutines.
package queuer

import (
	"container/heap"
	"slices"
	"time"
)

// Item is a request that waits.
type Item struct {
	Organisation string
	Weight       int // of the organisation
	Long         bool
	Held         bool          // short, but it cannot be stopped, so it gets no guaranteed slot of another
	Estimate     time.Duration // how long it will hold a slot
	Deadline     time.Time
	Avoid        []string // executors that were tried already
	AvoidZone    string
	Owner        any // the caller's own reference

	due   time.Time // half-way from the offer to the latest start
	queue *class
	index int // in the heap, -1 when it does not wait
	order uint64
}

// LatestStart is the time after which the request would miss its deadline.
func (i *Item) LatestStart() time.Time { return i.Deadline.Add(-i.Estimate) }

// Verdict says what became of an offered request.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "accepted"
	Full     Verdict = "queue-full"        // as many wait as may
	TooLate  Verdict = "deadline-too-near" // it would not be answered in time
)

const (
	// burstSlacks is how long a queue may stand, in slacks, before it is kept
	// short. With one slack, a load of twice what fits that lasted for two
	// deadlines had 61 % answered in time, where 77 % could be.
	burstSlacks = 4
	// standingPart divides the time that requests may wait in a queue that
	// stands. A quarter keeps the slots busy: goodput was that of the whole.
	standingPart = 4
)

// Queue holds the waiting requests of one service.
type Queue struct {
	Limit int // longest queue, in requests

	tenants []*tenant // sorted by organisation
	learned ratios
	length  int
	order   uint64
}

type tenant struct {
	organisation      string
	weight            int
	short, held, long class
}

func (t *tenant) length() int {
	return len(t.short.items) + len(t.held.items) + len(t.long.items)
}

// class returns the class of a request.
func (t *tenant) class(i *Item) *class {
	switch {
	case i.Long:
		return &t.long
	case i.Held:
		return &t.held
	default:
		return &t.short
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Waiting returns the number of waiting requests of an organisation, and how
// many of them are long.
func (q *Queue) Waiting(organisation string) (all, long int) {
	if i, ok := q.find(organisation); ok {
		return q.tenants[i].length(), len(q.tenants[i].long.items)
	}
	return 0, 0
}

// allowed returns how long a request may be expected to wait. A queue of short
// work that has not been empty for several slacks is no burst: it would only make
// all wait until they are nearly late, so it is kept short.
func (t *tenant) allowed(now time.Time, i *Item, slack time.Duration) time.Duration {
	c := t.class(i)
	if i.Long || len(c.items) == 0 || now.Sub(c.since) < burstSlacks*slack {
		return slack
	}
	return slack / standingPart
}

// Offer queues a request, or refuses it with the time after which to try again.
// When the queue is full, the organisation that is furthest above its weighted
// part of it gives way: its last request is returned as evicted.
func (q *Queue) Offer(now time.Time, i *Item, c Capacity) (v Verdict, retry time.Duration, evicted *Item) {
	t := q.tenant(i.Organisation, i.Weight)
	wait := q.wait(t, i, c)
	slack := i.LatestStart().Sub(now)
	if allowed := t.allowed(now, i, slack); wait > allowed {
		return TooLate, wait - max(allowed, 0), nil
	}
	if q.length >= q.Limit {
		evicted = q.evict(t)
		if evicted == nil {
			return Full, wait, nil
		}
	}
	i.due = now.Add(slack / 2)
	q.push(now, t, i)
	return Accepted, 0, evicted
}

// evict removes the last request of the tenant with the longest weighted queue,
// unless that is t itself.
func (q *Queue) evict(t *tenant) *Item {
	worst := t
	for _, o := range q.tenants {
		if (o.length()-1)*worst.weight > worst.length()*o.weight {
			worst = o
		}
	}
	if worst == t {
		return nil
	}
	for _, c := range []*class{&worst.long, &worst.held, &worst.short} {
		if len(c.items) > 0 {
			i := c.last()
			q.Remove(i)
			return i
		}
	}
	return nil
}

// Eligible reports whether a request may start now.
type Eligible func(i *Item) bool

// Next removes and returns the request that goes next: of the organisation with
// the lowest rank that has an eligible one, the request that is due first. It returns nil when none is eligible.
func (q *Queue) Next(eligible Eligible, rank func(organisation string) float64) *Item {
	var best *Item
	lowest := 0.0
	for _, t := range q.tenants {
		i := t.next(eligible)
		if i == nil {
			continue
		}
		if r := rank(t.organisation); best == nil || r < lowest {
			best = i
			lowest = r
		}
	}
	if best != nil {
		q.Remove(best)
	}
	return best
}

func (t *tenant) next(eligible Eligible) *Item {
	var best *Item
	for _, c := range [...]*class{&t.short, &t.held, &t.long} {
		if i := c.first(eligible); i != nil && (best == nil || before(i, best)) {
			best = i
		}
	}
	return best
}

// Remove takes a request out of the queue and reports whether it waited.
func (q *Queue) Remove(i *Item) bool {
	if i.queue == nil || i.index < 0 {
		return false
	}
	heap.Remove(i.queue, i.index)
	i.queue.work -= i.Estimate
	q.length--
	return true
}

func (q *Queue) push(now time.Time, t *tenant, i *Item) {
	q.order++
	i.order = q.order
	i.queue = t.class(i)
	if len(i.queue.items) == 0 {
		i.queue.since = now
	}
	heap.Push(i.queue, i)
	i.queue.work += i.Estimate
	q.length++
}

func (q *Queue) tenant(organisation string, weight int) *tenant {
	i, ok := q.find(organisation)
	if !ok {
		q.tenants = slices.Insert(q.tenants, i, &tenant{organisation: organisation})
	}
	q.tenants[i].weight = max(weight, 1)
	return q.tenants[i]
}

func (q *Queue) find(organisation string) (int, bool) {
	return slices.BinarySearchFunc(q.tenants, organisation, func(t *tenant, o string) int {
		switch {
		case t.organisation < o:
			return -1
		case t.organisation > o:
			return 1
		}
		return 0
	})
}
