// Package partitioner decides to which partition of a topic a record is appended and when
// partitions are read. The store may lose some partitions while the others serve. It reads no
// clock and performs no I/O.
package partitioner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retryInterval is the time between two attempts on a partition that has failed. Appends go
	// elsewhere meanwhile, so an attempt needs to be neither frequent nor early.
	retryInterval = time.Second

	repeatsPerSecond = 10  // repeated appends by one VM: with 30 VMs, a quarter of the 1,200 writes a second of the store
	maxSavedRepeats  = 10  // unused ones that accumulate; more would cause a burst when an outage begins
	maxWaiting       = 256 // records that wait for another round: more than the budget can repeat within a deadline
)

// Partitioner tracks which partitions take appends. The zero value knows only partition 0.
type Partitioner struct {
	parts      int             // to which records may be appended
	failing    map[int]failure // by partition
	preferred  int             // partition other than 0 that took the last append, 0 for none
	repeats    float64         // repeated appends that may be made now
	refilled   time.Time       // when repeats was last increased
	waiting    int             // attempts that wait for another round
	recoveries int             // counts the calls of RecordReadable
}

// failure is the state of a partition whose last append failed or is not answered in time.
type failure struct {
	at      time.Time
	retryAt time.Time // earliest time of the next attempt by a record that may go elsewhere
}

// SetParts sets the number of partitions to which records may be appended: the leader reads
// jobs from these.
func (p *Partitioner) SetParts(n int) { p.parts = n }

// Parts returns the number of partitions to which records may be appended.
func (p *Partitioner) Parts() int { return max(1, p.parts) }

// InUse returns the partition that the next record is appended to first.
func (p *Partitioner) InUse() int {
	return p.order()[0]
}

// Failing reports whether the last append to a partition failed or is not answered in time.
func (p *Partitioner) Failing(part int) bool {
	_, ok := p.failing[part]
	return ok
}

// RecordFailure records that a partition fails, and reports whether it did not before.
func (p *Partitioner) RecordFailure(now time.Time, part int) bool {
	f, known := p.failing[part]
	f.at = now
	if !f.retryAt.After(now) {
		f.retryAt = now.Add(retryInterval)
	}
	if p.failing == nil {
		p.failing = map[int]failure{}
	}
	p.failing[part] = f
	return !known
}

// RecordSuccess records that a partition has taken an append, and reports whether it failed
// before.
func (p *Partitioner) RecordSuccess(part int) bool {
	_, failed := p.failing[part]
	delete(p.failing, part)
	if part != 0 {
		p.preferred = part
	}
	return failed
}

// RecordReadable records that a failing partition answers again, so that the next record tries
// it, and that those which wait may do so at once.
func (p *Partitioner) RecordReadable(now time.Time, part int) {
	p.repeats, p.refilled = max(p.repeats, float64(p.waiting), maxSavedRepeats), now
	p.recoveries++
	if f, ok := p.failing[part]; ok {
		f.at, f.retryAt = time.Time{}, now // before the other failing ones
		p.failing[part] = f
	}
}

// order returns all partitions: partition 0, the one that took the last append, the others; then
// the failing ones, the one first that failed the longest time ago.
func (p *Partitioner) order() []int {
	all := make([]int, p.Parts())
	for i := range all {
		all[i] = i
	}
	slices.SortStableFunc(all, func(a, b int) int {
		return cmp.Or(
			firstIf(!p.Failing(a), !p.Failing(b)), p.failing[a].at.Compare(p.failing[b].at),
			firstIf(a == 0, b == 0), firstIf(a == p.preferred, b == p.preferred))
	})
	return all
}

// firstIf orders what has a property before what has not.
func firstIf(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// candidates returns the partitions in the order in which a record tries them. If a retry of
// failing partition 0 is due, it comes first, for this record only.
func (p *Partitioner) candidates(now time.Time) []int {
	all := p.order()
	f, ok := p.failing[0]
	if !ok || now.Before(f.retryAt) {
		return all
	}
	f.retryAt = now.Add(retryInterval)
	p.failing[0] = f
	return append([]int{0}, slices.DeleteFunc(all, func(part int) bool { return part == 0 })...)
}

// spendRepeat takes a repeated append from the budget and reports whether one was left.
func (p *Partitioner) spendRepeat(now time.Time) bool {
	if p.refilled.IsZero() {
		p.refilled, p.repeats = now, maxSavedRepeats
	}
	if d := now.Sub(p.refilled); d > 0 {
		p.repeats = max(p.repeats, min(maxSavedRepeats, p.repeats+repeatsPerSecond*d.Seconds()))
		p.refilled = now
	}
	if p.repeats < 1 {
		return false
	}
	p.repeats--
	return true
}
