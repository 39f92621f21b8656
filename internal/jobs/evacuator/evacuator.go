// Package evacuator decides from the operator's records which availability zones are
// evacuated, and since when.
package evacuator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Record is the state of the record of a zone at an offset of the operator's topic.
type Record struct {
	Zone    string
	Offset  int64
	Present bool // false for a deletion
}

// Batch is the result of one read of the topic.
type Batch struct {
	Records  []Record
	Snapshot bool  // Records hold every present record with an offset before Next
	Next     int64 // offset of the next record
}

// Evacuation is a zone in which nothing may be started.
type Evacuation struct {
	Zone   string
	Offset int64     // of the newest record
	Since  time.Time // when this VM first read a record that was not removed since
}

// state is the newest known state of the record of a zone. That of a removed record is kept:
// an older read may arrive later.
type state struct {
	offset  int64
	present bool
	since   time.Time
}

// Evacuator holds what the records say. It is immutable; the zero value knows of no record.
type Evacuator struct {
	revision int64
	zones    map[string]state
}

// Revision returns a number that increases with each change of Evacuations.
func (e Evacuator) Revision() int64 { return e.revision }

// With returns the state after a read. Reads may overlap and arrive in any order: for each
// zone the newest offset counts.
func (e Evacuator) With(now time.Time, b Batch) Evacuator {
	n := Evacuator{revision: e.revision, zones: maps.Clone(e.zones)}
	if n.zones == nil {
		n.zones = map[string]state{}
	}
	for _, r := range b.Records {
		n.apply(now, r)
	}
	if b.Snapshot {
		n.removeMissing(b)
	}
	if !maps.Equal(e.zones, n.zones) {
		n.revision++
	}
	return n
}

func (e Evacuator) apply(now time.Time, r Record) {
	old, known := e.zones[r.Zone]
	if known && r.Offset <= old.offset {
		return
	}
	n := state{offset: r.Offset, present: r.Present}
	if r.Present {
		n.since = now
		if old.present {
			n.since = old.since
		}
	}
	e.zones[r.Zone] = n
}

// removeMissing removes the zones whose records are older than a snapshot that lacks them.
func (e Evacuator) removeMissing(b Batch) {
	for zone, v := range e.zones {
		inSnapshot := slices.ContainsFunc(b.Records, func(r Record) bool { return r.Zone == zone })
		if v.present && v.offset < b.Next && !inSnapshot {
			e.zones[zone] = state{offset: b.Next - 1}
		}
	}
}

// Evacuated reports whether a zone is evacuated.
func (e Evacuator) Evacuated(zone string) bool { return e.zones[zone].present }

// Evacuations returns the evacuated zones, sorted by name.
func (e Evacuator) Evacuations() []Evacuation {
	var all []Evacuation
	for zone, v := range e.zones {
		if v.present {
			all = append(all, Evacuation{Zone: zone, Offset: v.offset, Since: v.since})
		}
	}
	slices.SortFunc(all, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return all
}
