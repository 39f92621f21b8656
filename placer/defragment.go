package placer

import (
	"cmp"
	"slices"
)

// Movable is a running gang that can be checkpointed and go on elsewhere.
type Movable struct {
	Job  string
	Gang Request
	At   Placement
	Cost float64 // work lost when it is moved, in accelerator-seconds
}

// Move says where a gang goes on.
type Move struct {
	Job string
	To  Placement
}

// maxMoveTrials bounds the sets of gangs for which Defragment looks for room
// elsewhere; each costs about as much as a placement.
const maxMoveTrials = 256

// Defragment returns the cheapest moves found after which r can be placed, and
// its placement. Every gang that is moved finds room elsewhere. It reports false
// when r fits already, or when no moves lose less work than saved: the waiting of
// r that they save, in accelerator-seconds.
func Defragment(r Request, workers []Worker, running []Movable, saved float64) ([]Move, Placement, bool) {
	if r.Tasks <= 0 {
		return nil, nil, false
	}
	m := newRoom(r, workers)
	if m.fits() || !r.Total().Fits(free(workers)) {
		return nil, nil, false
	}
	borrowers := make([]Borrower, len(running))
	for i, g := range running {
		borrowers[i] = Borrower{Job: g.Job, Held: Held(g.At, g.Gang.PerTask), Cost: g.Cost}
	}
	d := defragmenter{request: r, workers: workers, running: running}
	s := newSearch(m, workers, borrowers)
	s.accept = d.accept
	s.found = true // nothing as dear as what is saved is worth it
	s.bestCost = saved
	for _, in := range s.groups {
		s.try(in)
	}
	return d.moves, d.placement, len(d.moves) > 0
}

// defragmenter keeps the last moves that were accepted; each is cheaper than the
// one before.
type defragmenter struct {
	request   Request
	workers   []Worker
	running   []Movable
	moves     []Move
	placement Placement
	trials    int
}

// accept reports whether r and all the gangs that make room for it find a place.
func (d *defragmenter) accept(victims []int) bool {
	d.trials++
	if d.trials > maxMoveTrials {
		return false
	}
	free := slices.Clone(d.workers)
	for _, v := range victims {
		take(free, d.running[v].At, Resources{}.Minus(d.running[v].Gang.PerTask))
	}
	p, ok := Place(d.request, free)
	if !ok {
		return false
	}
	take(free, p, d.request.PerTask)
	order := slices.Clone(victims)
	slices.SortFunc(order, func(a, b int) int { return d.harder(a, b) })
	var moves []Move
	for _, v := range order {
		g := d.running[v]
		to, ok := Place(g.Gang, free)
		if !ok {
			return false
		}
		take(free, to, g.Gang.PerTask)
		moves = append(moves, Move{Job: g.Job, To: to})
	}
	d.moves, d.placement = moves, p
	return true
}

// harder orders gangs by how hard they are to place: the close and large first.
func (d *defragmenter) harder(a, b int) int {
	x, y := d.running[a].Gang, d.running[b].Gang
	rank := []Adjacency{AdjacencyWorker, AdjacencyRack, AdjacencyNone}
	return cmp.Or(
		cmp.Compare(slices.Index(rank, x.Adjacency), slices.Index(rank, y.Adjacency)),
		cmp.Compare(y.Total().Accelerators, x.Total().Accelerators),
		cmp.Compare(a, b),
	)
}

// free returns what is free on all workers together.
func free(workers []Worker) Resources {
	var sum Resources
	for _, w := range workers {
		sum = sum.Plus(w.Free)
	}
	return sum
}

// Held returns what a gang that is placed at p holds on each worker.
func Held(p Placement, perTask Resources) []Allocation {
	var held []Allocation
	for _, w := range p {
		i := slices.IndexFunc(held, func(a Allocation) bool { return a.Worker == w })
		if i < 0 {
			i = len(held)
			held = append(held, Allocation{Worker: w})
		}
		held[i].Held = held[i].Held.Plus(perTask)
	}
	return held
}
