package router

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/queuer"
)

// ticket is a request's place in the queue, and then its hold on a slot.
type ticket struct {
	item     queuer.Item
	ready    chan struct{} // closed when executor or refusal is set; nil when that was at once
	executor Executor
	refusal  *Refusal
	started  time.Time
	long     bool // counted as long in the usage

	next, previous *ticket // in dispatcher.running
	listed         bool
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
	t.listed = true
	t.next = nil
	t.previous = l.last
	if l.last != nil {
		l.last.next = t
	} else {
		l.first = t
	}
	l.last = t
}

func (l *tickets) remove(t *ticket) {
	if !t.listed {
		return
	}
	t.listed = false
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
