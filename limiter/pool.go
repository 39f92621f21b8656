package limiter

import (
	"slices"
	"time"
)

// LeaveHold is how long an executor that was seen leaving gets no work although
// the lists still show it; they lag, but not this long.
const LeaveHold = 30 * time.Second

// Executor is what the pool knows of one executor.
type Executor struct {
	ID      string
	Zone    string // availability zone
	Slots   int    // slots owned by this VM
	Leaving bool
}

// Choice narrows which executor is taken.
type Choice struct {
	Avoid     []string // executors that were tried already; taken only if there is no other executor
	AvoidZone string   // zone that is taken only if no other zone has a free slot, "" for none
	Zone      string   // zone that is taken first if there is none to avoid, "" for none
}

func (c Choice) prefers(zone string) bool {
	if c.AvoidZone != "" {
		return zone != c.AvoidZone
	}
	return c.Zone == "" || zone == c.Zone
}

// Pool counts the slots of the executors of one service that this VM owns.
type Pool struct {
	entries []entry // sorted by id
	inUse   int
	slots   int
	cursor  int // where the search for the next free slot starts
}

type entry struct {
	Executor

	inUse     int
	leftUntil time.Time // no work before this time, whatever the lists say
	health    health
}

// usable returns how many slots of e may be in use at now.
func (e *entry) usable(now time.Time) int {
	if e.Leaving || now.Before(e.leftUntil) {
		return 0
	}
	return e.health.limit(now, e.Slots)
}

// Set replaces the executors. Slots in use stay counted, also those of
// executors that are gone or own fewer slots now.
func (p *Pool) Set(now time.Time, executors []Executor) {
	next := make([]entry, 0, len(executors))
	for _, x := range executors {
		e := entry{Executor: x}
		if i, ok := p.find(x.ID); ok {
			old := p.entries[i]
			e.inUse = old.inUse
			e.leftUntil = old.leftUntil
			e.health = old.health
		}
		next = append(next, e)
	}
	slices.SortFunc(next, func(a, b entry) int { return compare(a.ID, b.ID) })
	old := p.entries
	p.entries = next
	for _, e := range old {
		if i, ok := p.find(e.ID); !ok && e.inUse > 0 {
			e.Slots = 0
			e.Leaving = true
			p.entries = slices.Insert(p.entries, i, e)
		}
	}
	p.recount(now)
}

// Refresh counts anew the slots that may be used at now.
func (p *Pool) Refresh(now time.Time) { p.recount(now) }

// Slots returns the number of slots that may be in use, as of the last change.
func (p *Pool) Slots() int { return p.slots }

// InUse returns the number of slots in use.
func (p *Pool) InUse() int { return p.inUse }

// Known returns the number of executors that may get work.
func (p *Pool) Known(now time.Time) int {
	n := 0
	for i := range p.entries {
		if p.entries[i].usable(now) > 0 {
			n++
		}
	}
	return n
}

// Take takes a free slot and returns the id of its executor. In the zone that is
// preferred, and then in the others, it takes the executor with the smallest part of its slots in use.
func (p *Pool) Take(now time.Time, c Choice) (string, bool) {
	i := p.best(now, c)
	if i < 0 {
		return "", false
	}
	e := &p.entries[i]
	e.inUse++
	p.inUse++
	p.cursor = i + 1
	return e.ID, true
}

// CanTake reports whether Take would find a slot.
func (p *Pool) CanTake(now time.Time, c Choice) bool { return p.best(now, c) >= 0 }

func (p *Pool) best(now time.Time, c Choice) int {
	n := len(p.entries)
	best := -1
	bestZone := false
	fresh := false // an executor exists that was not tried
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
		fresh = true
		if e.inUse >= limit {
			continue
		}
		zone := c.prefers(e.Zone)
		if best < 0 || (zone && !bestZone) || (zone == bestZone && lessLoaded(e, &p.entries[best])) {
			best = i
			bestZone = zone
		}
	}
	if best < 0 && !fresh && len(c.Avoid) > 0 {
		return p.best(now, Choice{AvoidZone: c.AvoidZone, Zone: c.Zone})
	}
	return best
}

// Give returns a slot of an executor.
func (p *Pool) Give(id string) {
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

// Leave stops new work for an executor that was seen leaving.
func (p *Pool) Leave(now time.Time, id string) {
	if i, ok := p.find(id); ok {
		p.entries[i].leftUntil = now.Add(LeaveHold)
		p.recount(now)
	}
}

// Report tells how an attempt at an executor ended. An executor that only fails
// is left out for a while, but never more than half of them: then the fault is
// hardly theirs.
func (p *Pool) Report(now time.Time, id string, ok bool) {
	i, found := p.find(id)
	if !found {
		return
	}
	if h := &p.entries[i].health; ok {
		*h = health{}
	} else {
		h.fail(now, 2*(p.barred(now)+1) <= len(p.entries))
	}
	p.recount(now)
}

func (p *Pool) barred(now time.Time) int {
	n := 0
	for i := range p.entries {
		if p.entries[i].health.limit(now, 1) == 0 {
			n++
		}
	}
	return n
}

func (p *Pool) recount(now time.Time) {
	p.slots = 0
	for i := range p.entries {
		p.slots += p.entries[i].usable(now)
	}
}

func (p *Pool) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.entries, id, func(e entry, id string) int { return compare(e.ID, id) })
}

// lessLoaded reports whether a has a smaller part of its slots in use than b.
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
