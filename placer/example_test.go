package placer_test

import (
	"fmt"

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
