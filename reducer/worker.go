package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// worker is the state of a worker. It is immutable; changes are made on copies.
type worker struct {
	id         string
	rack       string
	zone       string
	listed     bool
	leaving    bool
	unlistedAt time.Time // when the platform stopped listing it

	inventory      leaser.Inventory // latest
	inventoryKnown bool             // at least one inventory was read
	inventoryAt    time.Time        // when the worker returned it

	// Leader state.
	fenced           bool      // under the own epoch, with its inventory read
	firstFence       time.Time // of this epoch, zero if there was none
	lastFence        time.Time
	fencePending     bool   // the result of the last fence is awaited
	inventoryWanted  bool   // the known inventory may be wrong, as when a late report lacks a lease
	holds            []hold // sorted by lease id
	used             placer.Resources
	inventoryMatches bool // the inventory shows exactly the leases in holds, and none is being released

	// Failures of the worker.
	failedJobs       []string // distinct jobs that failed on it since the last success
	quarantinedUntil time.Time
	quarantine       time.Duration // length of the last quarantine
	pausedUntil      time.Time     // gets no tasks until then, as it did not answer the leader
}

// hold is a lease that the leader assumes the worker to hold. The worker may not know
// it yet, or may have ended it.
type hold struct {
	id         leaser.ID
	owner      string // organisation
	resources  placer.Resources
	since      time.Time
	answeredAt time.Time // when the worker last answered a command on it, zero before

	// Release of the lease.
	releasing     bool
	stopAt        time.Time // it may checkpoint until then
	checkpointing bool      // the last command sent was a checkpoint
	retryAt       time.Time // when the command is sent again
}

func (w *worker) clone() *worker {
	n := *w
	return &n
}

// findHold returns the index of a lease in holds, and whether it is there.
func (w *worker) findHold(id leaser.ID) (int, bool) {
	return slices.BinarySearchFunc(w.holds, id, func(h hold, id leaser.ID) int { return leaser.Compare(h.id, id) })
}

// free returns the capacity that no hold uses.
func (w *worker) free() placer.Resources { return w.inventory.Capacity.Minus(w.used) }

// usable reports whether new tasks may be placed on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.fenced && w.listed && !w.leaving &&
		now.Sub(w.inventoryAt) <= unusableAfterSilence && !now.Before(w.quarantinedUntil) && !now.Before(w.pausedUntil)
}

// view returns the worker as input of the placer.
func (w *worker) view() placer.Worker {
	return placer.Worker{ID: w.id, Rack: w.rack, Zone: w.zone, Capacity: w.inventory.Capacity, Free: w.free()}
}

func (t *transition) setWorker(w *worker) {
	old, ok := t.workers.Get(w.id)
	if !ok || old.inventoryKnown != w.inventoryKnown || old.rack != w.rack || old.inventory.Capacity != w.inventory.Capacity {
		t.feasibleKeys = newTable[struct{}]()
	}
	t.workers = t.workers.Set(w.id, w)
}

// changeWorker applies a change to a copy of a worker. Unknown workers are ignored.
func (t *transition) changeWorker(id string, change func(*worker)) {
	if w, ok := t.workers.Get(id); ok {
		n := w.clone()
		change(n)
		t.setWorker(n)
	}
}

// addHold adds a hold to a worker unless it is already there.
func (t *transition) addHold(id string, h hold) {
	t.changeWorker(id, func(w *worker) {
		i, ok := w.findHold(h.id)
		if ok {
			return
		}
		w.holds = slices.Insert(slices.Clone(w.holds), i, h)
		w.used = w.used.Plus(h.resources)
		w.inventoryMatches = false
	})
}

// setHold replaces a hold of a worker.
func (t *transition) setHold(id string, h hold) {
	t.changeWorker(id, func(w *worker) {
		i, ok := w.findHold(h.id)
		if !ok {
			return
		}
		w.holds = slices.Clone(w.holds)
		w.holds[i] = h
		w.inventoryMatches = false
	})
}

// getHold returns a hold of a worker.
func (t *transition) getHold(id string, lease leaser.ID) (hold, bool) {
	w, ok := t.workers.Get(id)
	if !ok {
		return hold{}, false
	}
	i, ok := w.findHold(lease)
	if !ok {
		return hold{}, false
	}
	return w.holds[i], true
}

// dropHold removes a hold from a worker and frees its resources.
func (t *transition) dropHold(id string, lease leaser.ID) {
	t.changeWorker(id, func(w *worker) {
		i, ok := w.findHold(lease)
		if !ok {
			return
		}
		w.used = w.used.Minus(w.holds[i].resources)
		w.holds = slices.Delete(slices.Clone(w.holds), i, i+1)
		w.inventoryMatches = false
		t.placementNeeded = true
	})
}

// resetWorkers drops the leader state of all workers.
func (t *transition) resetWorkers() {
	for i := t.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		n := w.clone()
		n.fenced = false
		n.firstFence = time.Time{}
		n.lastFence = time.Time{}
		n.fencePending = false
		n.inventoryWanted = false
		n.holds = nil
		n.used = placer.Resources{}
		n.inventoryMatches = false
		t.setWorker(n)
	}
}

// workersListed applies the platform's list. Workers that are no longer listed keep
// their leases until these have ended.
func (t *transition) workersListed(e WorkersListed) {
	t.workerList = e.Workers
	for _, l := range e.Workers {
		t.listWorker(l)
	}
	for i := t.workers.Iterator(); !i.Done(); {
		id, w, _ := i.Next()
		_, ok := slices.BinarySearchFunc(e.Workers, id, func(l WorkerListed, id string) int { return cmp.Compare(l.ID, id) })
		if !ok && w.listed {
			n := w.clone()
			n.listed = false
			n.unlistedAt = t.now
			t.setWorker(n)
		}
	}
	t.finishRecovery()
}

func (t *transition) listWorker(l WorkerListed) {
	w, ok := t.workers.Get(l.ID)
	if ok && w.listed && w.rack == l.Rack && w.zone == l.Zone && w.leaving == l.Leaving {
		return
	}
	n := &worker{id: l.ID}
	if ok {
		n = w.clone()
	}
	n.listed = true
	n.rack = l.Rack
	n.zone = l.Zone
	n.leaving = l.Leaving
	t.setWorker(n)
	t.placementNeeded = true
	if t.hasEpoch() && !n.fenced {
		t.fence(n.id)
	}
}
