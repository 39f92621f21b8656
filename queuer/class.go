package queuer

import "time"

// class is a heap of the waiting requests of one organisation and class, ordered by
// startsBefore.
type class struct {
	items         []*Item
	totalEstimate time.Duration // of all items
	nonEmptySince time.Time
}

// firstEligible returns the request that is due first, or nil if there is none or
// it is not eligible.
func (c *class) firstEligible(eligible Eligible) *Item {
	if len(c.items) == 0 || !eligible(c.items[0]) {
		return nil
	}
	return c.items[0]
}

// last returns the request that would start last.
func (c *class) last() *Item {
	l := c.items[0]
	for _, i := range c.items {
		if startsBefore(l, i) {
			l = i
		}
	}
	return l
}

// Len implements [heap.Interface].
func (c *class) Len() int { return len(c.items) }

// Less implements [heap.Interface].
func (c *class) Less(i, j int) bool { return startsBefore(c.items[i], c.items[j]) }

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

// startsBefore orders requests by due time, then by arrival. The due time leaves
// half of the slack in reserve: ordered by the latest start itself, long work
// beside a stream of short work started when most of it was already too late.
func startsBefore(a, b *Item) bool {
	if a.due.Equal(b.due) {
		return a.order < b.order
	}
	return a.due.Before(b.due)
}
