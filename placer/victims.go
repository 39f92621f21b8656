package placer

// Allocation is what a gang holds on one worker.
type Allocation struct {
	Worker string
	Held   Resources
}

// Borrower is a running gang that can be preempted.
type Borrower struct {
	Job  string
	Held []Allocation // at most one for each worker
	Cost float64      // work lost by preemption, in accelerator-seconds
}

// Victims returns the borrowers to preempt so that r can be placed, and its
// placement on their and the free resources. Every borrower returned is needed.
// It reports false if preempting all of them is not enough. If r fits already,
// there are no victims.
//
// It minimises the work lost in each group that satisfies the adjacency:
// exactly if at most maxExactHoldings borrowers hold what is short in the
// group, otherwise by the better of two greedy orders.
func Victims(r Request, workers []Worker, running []Borrower) ([]Borrower, Placement, bool) {
	if r.Tasks <= 0 {
		return nil, nil, false
	}
	m := newFitTracker(r, workers)
	if m.fits() {
		p, ok := Place(r, workers)
		return nil, p, ok
	}
	s := newVictimSearch(m, workers, running)
	for _, holdings := range s.groups {
		s.searchGroup(holdings)
	}
	if !s.found {
		return nil, nil, false
	}
	s.prune()
	victims := make([]Borrower, len(s.best))
	for i, b := range s.best {
		victims[i] = running[b]
	}
	p, ok := Place(r, m.withFree(workers))
	return victims, p, ok
}
