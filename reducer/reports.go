package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

func runOf(l leaser.Lease) time.Duration { return time.Duration(l.RunMS) * time.Millisecond }

// inventoryRead takes the answer of a worker to a fence.
func (t *turn) inventoryRead(e InventoryRead) {
	if t.outranked(e.Inventory.Epoch) {
		return
	}
	if !t.holding() || e.Epoch != t.epoch {
		t.store(e.Inventory, e.Asked)
		return
	}
	if e.Inventory.Epoch != t.epoch {
		return // from before the fence
	}
	old, ok := t.workers.Get(e.Inventory.Worker)
	if !ok {
		return
	}
	t.placeable = t.placeable || !old.usable(t.now)
	t.changeWorker(e.Inventory.Worker, func(w *worker) {
		w.asking = w.asking && w.asked.After(e.Asked)
		w.doubt = w.doubt && w.asked.After(e.Asked)
		if !w.fenced || !e.Asked.Before(w.asOf) {
			w.inventory = e.Inventory
		}
		w.fenced = true
		w.known = true
		w.asOf = latest(w.asOf, e.Asked)
	})
	t.arm(timerWorker, e.Inventory.Worker, t.now.Add(silenceProbe))
	if t.recovery.active {
		t.recover()
		return
	}
	if old.steady && sameLeases(old.inventory, e.Inventory) {
		return
	}
	t.observe(e.Inventory)
	t.missing(e)
	t.compare(e.Inventory.Worker)
}

// workerReported takes what a renewing VM has read from a worker. It may be late,
// so a lease that is missing from it is only asked about.
func (t *turn) workerReported(e WorkerReported) {
	at := t.now.Add(-e.Age)
	w, ok := t.workers.Get(e.Inventory.Worker)
	if ok && !at.After(w.asOf) || t.outranked(e.Inventory.Epoch) {
		return
	}
	if !t.holding() || !ok || !w.fenced {
		t.store(e.Inventory, at)
		return
	}
	if e.Inventory.Epoch != t.epoch {
		return // read before the worker was fenced
	}
	n := w.clone()
	n.asOf = at
	n.inventory = e.Inventory
	t.setWorker(n)
	t.placeable = t.placeable || n.usable(t.now) && !w.usable(t.now)
	if t.recovery.active || w.steady && sameLeases(w.inventory, e.Inventory) {
		return
	}
	t.observe(e.Inventory)
	t.compare(e.Inventory.Worker)
}

// store keeps an inventory without deciding anything.
func (t *turn) store(i leaser.Inventory, at time.Time) {
	w, ok := t.workers.Get(i.Worker)
	n := &worker{id: i.Worker, rack: i.Rack, zone: i.Zone, goneAt: t.now}
	if ok {
		if !at.After(w.asOf) {
			return
		}
		n = w.clone()
	}
	n.inventory = i
	n.known = true
	n.asOf = at
	t.setWorker(n)
}

// sameLeases reports whether two inventories show the same leases in the same
// states.
func sameLeases(a, b leaser.Inventory) bool {
	if len(a.Leases) != len(b.Leases) || a.Capacity != b.Capacity {
		return false
	}
	for i := range a.Leases {
		if a.Leases[i].ID != b.Leases[i].ID || a.Leases[i].State != b.Leases[i].State {
			return false
		}
	}
	return true
}

// observe takes what an inventory shows of each lease. A lease only ever goes
// forward, so a late inventory does no harm.
func (t *turn) observe(i leaser.Inventory) {
	for _, l := range i.Leases {
		if !t.holding() {
			return
		}
		h, ok := t.getHold(i.Worker, l.ID)
		switch {
		case l.State.Ended() && ok:
			t.taskEnded(i.Worker, l)
		case l.State.Ended():
		case !ok:
			t.addHold(i.Worker, holdOf(l, t.now))
			t.release(i.Worker, l.ID, t.now) // a stray, such as one of an older leader
		case !h.releasing:
			t.progressed(i.Worker, l)
		}
	}
}

// progressed takes it that a task is staged or runs, as its answer got lost.
func (t *turn) progressed(worker string, l leaser.Lease) {
	if h, ok := t.getHold(worker, l.ID); ok && h.settled.IsZero() {
		h.settled = t.now
		t.setHold(worker, h)
	}
	g, ok := t.gangAt(worker, l.ID)
	if !ok {
		return
	}
	switch {
	case g.stage == stagePreparing && l.State == leaser.StatePrepared:
		t.taskPrepared(g, l.ID.Task)
	case g.stage == stageStarting && l.State == leaser.StateRunning:
		t.taskStarted(g, l.ID.Task)
	}
}

// missing takes it that a lease is over which the worker does not show, though it
// answered a command on it before it was asked.
func (t *turn) missing(e InventoryRead) {
	w, ok := t.workers.Get(e.Inventory.Worker)
	if !ok {
		return
	}
	for _, h := range w.holds {
		if shows(e.Inventory, h.id) || h.settled.IsZero() || !h.settled.Add(inventoryLag).Before(e.Asked) {
			continue
		}
		t.taskEnded(w.id, leaser.Lease{ID: h.id, State: leaser.StateLapsed, Reason: "the worker does not know it"})
	}
}

func shows(i leaser.Inventory, id leaser.ID) bool {
	for _, l := range i.Leases {
		if l.ID == id {
			return true
		}
	}
	return false
}

// compare notes whether a worker's report shows just what it is taken to hold, so
// that the same report need not be looked through again. When a lease is missing
// the worker itself is asked.
func (t *turn) compare(id string) {
	w, ok := t.workers.Get(id)
	if !ok {
		return
	}
	steady := true
	lacking := false
	for _, h := range w.holds {
		if h.releasing || h.settled.IsZero() {
			steady = false
		}
		if !shows(w.inventory, h.id) {
			steady = false
			lacking = lacking || !h.settled.IsZero()
		}
	}
	if steady != w.steady {
		n := w.clone()
		n.steady = steady
		t.setWorker(n)
	}
	if lacking {
		t.doubt(id)
	}
}
