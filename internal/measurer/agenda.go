package measurer

import (
	"time"
)

// event is a function to call at a time; seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// eventQueue is a min-heap of events by time.
type eventQueue []event

func (a eventQueue) Len() int { return len(a) }

func (a eventQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}

func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push appends an event, for package heap.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) } //nolint:errcheck,forcetypeassert // the queue holds only events

// Pop removes the last event, for package heap.
func (a *eventQueue) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}
