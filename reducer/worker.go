package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// worker is what is known of a worker. It is never changed in place.
type worker struct {
	id      string
	rack    string
	zone    string
	listed  bool
	leaving bool
	goneAt  time.Time // since when it isn't listed

	inventory leaser.Inventory // the newest one
	known     bool             // an inventory was seen at all
	asOf      time.Time        // when the worker gave it

	// What only a leader keeps.
	fenced  bool      // by the own epoch, with its inventory read
	triedAt time.Time // first fence of the epoch, zero before
	asked   time.Time // last fence
	asking  bool      // its result is awaited
	doubt   bool      // a lease is missing from a report, which may be late
	holds   []hold    // sorted by lease id
	used    placer.Resources
	steady  bool // the inventory shows just the leases in holds, and none is released

	// Faults of the worker.
	failed   []string // different jobs that failed since one succeeded
	until    time.Time
	sentence time.Duration // length of the last quarantine
	shunned  time.Time     // until when it gets no tasks, as it did not answer the leader
}

// hold is a lease that the leader takes the worker to hold, though the worker may
// not know it yet or have ended it.
type hold struct {
	id        leaser.ID
	owner     string // organisation
	resources placer.Resources
	since     time.Time
	settled   time.Time // when the worker last answered a command on it, zero before

	// Of a lease that is being released.
	releasing     bool
	stopAt        time.Time // until then it is checkpointed
	checkpointing bool      // a checkpoint was sent last
	retryAt       time.Time // when the command is sent again
}

func (w *worker) clone() *worker {
	n := *w
	return &n
}

// find returns the place of a lease in holds, and whether it is there.
func (w *worker) find(id leaser.ID) (int, bool) {
	return slices.BinarySearchFunc(w.holds, id, func(h hold, id leaser.ID) int { return leaser.Compare(h.id, id) })
}

// free returns what no hold takes.
func (w *worker) free() placer.Resources { return w.inventory.Capacity.Minus(w.used) }

// usable reports whether new tasks may be placed on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.fenced && w.listed && !w.leaving &&
		now.Sub(w.asOf) <= silenceUsable && !now.Before(w.until) && !now.Before(w.shunned)
}

// view is the worker as the placer sees it.
func (w *worker) view() placer.Worker {
	return placer.Worker{ID: w.id, Rack: w.rack, Zone: w.zone, Capacity: w.inventory.Capacity, Free: w.free()}
}

func (t *turn) setWorker(w *worker) {
	old, ok := t.workers.Get(w.id)
	if !ok || old.known != w.known || old.rack != w.rack || old.inventory.Capacity != w.inventory.Capacity {
		t.possible = newTable[struct{}]()
	}
	t.workers = t.workers.Set(w.id, w)
}

// changeWorker applies a change to a copy of a worker, if it is known.
func (t *turn) changeWorker(id string, change func(*worker)) {
	if w, ok := t.workers.Get(id); ok {
		n := w.clone()
		change(n)
		t.setWorker(n)
	}
}

// addHold adds a lease to those that a worker holds.
func (t *turn) addHold(id string, h hold) {
	t.changeWorker(id, func(w *worker) {
		i, ok := w.find(h.id)
		if ok {
			return
		}
		w.holds = slices.Insert(slices.Clone(w.holds), i, h)
		w.used = w.used.Plus(h.resources)
		w.steady = false
	})
}

// setHold replaces a lease that a worker holds.
func (t *turn) setHold(id string, h hold) {
	t.changeWorker(id, func(w *worker) {
		i, ok := w.find(h.id)
		if !ok {
			return
		}
		w.holds = slices.Clone(w.holds)
		w.holds[i] = h
		w.steady = false
	})
}

// getHold returns a lease that a worker holds.
func (t *turn) getHold(id string, lease leaser.ID) (hold, bool) {
	w, ok := t.workers.Get(id)
	if !ok {
		return hold{}, false
	}
	i, ok := w.find(lease)
	if !ok {
		return hold{}, false
	}
	return w.holds[i], true
}

// dropHold takes a lease off a worker; its resources are free.
func (t *turn) dropHold(id string, lease leaser.ID) {
	t.changeWorker(id, func(w *worker) {
		i, ok := w.find(lease)
		if !ok {
			return
		}
		w.used = w.used.Minus(w.holds[i].resources)
		w.holds = slices.Delete(slices.Clone(w.holds), i, i+1)
		w.steady = false
		t.placeable = true
	})
}

// forgetHolds drops what only a leader knows of workers.
func (t *turn) forgetHolds() {
	for i := t.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		n := w.clone()
		n.fenced = false
		n.triedAt = time.Time{}
		n.asked = time.Time{}
		n.asking = false
		n.doubt = false
		n.holds = nil
		n.used = placer.Resources{}
		n.steady = false
		t.setWorker(n)
	}
}

// workersListed takes the platform's list. Workers that it no longer names keep
// their leases until these are over.
func (t *turn) workersListed(e WorkersListed) {
	t.listed = e.Workers
	for _, l := range e.Workers {
		t.listWorker(l)
	}
	for i := t.workers.Iterator(); !i.Done(); {
		id, w, _ := i.Next()
		_, ok := slices.BinarySearchFunc(e.Workers, id, func(l WorkerListed, id string) int { return cmp.Compare(l.ID, id) })
		if !ok && w.listed {
			n := w.clone()
			n.listed = false
			n.goneAt = t.now
			t.setWorker(n)
		}
	}
	t.recover()
}

func (t *turn) listWorker(l WorkerListed) {
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
	t.placeable = true
	if t.holding() && !n.fenced {
		t.fence(n.id)
	}
}
