package reducer

import (
	"fmt"
	"time"
)

// timerKind selects what is checked when a timer fires.
type timerKind string

const (
	timerGang     timerKind = "gang"   // a gang that is starting
	timerWorker   timerKind = "worker" // leases to be released, and silence
	timerAppend   timerKind = "append" // a record to be appended
	timerReappend timerKind = "keep"   // a job to be appended again before the log drops it
	timerPlace    timerKind = "place"  // a time from which a job may be placed
	timerTerm     timerKind = "term"   // the term to be confirmed again
)

// timer schedules a check.
type timer struct {
	at   time.Time
	kind timerKind
	id   string
}

func (v timer) name() string { return string(v.kind) + " " + v.id }

// setTimer sets the timer of a kind and id. At most one is set; the earlier time
// wins.
func (t *transition) setTimer(kind timerKind, id string, at time.Time) {
	v := timer{at: at, kind: kind, id: id}
	name := v.name()
	if k, ok := t.timerKeys.Get(name); ok {
		old, _ := t.timers.Get(k)
		if !at.Before(old.at) {
			return
		}
		t.timers = t.timers.Delete(k)
	}
	k := fmt.Sprintf("%019d %s", at.UnixNano(), name)
	t.timers = t.timers.Set(k, v)
	t.timerKeys = t.timerKeys.Set(name, k)
}

// fireTimers handles all due timers, in order of time.
func (t *transition) fireTimers() {
	for t.hasEpoch() {
		k, v, ok := firstEntry(t.timers)
		if !ok || v.at.After(t.now) {
			return
		}
		t.timers = t.timers.Delete(k)
		t.timerKeys = t.timerKeys.Delete(v.name())
		t.handleTimer(v)
	}
}

func (t *transition) handleTimer(v timer) {
	switch v.kind {
	case timerGang:
		t.checkGang(v.id)
	case timerWorker:
		t.checkWorker(v.id)
	case timerAppend:
		t.checkAppend(v.id)
	case timerReappend:
		t.reappendJob(v.id)
	case timerPlace:
		t.placementNeeded = true
	case timerTerm:
		t.confirmTerm()
	}
}

// firstEntry returns the entry with the lowest key.
func firstEntry[V any](m table[V]) (string, V, bool) { return m.Iterator().Next() }
