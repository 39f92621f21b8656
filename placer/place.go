package placer

import (
	"cmp"
	"slices"
)

// Place chooses a worker for each task of r, or reports that none can be found
// now. The workers are sorted by id; equal inputs give equal placements.
//
// It finds a placement whenever one exists. It keeps the tasks together in the
// smallest hole that holds them, and breaks into a worker with all its
// accelerators free only when no hole does.
func Place(r Request, workers []Worker) (Placement, bool) {
	if r.Tasks <= 0 || !mayFit(r, workers) {
		return nil, false
	}
	x := newIndex(r, workers)
	switch r.Adjacency {
	case AdjacencyWorker:
		return x.placeOnWorker()
	case AdjacencyRack:
		return x.placeInRack()
	case AdjacencyNone:
		return x.placeAnywhere()
	default:
		return x.placeAnywhere()
	}
}

// mayFit reports whether there is room for r, leaving racks out of account. Most
// requests that wait for room are turned down here, which allocates nothing.
func mayFit(r Request, workers []Worker) bool {
	total := 0
	for i := range workers {
		n := min(Count(r.PerTask, workers[i].Free), r.Tasks)
		if r.Adjacency != AdjacencyWorker {
			total += n
		}
		if max(n, total) >= r.Tasks {
			return true
		}
	}
	return false
}

// candidate is a worker that can hold at least one task of a request.
type candidate struct {
	worker   int // position in the list of workers
	rack     int // position in index.racks
	tasks    int // tasks of the request that fit, at most all of them
	whole    bool
	free     Resources
	rackFree int // free accelerators in its rack
}

// rackRoom sums up the candidates of one rack.
type rackRoom struct {
	tasks       int // tasks that fit
	brokenTasks int // tasks that fit on workers which are in use already
	free        int // free accelerators
}

// index is what one placement needs to know of the workers.
type index struct {
	request    Request
	workers    []Worker
	candidates []candidate
	racks      []rackRoom
}

func newIndex(r Request, workers []Worker) *index {
	x := &index{request: r, workers: workers}
	numbers := make(map[string]int)
	for i := range workers {
		x.add(i, numbers)
	}
	for i := range x.candidates {
		c := &x.candidates[i]
		c.rackFree = x.racks[c.rack].free
	}
	return x
}

func (x *index) add(i int, numbers map[string]int) {
	w := &x.workers[i]
	k, ok := numbers[w.Rack]
	if !ok {
		k = len(x.racks)
		numbers[w.Rack] = k
		x.racks = append(x.racks, rackRoom{})
	}
	k0 := &x.racks[k]
	k0.free += w.Free.Accelerators
	n := min(Count(x.request.PerTask, w.Free), x.request.Tasks)
	if n == 0 {
		return
	}
	whole := isWhole(w)
	k0.tasks += n
	if !whole {
		k0.brokenTasks += n
	}
	x.candidates = append(x.candidates, candidate{
		worker: i,
		rack:   k,
		tasks:  n,
		whole:  whole,
		free:   w.Free,
	})
}

// isWhole reports whether all accelerators of a worker that has any are free.
func isWhole(w *Worker) bool {
	return w.Capacity.Accelerators > 0 && w.Free.Accelerators == w.Capacity.Accelerators
}

// better orders candidates: holes before whole workers, small holes first, and
// then the racks that have least left.
func better(a, b candidate) int {
	if a.whole != b.whole {
		if b.whole {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.free.Accelerators, b.free.Accelerators),
		cmp.Compare(a.rackFree, b.rackFree),
		cmp.Compare(a.free.MilliCores, b.free.MilliCores),
		cmp.Compare(a.free.MemoryMB, b.free.MemoryMB),
		cmp.Compare(a.worker, b.worker),
	)
}

func (x *index) placeOnWorker() (Placement, bool) {
	best := -1
	for i, c := range x.candidates {
		if c.tasks < x.request.Tasks {
			continue
		}
		if best < 0 || better(c, x.candidates[best]) < 0 {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return x.fill(x.candidates[best : best+1]), true
}

func (x *index) placeInRack() (Placement, bool) {
	best := -1
	for i := range x.racks {
		if x.racks[i].tasks < x.request.Tasks {
			continue
		}
		if best < 0 || x.betterRack(i, best) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	var in []candidate
	for _, c := range x.candidates {
		if c.rack == best {
			in = append(in, c)
		}
	}
	slices.SortFunc(in, better)
	return x.fill(in), true
}

// betterRack reports whether rack a suits the request better than rack b: it
// breaks into fewer whole workers, or else leaves fewer accelerators free.
func (x *index) betterRack(a, b int) bool {
	missA := max(0, x.request.Tasks-x.racks[a].brokenTasks)
	missB := max(0, x.request.Tasks-x.racks[b].brokenTasks)
	if missA != missB {
		return missA < missB
	}
	return x.racks[a].free < x.racks[b].free
}

func (x *index) placeAnywhere() (Placement, bool) {
	slices.SortFunc(x.candidates, better)
	return x.fill(x.candidates), true
}

// fill puts the tasks on the candidates, which are ordered by better and have
// room for all: what is left of the gang goes to the first worker that holds it
// whole, or else as much of it as fits into the largest hole. Tasks that end
// together then leave large holes rather than many small ones.
func (x *index) fill(in []candidate) Placement {
	p := make(Placement, 0, x.request.Tasks)
	for len(p) < x.request.Tasks {
		left := x.request.Tasks - len(p)
		i := next(in, left)
		for range min(in[i].tasks, left) {
			p = append(p, x.workers[in[i].worker].ID)
		}
		in = slices.Delete(in, i, i+1)
	}
	return p
}

// next returns the position of the candidate to use for the tasks that are left.
func next(in []candidate, left int) int {
	hole := 0
	for i, c := range in {
		if c.tasks >= left {
			return i
		}
		if !c.whole {
			hole = i
		}
	}
	return hole
}

// Count returns how many tasks of the size need fit into free. A need of
// nothing counts as one that fits without end.
func Count(need, free Resources) int {
	n := countOf(need.MilliCores, free.MilliCores)
	n = min(n, countOf(need.MemoryMB, free.MemoryMB))
	return min(n, countOf(need.Accelerators, free.Accelerators))
}

const unlimitedTasks = 1 << 30 // tasks that need nothing of a resource

func countOf(need, free int) int {
	if need <= 0 {
		return unlimitedTasks
	}
	return max(0, free/need)
}
