package router

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/queuer"
)

// ticket is the queue entry of a request and then the record of its slot.
type ticket struct {
	item      queuer.Item
	ready     chan struct{} // closed when executor or refusal is set; nil if the request need not wait
	executor  Executor
	refusal   *Refusal
	started   time.Time
	long      bool   // counted as long work in the usage
	cancel    func() // cancels the attempt that holds the slot; nil before it starts
	preempted bool   // told to release its slot to the owner of the service or, for a hedge, to a waiting request

	list           *ticketList // that contains this ticket; nil for none
	next, previous *ticket     // in list
}

// work returns the work of t as the usage counts it.
func (t *ticket) work() limiter.Work {
	w := work(&t.item)
	w.Long = t.long
	return w
}

func work(i *queuer.Item) limiter.Work {
	return limiter.Work{Organisation: i.Organisation, Long: i.Long, NonPreemptible: i.NonPreemptible}
}

// notify wakes the waiting goroutine, if there is one.
func (t *ticket) notify() {
	if t.ready != nil {
		close(t.ready)
	}
}

// ticketList is a linked list of tickets in insertion order.
type ticketList struct {
	first, last *ticket
}

func (l *ticketList) add(t *ticket) {
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

// unlink removes t from its list, if it is in one.
func (t *ticket) unlink() {
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
