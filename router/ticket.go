package router

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/queuer"
)

// ticket is a request's place in the queue, and then its hold on a slot.
type ticket struct {
	item     queuer.Item
	ready    chan struct{} // closed when executor or refusal is set; nil when that was at once
	executor Executor
	refusal  *Refusal
	started  time.Time
	long     bool   // counted as long in the usage
	cancel   func() // ends the attempt that holds the slot; nil before it began
	stopped  bool   // the slot was reclaimed for the owner of the service

	list           *tickets // that it is in, nil for none
	next, previous *ticket  // in list
}

// work returns what the usage counts of t.
func (t *ticket) work() limiter.Work {
	w := work(&t.item)
	w.Long = t.long
	return w
}

func work(i *queuer.Item) limiter.Work {
	return limiter.Work{Organisation: i.Organisation, Long: i.Long, Held: i.Held}
}

// wake tells the waiting goroutine, if there is one yet.
func (t *ticket) wake() {
	if t.ready != nil {
		close(t.ready)
	}
}

// tickets is a list of tickets in the order in which they were added.
type tickets struct {
	first, last *ticket
}

func (l *tickets) add(t *ticket) {
	t.list = l
	t.next = nil
	t.previous = l.last
	if l.last != nil {
		l.last.next = t
	} else {
		l.first = t
	}
	l.last = t
}

// unlist takes t out of the list that it is in, if any.
func (t *ticket) unlist() {
	l := t.list
	if l == nil {
		return
	}
	t.list = nil
	if t.previous != nil {
		t.previous.next = t.next
	} else {
		l.first = t.next
	}
	if t.next != nil {
		t.next.previous = t.previous
	} else {
		l.last = t.previous
	}
	t.next, t.previous = nil, nil
}
