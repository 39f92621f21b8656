package placer

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestInfeasibleErrorNamesShortResource guards against an error that names a
// resource or worker which is not the limit.
func TestInfeasibleErrorNamesShortResource(t *testing.T) {
	workers := []Worker{
		{ID: "w1", Rack: "r1", Capacity: Resources{MilliCores: 8, MemoryMB: 99, Accelerators: 8}},
		{ID: "w2", Rack: "r2", Capacity: Resources{MilliCores: 99, MemoryMB: 6, Accelerators: 8}},
		{ID: "w3", Rack: "r2", Capacity: Resources{MilliCores: 99, MemoryMB: 6, Accelerators: 4}},
	}
	for _, c := range []struct {
		name     string
		tasks    int
		need     Resources
		a        Adjacency
		resource string
		nearest  string
		fit      int
	}{
		{"accelerators of all workers", 21, Resources{Accelerators: 1}, AdjacencyNone, "accelerators", "", 20},
		{"accelerators of a rack", 13, Resources{Accelerators: 1}, AdjacencyRack, "accelerators", "r2", 12},
		{"cores of a worker", 9, Resources{MilliCores: 1, MemoryMB: 1}, AdjacencyWorker, "milli-cores", "w1", 8},
		{"memory of a worker", 9, Resources{MilliCores: 2, MemoryMB: 1, Accelerators: 1}, AdjacencyWorker, "memory-mb", "w2", 6},
		{"task larger than any worker", 1, Resources{MemoryMB: 100}, AdjacencyNone, "memory-mb", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			err := Feasible(Request{Tasks: c.tasks, PerTask: c.need, Adjacency: c.a}, workers)
			var miss *InfeasibleError
			i.True(errors.As(err, &miss))
			i.Equal(miss.Resource, c.resource)
			i.Equal(miss.Nearest, c.nearest)
			i.Equal(miss.Tasks, c.fit)
			i.NoErr(Feasible(Request{Tasks: max(c.fit, 1), PerTask: Resources{MilliCores: 1}, Adjacency: c.a}, workers))
		})
	}
	i := is.New(t)
	var miss *InfeasibleError
	i.True(errors.As(Feasible(Request{Tasks: 1}, nil), &miss)) // no workers
	i.Equal(Fragmentation(nil, nil), 0.0)
}

// TestFragmentationCountsUnusableAccelerators checks the fraction for each
// adjacency and for several gangs.
func TestFragmentationCountsUnusableAccelerators(t *testing.T) {
	i := is.New(t)
	one := Resources{Accelerators: 1}
	workers := []Worker{
		{ID: "w1", Rack: "r1", Free: one.Times(8)},
		{ID: "w2", Rack: "r1", Free: one.Times(3)},
		{ID: "w3", Rack: "r2", Free: one.Times(5)},
	}
	worker := Request{Tasks: 4, PerTask: one, Adjacency: AdjacencyWorker}
	rack := Request{Tasks: 11, PerTask: one, Adjacency: AdjacencyRack}
	i.Equal(Fragmentation(workers, []Request{worker}), 4.0/16) // 8 and 4 are usable
	i.Equal(Fragmentation(workers, []Request{rack}), 5.0/16)
	i.Equal(Fragmentation(workers, []Request{rack, worker}), 4.0/16) // the gang that can use more counts
	i.Equal(Fragmentation(workers, []Request{{Tasks: 1, PerTask: Resources{MilliCores: 1}}}), 0.0)
	i.Equal(Fragmentation(workers, []Request{{Tasks: 17, PerTask: one}}), 1.0)
}
