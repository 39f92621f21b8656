package queuer

import "time"

// class is the heap of one organisation's waiting requests of one class, with
// the one that is due first in front.
type class struct {
	items []*Item
	work  time.Duration // sum of the estimates
	since time.Time     // when it was last empty
}

// first returns the request that goes first, or nil if it is not eligible.
func (c *class) first(eligible Eligible) *Item {
	if len(c.items) == 0 || !eligible(c.items[0]) {
		return nil
	}
	return c.items[0]
}

// last returns the request that would go last.
func (c *class) last() *Item {
	l := c.items[0]
	for _, i := range c.items {
		if before(l, i) {
			l = i
		}
	}
	return l
}

// Len implements [heap.Interface].
func (c *class) Len() int { return len(c.items) }

// Less implements [heap.Interface].
func (c *class) Less(i, j int) bool { return before(c.items[i], c.items[j]) }

// Swap implements [heap.Interface].
func (c *class) Swap(i, j int) {
	c.items[i], c.items[j] = c.items[j], c.items[i]
	c.items[i].index = i
	c.items[j].index = j
}

// Push implements [heap.Interface].
func (c *class) Push(x any) {
	i, ok := x.(*Item)
	if !ok {
		return
	}
	i.index = len(c.items)
	c.items = append(c.items, i)
}

// Pop implements [heap.Interface].
func (c *class) Pop() any {
	n := len(c.items) - 1
	i := c.items[n]
	c.items[n] = nil
	c.items = c.items[:n]
	i.index = -1
	return i
}

// before orders requests by when they are due, then by arrival. Half of the time
// until the latest start is kept in hand: ordered by the latest start itself, long
// work beside a stream of short work was started when most of it was too late.
func before(a, b *Item) bool {
	if a.due.Equal(b.due) {
		return a.order < b.order
	}
	return a.due.Before(b.due)
}
