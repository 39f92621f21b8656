package scheduler_test

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	gpusOfMachine = 8
	moveTime      = 1500 * time.Millisecond
)

// switchedOff adds a machine to a pool whose machines are off.
func (w *world) switchedOff(pool, id string) {
	w.off = append(w.off, scheduler.Machine{
		ID: "m-" + id, Down: true, Pool: pool,
		Capacity: placer.Resources{MilliCores: 128000, MemoryMB: 262144, Accelerators: gpusOfMachine},
	})
}

// move moves a machine; it comes back as another worker, or is off.
func (w *world) move(f scheduler.MoveMachine) scheduler.Outcome {
	if w.unmovable[f.Machine] {
		return scheduler.OutcomeObsolete
	}
	if i := slices.IndexFunc(w.off, func(m scheduler.Machine) bool { return m.ID == f.Machine }); i >= 0 {
		w.off = slices.Delete(w.off, i, i+1)
		w.comeBack(f.Machine[len("m-"):], f.Pool)
		return scheduler.OutcomeDone
	}
	for id, v := range w.workers {
		if "m-"+machineOf(id) != f.Machine || !v.alive {
			continue
		}
		w.wasted += len(v.runs)
		v.alive, v.inList = false, false
		delete(w.workers, id)
		w.list()
		w.comeBack(id+"'", f.Pool)
		return scheduler.OutcomeDone
	}
	return scheduler.OutcomeUnhealthy
}

func (w *world) comeBack(id, pool string) {
	w.moves++
	if w.terms.Pools[pool] {
		w.switchedOff(pool, machineOf(id))
		return
	}
	w.queue = append(w.queue, delivery{at: w.now.Add(moveTime), do: func() { w.addTo(pool, id, "r1", gpusOfMachine) }})
}
