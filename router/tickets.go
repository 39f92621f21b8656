package router

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
