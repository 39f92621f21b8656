package placer_test

import (
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

func ExamplePlace() {
	full := placer.Resources{MilliCores: 130_000, MemoryMB: 250_000, Accelerators: 8}
	part := placer.Resources{MilliCores: 60_000, MemoryMB: 120_000, Accelerators: 2}
	workers := []placer.Worker{
		{ID: "w1", Rack: "r1", Capacity: full, Free: full},
		{ID: "w2", Rack: "r1", Capacity: full, Free: part},
	}
	p, ok := placer.Place(placer.Request{
		Tasks:     2,
		PerTask:   placer.Resources{MilliCores: 8_000, MemoryMB: 16_000, Accelerators: 1},
		Adjacency: placer.AdjacencyRack,
	}, workers)
	fmt.Println(p, ok)
	// Output: [w2 w2] true
}

var full = placer.Resources{MilliCores: 32_000, MemoryMB: 64_000, Accelerators: 8}

// rebuild needs a whole worker.
var rebuild = placer.Request{Tasks: 8, PerTask: placer.Resources{Accelerators: 1}, Adjacency: placer.AdjacencyWorker}

func ExampleVictims() {
	workers := []placer.Worker{
		{ID: "w1", Rack: "r1", Capacity: full, Free: placer.Resources{Accelerators: 4}},
		{ID: "w2", Rack: "r1", Capacity: full, Free: placer.Resources{Accelerators: 6}},
	}
	victims, p, ok := placer.Victims(rebuild, workers, []placer.Borrower{
		{Job: "a", Cost: 900, Held: placer.AllocationsOf(placer.Placement{"w1", "w1", "w1", "w1"}, rebuild.PerTask)},
		{Job: "b", Cost: 1_200, Held: placer.AllocationsOf(placer.Placement{"w2"}, rebuild.PerTask)},
		{Job: "c", Cost: 60, Held: placer.AllocationsOf(placer.Placement{"w2"}, rebuild.PerTask)},
	})
	fmt.Println(len(victims), victims[0].Job, p[0], ok)
	// Output: 1 a w1 true
}

func ExampleReserve() {
	now := time.Date(2026, time.March, 2, 22, 0, 0, 0, time.UTC)
	workers := []placer.Worker{{ID: "w1", Rack: "r1", Capacity: full, Free: placer.Resources{Accelerators: 4}}}
	v, _ := placer.Reserve(now, rebuild, workers, []placer.Running{
		{Job: "a", Ends: now.Add(time.Hour), Held: placer.AllocationsOf(placer.Placement{"w1", "w1", "w1", "w1"}, rebuild.PerTask)},
	})
	fmt.Println(v.At.Format(time.TimeOnly))
	small := placer.Placement{"w1"}
	fmt.Println(v.Allows(now, small, rebuild.PerTask, 30*time.Minute))
	fmt.Println(v.Allows(now, small, rebuild.PerTask, 2*time.Hour))
	// Output:
	// 23:00:00
	// true
	// false
}

func ExampleFeasible() {
	workers := []placer.Worker{{ID: "w1", Rack: "r1", Capacity: full}, {ID: "w2", Rack: "r1", Capacity: full}}
	r := rebuild
	r.Tasks = 12
	fmt.Println(placer.Feasible(r, workers))
	// Output: place gang of 12 tasks with adjacency "worker": short of accelerators: nearest is worker "w1", which can hold 8 of 12 tasks when idle
}

func ExampleDefragment() {
	workers := []placer.Worker{
		{ID: "w1", Rack: "r1", Capacity: full, Free: placer.Resources{Accelerators: 7}},
		{ID: "w2", Rack: "r1", Capacity: full, Free: placer.Resources{Accelerators: 3}},
	}
	small := placer.Request{Tasks: 1, PerTask: placer.Resources{Accelerators: 1}, Adjacency: placer.AdjacencyNone}
	running := []placer.Movable{{Job: "a", Gang: small, At: placer.Placement{"w1"}, Cost: 20}}
	const saved = 8 * 600 // ten minutes of waiting for eight accelerators
	moves, p, ok := placer.Defragment(rebuild, workers, running, saved)
	fmt.Println(moves, p[0], ok)
	// Output: [{a [w2]}] w1 true
}
