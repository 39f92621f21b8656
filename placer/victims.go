package placer

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
// placement that their resources and the free ones allow. None of the borrowers
// returned can be left out. It reports false when stopping all of them is not
// enough. When r fits already, there are none.
//
// It looks for the least work lost in each place that the adjacency allows: the
// least there is where at most maxExactClaims borrowers hold what is short, and
// the better of what two greedy orders find elsewhere.
func Victims(r Request, workers []Worker, running []Borrower) ([]Borrower, Placement, bool) {
	if r.Tasks <= 0 {
		return nil, nil, false
	}
	m := newRoom(r, workers)
	if m.fits() {
		p, ok := Place(r, workers)
		return nil, p, ok
	}
	s := newSearch(m, workers, running)
	for _, in := range s.groups {
		s.try(in)
	}
	if !s.found {
		return nil, nil, false
	}
	s.prune()
	victims := make([]Borrower, len(s.best))
	for i, b := range s.best {
		victims[i] = running[b]
	}
	p, ok := Place(r, m.apply(workers))
	return victims, p, ok
}
