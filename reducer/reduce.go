package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Reduce applies e to s at time now, and returns the next state and the effects to
// carry out. All control decisions are made here. It is deterministic: it does no I/O
// and reads no clock.
func Reduce(now time.Time, s State, e Event) (State, []Effect) {
	t := &transition{State: s, now: now}
	t.apply(e)
	if _, ok := e.(Ticked); ok {
		t.fireTimers()
	}
	if t.Leading() && t.passDue(e) {
		t.place()
	}
	t.elect()
	return t.State, t.effects
}

// passDue reports whether a placement pass runs now. A burst of events shares one
// pass at the next tick; a waiting urgent job triggers one earlier unless a pass has
// just run.
func (t *transition) passDue(e Event) bool {
	if _, ok := e.(Ticked); ok {
		return t.urgentWaiting || t.placementNeeded
	}
	return t.urgentWaiting && t.now.Sub(t.lastPass) >= urgentPassInterval
}

// transition is one call of Reduce: a copy of the state and the effects so far.
// Slices and pointers in the state are shared with earlier states, and are copied
// before they are modified.
type transition struct {
	State
	now     time.Time
	effects []Effect
	appends int // appends started in this transition
}

func (t *transition) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *transition) apply(e Event) {
	switch e := e.(type) {
	case Ticked:
		t.dropExpiredJobs()
		t.finishRecovery()
	case RecordRead:
		t.applyRecord(e)
	case CaughtUp:
		t.caughtUp(e)
	case LogChanged:
		t.logChanged(e)
	case AppendEnded:
		t.appendEnded(e)
	case ConfigChanged:
		t.configChanged(e)
	case PeersChanged:
		t.peersChanged(e)
	case WorkersListed:
		t.workersListed(e)
	case InventoryRead:
		t.inventoryRead(e)
	case WorkerReported:
		t.workerReported(e)
	case CommandEnded:
		t.commandEnded(e)
	}
}

// superseded records an epoch reported by a worker. If it is newer than the own
// epoch, it steps down and returns true.
func (t *transition) superseded(seen leaser.Epoch) bool {
	if t.seenEpoch.Less(seen) {
		t.seenEpoch = seen
	}
	if !t.hasEpoch() || !t.epoch.Less(seen) {
		return false
	}
	t.stepDown()
	return true
}

// stepDown gives up leadership at once.
func (t *transition) stepDown() {
	t.clearLeaderState()
	t.resetWorkers()
}
