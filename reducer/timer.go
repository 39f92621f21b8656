package reducer

import (
	"fmt"
	"time"
)

// timerKind says what a timer looks at when it fires.
type timerKind string

const (
	timerGang   timerKind = "gang"   // a gang that is not steady
	timerWorker timerKind = "worker" // leases to be released, and silence
	timerAppend timerKind = "append" // a record to be appended
	timerKeep   timerKind = "keep"   // a job to be appended again before the log drops it
	timerPlace  timerKind = "place"  // a job may be placed from now on
	timerTerm   timerKind = "term"   // the term to be vouched for again
)

// timer is a moment at which something is to be looked at.
type timer struct {
	at   time.Time
	kind timerKind
	id   string
}

func (v timer) name() string { return string(v.kind) + " " + v.id }

// arm sets the one timer of a kind and id. An earlier one that is set stays.
func (t *turn) arm(kind timerKind, id string, at time.Time) {
	v := timer{at: at, kind: kind, id: id}
	name := v.name()
	if k, ok := t.armed.Get(name); ok {
		old, _ := t.timers.Get(k)
		if !at.Before(old.at) {
			return
		}
		t.timers = t.timers.Delete(k)
	}
	k := fmt.Sprintf("%019d %s", at.UnixNano(), name)
	t.timers = t.timers.Set(k, v)
	t.armed = t.armed.Set(name, k)
}

// fire looks at all that is due, in order of time.
func (t *turn) fire() {
	for t.holding() {
		k, v, ok := first(t.timers)
		if !ok || v.at.After(t.now) {
			return
		}
		t.timers = t.timers.Delete(k)
		t.armed = t.armed.Delete(v.name())
		t.fired(v)
	}
}

func (t *turn) fired(v timer) {
	switch v.kind {
	case timerGang:
		t.pokeGang(v.id)
	case timerWorker:
		t.pokeWorker(v.id)
	case timerAppend:
		t.pokeAppend(v.id)
	case timerKeep:
		t.keepJob(v.id)
	case timerPlace:
		t.placeable = true
	case timerTerm:
		t.vouch()
	}
}

// first returns the entry of the lowest key.
func first[V any](m table[V]) (string, V, bool) { return m.Iterator().Next() }
