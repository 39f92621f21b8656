package placer

import (
	"cmp"
	"slices"
)

// Place chooses a worker for each task of r, or reports that none can be found
// now. The workers are sorted by id; equal inputs give equal placements.
//
// It finds a placement whenever one exists. It packs by best fit: it keeps the
// tasks together on the partly used worker with least room that fits them, and
// uses a worker with all accelerators free only if no partly used worker fits
// them.
func Place(r Request, workers []Worker) (Placement, bool) {
	if r.Tasks <= 0 || !mayFit(r, workers) {
		return nil, false
	}
	x := newCandidateIndex(r, workers)
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

// mayFit reports whether r fits if racks are ignored. It rejects most requests
// that wait for resources, without allocating memory.
func mayFit(r Request, workers []Worker) bool {
	total := 0
	for i := range workers {
		n := min(TasksThatFit(r.PerTask, workers[i].Free), r.Tasks)
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
	worker   int  // index in the list of workers
	rack     int  // index in candidateIndex.racks
	tasks    int  // tasks of the request that fit, capped at its size
	idle     bool // all accelerators are free
	free     Resources
	rackFree int // free accelerators in its rack
}

// rackCapacity sums up the candidates of one rack.
type rackCapacity struct {
	tasks        int // tasks that fit
	partialTasks int // tasks that fit on partly used workers
	free         int // free accelerators
}

// candidateIndex holds the workers and racks that can take tasks of one
// request.
type candidateIndex struct {
	request    Request
	workers    []Worker
	candidates []candidate
	racks      []rackCapacity
}

func newCandidateIndex(r Request, workers []Worker) *candidateIndex {
	x := &candidateIndex{request: r, workers: workers}
	rackIndex := make(map[string]int)
	for i := range workers {
		x.add(i, rackIndex)
	}
	for i := range x.candidates {
		c := &x.candidates[i]
		c.rackFree = x.racks[c.rack].free
	}
	return x
}

func (x *candidateIndex) add(i int, rackIndex map[string]int) {
	w := &x.workers[i]
	k, ok := rackIndex[w.Rack]
	if !ok {
		k = len(x.racks)
		rackIndex[w.Rack] = k
		x.racks = append(x.racks, rackCapacity{})
	}
	totals := &x.racks[k]
	totals.free += w.Free.Accelerators
	n := min(TasksThatFit(x.request.PerTask, w.Free), x.request.Tasks)
	if n == 0 {
		return
	}
	idle := acceleratorsIdle(w)
	totals.tasks += n
	if !idle {
		totals.partialTasks += n
	}
	x.candidates = append(x.candidates, candidate{
		worker: i,
		rack:   k,
		tasks:  n,
		idle:   idle,
		free:   w.Free,
	})
}

// acceleratorsIdle reports whether a worker has accelerators and all of them
// are free.
func acceleratorsIdle(w *Worker) bool {
	return w.Capacity.Accelerators > 0 && w.Free.Accelerators == w.Capacity.Accelerators
}

// compareCandidates orders candidates by preference: partly used workers before
// idle ones, then those with the least free, then those whose racks have the
// least free.
func compareCandidates(a, b candidate) int {
	if a.idle != b.idle {
		if b.idle {
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

func (x *candidateIndex) placeOnWorker() (Placement, bool) {
	best := -1
	for i, c := range x.candidates {
		if c.tasks < x.request.Tasks {
			continue
		}
		if best < 0 || compareCandidates(c, x.candidates[best]) < 0 {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return x.assign(x.candidates[best : best+1]), true
}

func (x *candidateIndex) placeInRack() (Placement, bool) {
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
	var inRack []candidate
	for _, c := range x.candidates {
		if c.rack == best {
			inRack = append(inRack, c)
		}
	}
	slices.SortFunc(inRack, compareCandidates)
	return x.assign(inRack), true
}

// betterRack reports whether rack a is preferred to rack b: it places fewer
// tasks on idle workers, or else has fewer free accelerators.
func (x *candidateIndex) betterRack(a, b int) bool {
	idleA := max(0, x.request.Tasks-x.racks[a].partialTasks)
	idleB := max(0, x.request.Tasks-x.racks[b].partialTasks)
	if idleA != idleB {
		return idleA < idleB
	}
	return x.racks[a].free < x.racks[b].free
}

func (x *candidateIndex) placeAnywhere() (Placement, bool) {
	slices.SortFunc(x.candidates, compareCandidates)
	return x.assign(x.candidates), true
}

// assign assigns the tasks to the candidates, which are in the order of
// compareCandidates and have room for all. The remaining tasks go to the first
// worker that fits them all, otherwise as many as fit to the partly used worker
// with most room. Tasks that end together then free large blocks rather than
// many small ones.
func (x *candidateIndex) assign(candidates []candidate) Placement {
	p := make(Placement, 0, x.request.Tasks)
	for len(p) < x.request.Tasks {
		left := x.request.Tasks - len(p)
		i := nextCandidate(candidates, left)
		for range min(candidates[i].tasks, left) {
			p = append(p, x.workers[candidates[i].worker].ID)
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return p
}

// nextCandidate returns the index of the candidate for the tasks that are left.
func nextCandidate(candidates []candidate, left int) int {
	partial := 0
	for i, c := range candidates {
		if c.tasks >= left {
			return i
		}
		if !c.idle {
			partial = i
		}
	}
	return partial
}

// TasksThatFit returns how many tasks that each need the resources fit into
// free. A resource that is not needed sets no limit.
func TasksThatFit(need, free Resources) int {
	n := countOf(need.MilliCores, free.MilliCores)
	n = min(n, countOf(need.MemoryMB, free.MemoryMB))
	return min(n, countOf(need.Accelerators, free.Accelerators))
}

const unlimitedTasks = 1 << 30 // limit for tasks that need none of a resource

func countOf(need, free int) int {
	if need <= 0 {
		return unlimitedTasks
	}
	return max(0, free/need)
}
