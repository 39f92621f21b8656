package scheduler_test

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	machineGPUs     = 8
	machineMoveTime = 1500 * time.Millisecond
)

// addPoweredOff adds a switched-off machine to a pool.
func (w *world) addPoweredOff(pool, id string) {
	w.poweredOff = append(w.poweredOff, scheduler.Machine{
		ID: "m-" + id, Down: true, Pool: pool,
		Capacity: placer.Resources{MilliCores: 128000, MemoryMB: 262144, Accelerators: machineGPUs},
	})
}

// moveMachine moves a machine to a pool, where it is switched off or gets another
// worker.
func (w *world) moveMachine(f scheduler.MoveMachine) scheduler.Outcome {
	if w.unmovable[f.Machine] {
		return scheduler.OutcomeObsolete
	}
	if i := slices.IndexFunc(w.poweredOff, func(m scheduler.Machine) bool { return m.ID == f.Machine }); i >= 0 {
		w.poweredOff = slices.Delete(w.poweredOff, i, i+1)
		w.rejoinPool(f.Machine[len("m-"):], f.Pool)
		return scheduler.OutcomeDone
	}
	for id, v := range w.workers {
		if "m-"+machineOf(id) != f.Machine || !v.alive {
			continue
		}
		w.cutOffRuns += len(v.runs)
		v.alive, v.inList = false, false
		delete(w.workers, id)
		w.sendList()
		w.rejoinPool(id+"'", f.Pool)
		return scheduler.OutcomeDone
	}
	return scheduler.OutcomeUnhealthy
}

func (w *world) rejoinPool(id, pool string) {
	w.moves++
	if w.config.Pools[pool] {
		w.addPoweredOff(pool, machineOf(id))
		return
	}
	w.deliveries = append(w.deliveries, delivery{at: w.now.Add(machineMoveTime), do: func() { w.addWorkerTo(pool, id, "r1", machineGPUs) }})
}
