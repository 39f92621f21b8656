package placer

import "cmp"

// room follows whether a request fits while resources are given back and taken
// away, at a cost that does not depend on the number of workers.
type room struct {
	request Request
	free    []Resources // by worker
	tasks   []int       // by worker: tasks that fit, at most all of them
	rackOf  []int       // by worker
	racks   []int       // by rack: tasks that fit
	total   int
	enough  int // places that have room for the whole request
}

func newRoom(r Request, workers []Worker) *room {
	m := &room{
		request: r,
		free:    make([]Resources, len(workers)),
		tasks:   make([]int, len(workers)),
		rackOf:  make([]int, len(workers)),
	}
	numbers := make(map[string]int)
	for i := range workers {
		w := &workers[i]
		k, ok := numbers[w.Rack]
		if !ok {
			k = len(m.racks)
			numbers[w.Rack] = k
			m.racks = append(m.racks, 0)
		}
		m.rackOf[i] = k
		m.give(i, w.Free)
	}
	return m
}

// fits reports whether the whole request fits.
func (m *room) fits() bool { return m.enough > 0 }

// give adds to the free resources of a worker.
func (m *room) give(worker int, held Resources) {
	m.free[worker] = m.free[worker].Plus(held)
	m.recount(worker)
}

// take takes from the free resources of a worker.
func (m *room) take(worker int, held Resources) {
	m.free[worker] = m.free[worker].Minus(held)
	m.recount(worker)
}

func (m *room) recount(worker int) {
	n := min(Count(m.request.PerTask, m.free[worker]), m.request.Tasks)
	d := n - m.tasks[worker]
	if d == 0 {
		return
	}
	m.enough -= m.places(worker)
	m.tasks[worker] = n
	m.racks[m.rackOf[worker]] += d
	m.total += d
	m.enough += m.places(worker)
}

// places returns how many of the places that a worker belongs to have room for
// the whole request: 0 or 1.
func (m *room) places(worker int) int {
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

// groupOf returns the number of the place, by the adjacency, that a worker
// belongs to.
func (m *room) groupOf(worker int) int {
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

// apply returns the workers with the free resources as they are now.
func (m *room) apply(workers []Worker) []Worker {
	now := make([]Worker, len(workers))
	for i, w := range workers {
		w.Free = m.free[i]
		now[i] = w
	}
	return now
}

// positions finds workers by id.
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
