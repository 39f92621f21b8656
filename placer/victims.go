package placer

import (
	"cmp"
	"slices"
)

// Allocation is what a gang holds on one worker.
type Allocation struct {
	Worker string
	Held   Resources
}

// Borrower is a running gang that may be stopped to give its resources back.
type Borrower struct {
	Job  string
	Held []Allocation // at most one for each worker
	Cost float64      // work lost when it is stopped, in accelerator-seconds
}

// Victims returns the borrowers to stop so that r can be placed, and the
// placement that their resources and the free ones allow. It prefers the least
// work lost. None of the borrowers returned can be left out. It reports false
// when stopping all of them is not enough. When r fits already, there are none.
func Victims(r Request, workers []Worker, running []Borrower) ([]Borrower, Placement, bool) {
	order := slices.Clone(running)
	slices.SortStableFunc(order, func(a, b Borrower) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Job, b.Job))
	})
	free := slices.Clone(workers)
	for i := 0; ; i++ {
		if p, ok := Place(r, free); ok {
			return order[:i], p, true
		}
		if i == len(order) {
			return nil, nil, false
		}
		release(free, order[i].Held)
	}
}

// release adds what was held to the free resources of the workers, which are
// sorted by id.
func release(workers []Worker, held []Allocation) {
	for _, a := range held {
		i, ok := slices.BinarySearchFunc(workers, a.Worker, func(w Worker, id string) int {
			return cmp.Compare(w.ID, id)
		})
		if ok {
			workers[i].Free = workers[i].Free.Plus(a.Held)
		}
	}
}
