package measurer

import (
	"time"
)

// entry is something to be done at a time.
type entry struct {
	at     time.Time
	number int
	do     func()
}

// agenda is a heap of what is to be done, earliest first.
type agenda []entry

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].number < a[j].number
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push appends an entry, for package heap.
func (a *agenda) Push(x any) { *a = append(*a, x.(entry)) } //nolint:errcheck,forcetypeassert // the agenda holds nothing else

// Pop removes the last entry, for package heap.
func (a *agenda) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}
