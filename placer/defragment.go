package placer

import (
	"cmp"
	"slices"
)

// Movable is a running gang that can be checkpointed and resumed on other
// workers.
type Movable struct {
	Job  string
	Gang Request
	At   Placement
	Cost float64 // work lost by the move, in accelerator-seconds
}

// Move is the new placement of a gang.
type Move struct {
	Job string
	To  Placement
}

// maxMoveTrials limits the sets of gangs that Defragment tries to place
// elsewhere; each trial costs about as much as a placement.
const maxMoveTrials = 256

// Defragment returns the cheapest moves found after which r can be placed, and
// its placement. Every moved gang is placed again. It reports false if r fits
// already, or if no moves lose less work than saved, the waiting time of r that
// they save in accelerator-seconds.
func Defragment(r Request, workers []Worker, running []Movable, saved float64) ([]Move, Placement, bool) {
	if r.Tasks <= 0 {
		return nil, nil, false
	}
	m := newFitTracker(r, workers)
	if m.fits() || !r.Total().Fits(totalFree(workers)) {
		return nil, nil, false
	}
	borrowers := make([]Borrower, len(running))
	for i, g := range running {
		borrowers[i] = Borrower{Job: g.Job, Held: AllocationsOf(g.At, g.Gang.PerTask), Cost: g.Cost}
	}
	d := defragmenter{request: r, workers: workers, running: running}
	s := newVictimSearch(m, workers, borrowers)
	s.accept = d.accept
	s.found = true // only moves that cost less than saved are accepted
	s.bestCost = saved
	for _, holdings := range s.groups {
		s.searchGroup(holdings)
	}
	return d.moves, d.placement, len(d.moves) > 0
}

// defragmenter keeps the last accepted moves; each accepted set is cheaper than
// the one before.
type defragmenter struct {
	request   Request
	workers   []Worker
	running   []Movable
	moves     []Move
	placement Placement
	trials    int
}

// accept reports whether r and all the gangs moved to make room for it can be
// placed.
func (d *defragmenter) accept(victims []int) bool {
	d.trials++
	if d.trials > maxMoveTrials {
		return false
	}
	free := slices.Clone(d.workers)
	for _, v := range victims {
		allocate(free, d.running[v].At, Resources{}.Minus(d.running[v].Gang.PerTask))
	}
	p, ok := Place(d.request, free)
	if !ok {
		return false
	}
	allocate(free, p, d.request.PerTask)
	order := slices.Clone(victims)
	slices.SortFunc(order, func(a, b int) int { return d.compareDifficulty(a, b) })
	var moves []Move
	for _, v := range order {
		g := d.running[v]
		to, ok := Place(g.Gang, free)
		if !ok {
			return false
		}
		allocate(free, to, g.Gang.PerTask)
		moves = append(moves, Move{Job: g.Job, To: to})
	}
	d.moves, d.placement = moves, p
	return true
}

// compareDifficulty orders gangs hardest to place first: most restrictive
// adjacency, then largest.
func (d *defragmenter) compareDifficulty(a, b int) int {
	x, y := d.running[a].Gang, d.running[b].Gang
	rank := []Adjacency{AdjacencyWorker, AdjacencyRack, AdjacencyNone}
	return cmp.Or(
		cmp.Compare(slices.Index(rank, x.Adjacency), slices.Index(rank, y.Adjacency)),
		cmp.Compare(y.Total().Accelerators, x.Total().Accelerators),
		cmp.Compare(a, b),
	)
}

// totalFree returns the free resources of all workers together.
func totalFree(workers []Worker) Resources {
	var sum Resources
	for _, w := range workers {
		sum = sum.Plus(w.Free)
	}
	return sum
}

// AllocationsOf returns what a gang placed at p holds on each worker.
func AllocationsOf(p Placement, perTask Resources) []Allocation {
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
