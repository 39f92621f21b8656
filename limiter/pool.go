package limiter

import (
	"slices"
	"time"
)

// LeavingExclusion is how long an executor that was reported as leaving gets no
// work, whatever the executor lists say. The lists lag by less than this.
const LeavingExclusion = 30 * time.Second

// Executor describes one executor.
type Executor struct {
	ID      string
	Zone    string // availability zone
	Slots   int    // slots owned by this VM
	Leaving bool   // gets no new work
}

// Choice constrains the executor that [Pool.Acquire] selects.
type Choice struct {
	Avoid     []string // executors already tried; selected only if no other executor is available
	AvoidZone string   // availability zone selected only if no other has a free slot, "" for none
	Zone      string   // preferred availability zone if AvoidZone is empty, "" for none
}

func (c Choice) prefers(zone string) bool {
	if c.AvoidZone != "" {
		return zone != c.AvoidZone
	}
	return c.Zone == "" || zone == c.Zone
}

// Pool tracks the executor slots of one service that this VM owns.
type Pool struct {
	entries []entry // sorted by id
	inUse   int
	slots   int // that may be in use, as of the last change
	cursor  int // index where the search for the next free slot starts
}

type entry struct {
	Executor

	inUse         int
	excludedUntil time.Time // end of LeavingExclusion
	health        health
}

// usable returns how many slots of e may be in use at now.
func (e *entry) usable(now time.Time) int {
	if e.Leaving || now.Before(e.excludedUntil) {
		return 0
	}
	return e.health.usable(now, e.Slots)
}

// Set replaces the executors. Slots in use stay counted, including those of
// executors that were removed or now have fewer slots.
func (p *Pool) Set(now time.Time, executors []Executor) {
	updated := make([]entry, 0, len(executors))
	for _, x := range executors {
		e := entry{Executor: x}
		if i, ok := p.find(x.ID); ok {
			old := p.entries[i]
			e.inUse = old.inUse
			e.excludedUntil = old.excludedUntil
			e.health = old.health
		}
		updated = append(updated, e)
	}
	slices.SortFunc(updated, func(a, b entry) int { return compare(a.ID, b.ID) })
	old := p.entries
	p.entries = updated
	for _, e := range old {
		if i, ok := p.find(e.ID); !ok && e.inUse > 0 {
			e.Slots = 0
			e.Leaving = true
			p.entries = slices.Insert(p.entries, i, e)
		}
	}
	p.updateSlots(now)
}

// Refresh recomputes the number of slots that may be in use at now.
func (p *Pool) Refresh(now time.Time) { p.updateSlots(now) }

// Slots returns the number of slots that may be in use, as of the last change.
func (p *Pool) Slots() int { return p.slots }

// InUse returns the number of slots in use.
func (p *Pool) InUse() int { return p.inUse }

// Available returns the number of executors that may get work at now.
func (p *Pool) Available(now time.Time) int {
	n := 0
	for i := range p.entries {
		if p.entries[i].usable(now) > 0 {
			n++
		}
	}
	return n
}

// Acquire takes a free slot and returns the id of its executor. It selects the
// executor with the lowest utilisation in the preferred availability zones, or
// in the others if those have no free slot.
func (p *Pool) Acquire(now time.Time, c Choice) (string, bool) {
	i := p.findSlot(now, c)
	if i < 0 {
		return "", false
	}
	e := &p.entries[i]
	e.inUse++
	p.inUse++
	p.cursor = i + 1
	return e.ID, true
}

// CanAcquire reports whether Acquire would find a slot.
func (p *Pool) CanAcquire(now time.Time, c Choice) bool { return p.findSlot(now, c) >= 0 }

func (p *Pool) findSlot(now time.Time, c Choice) int {
	n := len(p.entries)
	best := -1
	bestPreferred := false
	untried := false // an available executor was not tried yet
	for k := range n {
		i := (p.cursor + k) % n
		e := &p.entries[i]
		limit := e.usable(now)
		if limit == 0 {
			continue
		}
		if len(c.Avoid) > 0 && slices.Contains(c.Avoid, e.ID) {
			continue
		}
		untried = true
		if e.inUse >= limit {
			continue
		}
		preferred := c.prefers(e.Zone)
		if best < 0 || (preferred && !bestPreferred) || (preferred == bestPreferred && lessLoaded(e, &p.entries[best])) {
			best = i
			bestPreferred = preferred
		}
	}
	if best < 0 && !untried && len(c.Avoid) > 0 {
		return p.findSlot(now, Choice{AvoidZone: c.AvoidZone, Zone: c.Zone})
	}
	return best
}

// Release releases a slot of an executor.
func (p *Pool) Release(id string) {
	i, ok := p.find(id)
	if !ok || p.entries[i].inUse == 0 {
		return
	}
	p.entries[i].inUse--
	p.inUse--
	if p.entries[i].inUse == 0 && p.entries[i].Slots == 0 && p.entries[i].Leaving {
		p.entries = slices.Delete(p.entries, i, i+1)
	}
}

// MarkLeaving stops new work for an executor that was reported as leaving.
func (p *Pool) MarkLeaving(now time.Time, id string) {
	if i, ok := p.find(id); ok {
		p.entries[i].excludedUntil = now.Add(LeavingExclusion)
		p.updateSlots(now)
	}
}

// ReportResult records whether an attempt at an executor succeeded. An executor
// that fails repeatedly is ejected for a while. At most half of the executors
// are ejected: if more fail, the cause is probably not the executors.
func (p *Pool) ReportResult(now time.Time, id string, ok bool) {
	i, found := p.find(id)
	if !found {
		return
	}
	if h := &p.entries[i].health; ok {
		*h = health{}
	} else {
		h.recordFailure(now, 2*(p.ejected(now)+1) <= len(p.entries))
	}
	p.updateSlots(now)
}

func (p *Pool) ejected(now time.Time) int {
	n := 0
	for i := range p.entries {
		if p.entries[i].health.usable(now, 1) == 0 {
			n++
		}
	}
	return n
}

func (p *Pool) updateSlots(now time.Time) {
	p.slots = 0
	for i := range p.entries {
		p.slots += p.entries[i].usable(now)
	}
}

func (p *Pool) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.entries, id, func(e entry, id string) int { return compare(e.ID, id) })
}

// lessLoaded reports whether a has a lower utilisation than b.
func lessLoaded(a, b *entry) bool { return a.inUse*b.Slots < b.inUse*a.Slots }

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
