package placer

import "cmp"

// fitTracker tracks whether a request fits while resources are released and
// allocated. The cost of an update does not depend on the number of workers.
type fitTracker struct {
	request Request
	free    []Resources // by worker
	tasks   []int       // by worker: tasks that fit, capped at the size of the request
	rackOf  []int       // by worker
	racks   []int       // by rack: tasks that fit
	total   int
	fitting int // number of groups that fit the whole request
}

func newFitTracker(r Request, workers []Worker) *fitTracker {
	m := &fitTracker{
		request: r,
		free:    make([]Resources, len(workers)),
		tasks:   make([]int, len(workers)),
		rackOf:  make([]int, len(workers)),
	}
	rackIndex := make(map[string]int)
	for i := range workers {
		w := &workers[i]
		k, ok := rackIndex[w.Rack]
		if !ok {
			k = len(m.racks)
			rackIndex[w.Rack] = k
			m.racks = append(m.racks, 0)
		}
		m.rackOf[i] = k
		m.release(i, w.Free)
	}
	return m
}

// fits reports whether the whole request fits in some group.
func (m *fitTracker) fits() bool { return m.fitting > 0 }

// release adds to the free resources of a worker.
func (m *fitTracker) release(worker int, held Resources) {
	m.free[worker] = m.free[worker].Plus(held)
	m.recount(worker)
}

// allocate subtracts from the free resources of a worker.
func (m *fitTracker) allocate(worker int, held Resources) {
	m.free[worker] = m.free[worker].Minus(held)
	m.recount(worker)
}

// recount updates the task counts after the free resources of a worker changed.
func (m *fitTracker) recount(worker int) {
	n := min(TasksThatFit(m.request.PerTask, m.free[worker]), m.request.Tasks)
	change := n - m.tasks[worker]
	if change == 0 {
		return
	}
	m.fitting -= m.groupFits(worker)
	m.tasks[worker] = n
	m.racks[m.rackOf[worker]] += change
	m.total += change
	m.fitting += m.groupFits(worker)
}

// groupFits returns 1 if the group of a worker fits the whole request, else 0.
func (m *fitTracker) groupFits(worker int) int {
	n := m.total
	switch m.request.Adjacency {
	case AdjacencyWorker:
		n = m.tasks[worker]
	case AdjacencyRack:
		n = m.racks[m.rackOf[worker]]
	case AdjacencyNone:
	}
	if n >= m.request.Tasks {
		return 1
	}
	return 0
}

// groupOf returns the number of the group, by the adjacency, that a worker
// belongs to.
func (m *fitTracker) groupOf(worker int) int {
	switch m.request.Adjacency {
	case AdjacencyWorker:
		return worker
	case AdjacencyRack:
		return m.rackOf[worker]
	case AdjacencyNone:
		return 0
	default:
		return 0
	}
}

// withFree returns the workers with the tracked free resources.
func (m *fitTracker) withFree(workers []Worker) []Worker {
	updated := make([]Worker, len(workers))
	for i, w := range workers {
		w.Free = m.free[i]
		updated[i] = w
	}
	return updated
}

// positions maps worker ids to indices.
type positions map[string]int

func positionsOf(workers []Worker) positions {
	p := make(positions, len(workers))
	for i := range workers {
		p[workers[i].ID] = i
	}
	return p
}

// compareID orders workers by id.
func compareID(w Worker, id string) int { return cmp.Compare(w.ID, id) }
