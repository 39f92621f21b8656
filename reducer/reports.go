package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

func runTimeOf(l leaser.Lease) time.Duration { return time.Duration(l.RunMS) * time.Millisecond }

// inventoryRead applies a worker's answer to a fence.
func (t *transition) inventoryRead(e InventoryRead) {
	if t.superseded(e.Inventory.Epoch) {
		return
	}
	if !t.hasEpoch() || e.Epoch != t.epoch {
		t.storeInventory(e.Inventory, e.SentAt)
		return
	}
	if e.Inventory.Epoch != t.epoch {
		return // from before the fence
	}
	old, ok := t.workers.Get(e.Inventory.Worker)
	if !ok {
		return
	}
	t.placementNeeded = t.placementNeeded || !old.usable(t.now)
	t.changeWorker(e.Inventory.Worker, func(w *worker) {
		w.fencePending = w.fencePending && w.lastFence.After(e.SentAt)
		w.inventoryWanted = w.inventoryWanted && w.lastFence.After(e.SentAt)
		if !w.fenced || !e.SentAt.Before(w.inventoryAt) {
			w.inventory = e.Inventory
		}
		w.fenced = true
		w.inventoryKnown = true
		w.inventoryAt = later(w.inventoryAt, e.SentAt)
	})
	t.setTimer(timerWorker, e.Inventory.Worker, t.now.Add(probeAfterSilence))
	if t.recovery.active {
		t.finishRecovery()
		return
	}
	if old.inventoryMatches && sameLeases(old.inventory, e.Inventory) {
		return
	}
	t.applyInventory(e.Inventory)
	t.endMissingLeases(e)
	t.compareInventory(e.Inventory.Worker)
}

// workerReported applies an inventory read by a renewing VM. It may be out of date,
// so a missing lease only causes the worker to be queried.
func (t *transition) workerReported(e WorkerReported) {
	at := t.now.Add(-e.Age)
	w, ok := t.workers.Get(e.Inventory.Worker)
	if ok && !at.After(w.inventoryAt) || t.superseded(e.Inventory.Epoch) {
		return
	}
	if !t.hasEpoch() || !ok || !w.fenced {
		t.storeInventory(e.Inventory, at)
		return
	}
	if e.Inventory.Epoch != t.epoch {
		return // read before the worker was fenced
	}
	n := w.clone()
	n.inventoryAt = at
	n.inventory = e.Inventory
	t.setWorker(n)
	t.placementNeeded = t.placementNeeded || n.usable(t.now) && !w.usable(t.now)
	if t.recovery.active || w.inventoryMatches && sameLeases(w.inventory, e.Inventory) {
		return
	}
	t.applyInventory(e.Inventory)
	t.compareInventory(e.Inventory.Worker)
}

// storeInventory stores an inventory without making decisions.
func (t *transition) storeInventory(i leaser.Inventory, at time.Time) {
	w, ok := t.workers.Get(i.Worker)
	n := &worker{id: i.Worker, rack: i.Rack, zone: i.Zone, unlistedAt: t.now}
	if ok {
		if !at.After(w.inventoryAt) {
			return
		}
		n = w.clone()
	}
	n.inventory = i
	n.inventoryKnown = true
	n.inventoryAt = at
	t.setWorker(n)
}

// sameLeases reports whether two inventories show the same capacity, and the same
// leases in the same states.
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

// applyInventory applies the state of each lease in an inventory. Lease states only
// move forward, so an old inventory does no harm.
func (t *transition) applyInventory(i leaser.Inventory) {
	for _, l := range i.Leases {
		if !t.hasEpoch() {
			return
		}
		h, ok := t.getHold(i.Worker, l.ID)
		switch {
		case l.State.Ended() && ok:
			t.taskEnded(i.Worker, l)
		case l.State.Ended():
		case !ok:
			t.addHold(i.Worker, holdOf(l, t.now))
			t.releaseLease(i.Worker, l.ID, t.now) // an unknown lease, such as one of a previous leader
		case !h.releasing:
			t.taskProgressed(i.Worker, l)
		}
	}
}

// taskProgressed applies a lease that shows a task as staged or running, as the
// answer to the command may have been lost.
func (t *transition) taskProgressed(worker string, l leaser.Lease) {
	if h, ok := t.getHold(worker, l.ID); ok && h.answeredAt.IsZero() {
		h.answeredAt = t.now
		t.setHold(worker, h)
	}
	g, ok := t.gangOfLease(worker, l.ID)
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

// endMissingLeases ends the leases that a worker does not show, although it answered
// a command on them well before it was queried.
func (t *transition) endMissingLeases(e InventoryRead) {
	w, ok := t.workers.Get(e.Inventory.Worker)
	if !ok {
		return
	}
	for _, h := range w.holds {
		if hasLease(e.Inventory, h.id) || h.answeredAt.IsZero() || !h.answeredAt.Add(maxInventoryLag).Before(e.SentAt) {
			continue
		}
		t.taskEnded(w.id, leaser.Lease{ID: h.id, State: leaser.StateExpired, Reason: "the worker does not know the lease"})
	}
}

func hasLease(i leaser.Inventory, id leaser.ID) bool {
	for _, l := range i.Leases {
		if l.ID == id {
			return true
		}
	}
	return false
}

// compareInventory records whether a worker's inventory shows exactly its holds, so
// that an identical report can be skipped. If a lease is missing, the worker itself
// is queried.
func (t *transition) compareInventory(id string) {
	w, ok := t.workers.Get(id)
	if !ok {
		return
	}
	matches := true
	leaseMissing := false
	for _, h := range w.holds {
		if h.releasing || h.answeredAt.IsZero() {
			matches = false
		}
		if !hasLease(w.inventory, h.id) {
			matches = false
			leaseMissing = leaseMissing || !h.answeredAt.IsZero()
		}
	}
	if matches != w.inventoryMatches {
		n := w.clone()
		n.inventoryMatches = matches
		t.setWorker(n)
	}
	if leaseMissing {
		t.requestInventory(id)
	}
}
