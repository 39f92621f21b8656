// Package queuer queues the requests that wait for a slot of a service, per
// organisation and class, and rejects those that cannot be answered in time.
//
// The package does no I/O, reads no clock and starts no goroutines.
package queuer

import (
	"container/heap"
	"slices"
	"time"
)

// Item is a waiting request.
type Item struct {
	Organisation   string
	Weight         int // of the organisation
	Long           bool
	NonPreemptible bool          // short, but it cannot be stopped, so it gets no guaranteed slot of another organisation
	Estimate       time.Duration // how long it will hold a slot
	Deadline       time.Time
	Avoid          []string // executors already tried
	AvoidZone      string   // availability zone to avoid, "" for none
	UserData       any      // reference of the package's user to the request

	due   time.Time // halfway between enqueueing and the latest start
	queue *class
	index int    // in the heap, -1 if it is not queued
	order uint64 // of arrival
}

// LatestStart is the time after which the request would miss its deadline.
func (i *Item) LatestStart() time.Time { return i.Deadline.Add(-i.Estimate) }

// Verdict is the result of enqueueing a request.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "accepted"
	Full     Verdict = "queue-full"        // the queue has reached its limit
	TooLate  Verdict = "deadline-too-near" // the request would not be answered in time
)

const (
	// maxBurstSlacks is how long a queue may be non-empty before it counts as
	// standing and is kept short, in multiples of the slack, which is the time
	// until the latest start. With one slack, 61 % of the requests of an overload
	// of twice the capacity for two deadlines were answered in time; 77 % could be.
	maxBurstSlacks = 4
	// standingDivisor divides the time that requests may wait in a standing queue.
	// A quarter keeps the slots busy: goodput is the same as with the whole slack.
	standingDivisor = 4
)

// Queue holds the waiting requests of one service.
type Queue struct {
	Limit int // maximum length, in requests

	tenants   []*tenant // sorted by organisation
	runRatios ratios
	length    int
	order     uint64
}

// tenant holds the waiting requests of one organisation.
type tenant struct {
	organisation                string
	weight                      int
	short, nonPreemptible, long class
}

func (t *tenant) length() int {
	return len(t.short.items) + len(t.nonPreemptible.items) + len(t.long.items)
}

// class returns the class of a request.
func (t *tenant) class(i *Item) *class {
	switch {
	case i.Long:
		return &t.long
	case i.NonPreemptible:
		return &t.nonPreemptible
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

// maxWait returns the longest predicted wait with which a request is accepted. A
// queue of short work that has been non-empty for several slacks is not a burst:
// it would only delay all requests until they nearly miss their deadlines, so it
// is kept short.
func (t *tenant) maxWait(now time.Time, i *Item, slack time.Duration) time.Duration {
	c := t.class(i)
	if i.Long || len(c.items) == 0 || now.Sub(c.nonEmptySince) < maxBurstSlacks*slack {
		return slack
	}
	return slack / standingDivisor
}

// Enqueue queues a request, or rejects it and returns the time after which to
// retry. If the queue is full and another organisation exceeds its weighted share
// of it most, the last request of that organisation is removed and returned as
// evicted.
func (q *Queue) Enqueue(now time.Time, i *Item, c Capacity) (v Verdict, retry time.Duration, evicted *Item) {
	t := q.tenant(i.Organisation, i.Weight)
	wait := q.predictWait(t, i, c)
	slack := i.LatestStart().Sub(now)
	if allowed := t.maxWait(now, i, slack); wait > allowed {
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

// evict removes and returns the last request of the tenant with the longest queue
// relative to its weight. It returns nil if that tenant is t itself.
func (q *Queue) evict(t *tenant) *Item {
	longest := t
	for _, o := range q.tenants {
		if (o.length()-1)*longest.weight > longest.length()*o.weight {
			longest = o
		}
	}
	if longest == t {
		return nil
	}
	for _, c := range []*class{&longest.long, &longest.nonPreemptible, &longest.short} {
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

// Next removes and returns the request to start next: of the organisations with an
// eligible request, the one with the lowest rank is chosen, and of its requests
// the one that is due first. It returns nil if no request is eligible.
func (q *Queue) Next(eligible Eligible, rank func(organisation string) float64) *Item {
	var best *Item
	lowestRank := 0.0
	for _, t := range q.tenants {
		i := t.next(eligible)
		if i == nil {
			continue
		}
		if r := rank(t.organisation); best == nil || r < lowestRank {
			best = i
			lowestRank = r
		}
	}
	if best != nil {
		q.Remove(best)
	}
	return best
}

func (t *tenant) next(eligible Eligible) *Item {
	var best *Item
	for _, c := range [...]*class{&t.short, &t.nonPreemptible, &t.long} {
		if i := c.firstEligible(eligible); i != nil && (best == nil || startsBefore(i, best)) {
			best = i
		}
	}
	return best
}

// Remove removes a request from the queue and reports whether it was queued.
func (q *Queue) Remove(i *Item) bool {
	if i.queue == nil || i.index < 0 {
		return false
	}
	heap.Remove(i.queue, i.index)
	i.queue.totalEstimate -= i.Estimate
	q.length--
	return true
}

func (q *Queue) push(now time.Time, t *tenant, i *Item) {
	q.order++
	i.order = q.order
	i.queue = t.class(i)
	if len(i.queue.items) == 0 {
		i.queue.nonEmptySince = now
	}
	heap.Push(i.queue, i)
	i.queue.totalEstimate += i.Estimate
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
