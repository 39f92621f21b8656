package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Reduce returns the state that follows s after e, and what is to be done. It is
// the only place where control decisions are made; it does no I/O and reads no
// clock, and the same arguments give the same results.
func Reduce(now time.Time, s State, e Event) (State, []Effect) {
	t := &turn{State: s, now: now}
	t.take(e)
	if _, ok := e.(Ticked); ok {
		t.fire()
	}
	if t.Leading() && t.due(e) {
		t.place()
	}
	t.elect()
	return t.State, t.effects
}

// due reports whether a placement pass is made now. A wave of events shares one at
// the next tick; urgent jobs wait for that only if a pass was just made.
func (t *turn) due(e Event) bool {
	if _, ok := e.(Ticked); ok {
		return t.urgent || t.placeable
	}
	return t.urgent && t.now.Sub(t.passed) >= urgentPause
}

// turn is one call of Reduce: its own copy of the state, and the effects so far.
// Slices and pointers in the state are shared with older states and are copied
// before they are changed.
type turn struct {
	State
	now     time.Time
	effects []Effect
	appends int // made in this turn
}

func (t *turn) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *turn) take(e Event) {
	switch e := e.(type) {
	case Ticked:
		t.forgetEnded()
		t.recover()
	case RecordRead:
		t.record(e)
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

// outranked notes an epoch that a worker has seen, and gives up leadership when it
// is newer than the own one.
func (t *turn) outranked(seen leaser.Epoch) bool {
	if t.shown.Less(seen) {
		t.shown = seen
	}
	if !t.holding() || !t.epoch.Less(seen) {
		return false
	}
	t.resign()
	return true
}

// resign stops deciding at once.
func (t *turn) resign() {
	t.clearLead()
	t.forgetHolds()
}
