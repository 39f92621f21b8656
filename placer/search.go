package placer

import (
	"cmp"
	"slices"
)

// maxExactHoldings is the largest group that is searched exhaustively; a worker
// with 8 accelerators has at most that many accelerator holders.
const maxExactHoldings = 8

// victimSearch finds the cheapest set of victims.
type victimSearch struct {
	tracker  *fitTracker
	running  []Borrower
	costRank []int             // by borrower: position in ascending order of cost
	holdings [][]workerHolding // by borrower
	groups   [][]groupHolding  // by group that satisfies the adjacency
	chosen   []groupHolding    // scratch space of searchGreedy
	best     []int             // cheapest victims so far
	bestCost float64
	found    bool
	accept   func(victims []int) bool // filters cheaper sets; nil accepts all
}

func newVictimSearch(m *fitTracker, workers []Worker, running []Borrower) *victimSearch {
	s := &victimSearch{
		tracker:  m,
		running:  running,
		costRank: costRanks(running),
		holdings: make([][]workerHolding, len(running)),
		groups:   make([][]groupHolding, max(len(workers), 1)),
	}
	byID := positionsOf(workers)
	for b := range running {
		s.holdings[b] = workerHoldings(m, byID, running[b].Held)
		s.addGroupHoldings(b)
	}
	return s
}

// costRanks returns the position of each borrower in ascending order of cost.
func costRanks(running []Borrower) []int {
	order := make([]int, len(running))
	for b := range order {
		order[b] = b
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(running[a].Cost, running[b].Cost),
			cmp.Compare(running[a].Job, running[b].Job),
			cmp.Compare(a, b),
		)
	})
	rank := make([]int, len(running))
	for i, b := range order {
		rank[b] = i
	}
	return rank
}

// searchGroup finds victims within one group whose resources make the request
// fit.
func (s *victimSearch) searchGroup(holdings []groupHolding) {
	if len(holdings) > maxExactHoldings {
		if s.searchGreedy(holdings, s.byUnitCost) {
			s.searchGreedy(holdings, s.byCost)
		}
		return
	}
	if s.fitsAfterReleasing(holdings) {
		slices.SortFunc(holdings, s.byCost)
		s.searchExact(holdings, nil, 0)
	}
}

// fitsAfterReleasing reports whether the request fits once all the holdings are
// released.
func (s *victimSearch) fitsAfterReleasing(holdings []groupHolding) bool {
	for _, c := range holdings {
		s.release(c.parts)
	}
	fits := s.tracker.fits()
	for _, c := range holdings {
		s.allocate(c.parts)
	}
	return fits
}

func (s *victimSearch) byCost(a, b groupHolding) int {
	return cmp.Compare(s.costRank[a.borrower], s.costRank[b.borrower])
}

func (s *victimSearch) byUnitCost(a, b groupHolding) int {
	return cmp.Or(cmp.Compare(a.unitCost, b.unitCost), s.byCost(a, b))
}

// searchGreedy releases holdings in the given order until the request fits,
// then drops those that are not needed, most expensive first. It reports
// whether the request fitted.
func (s *victimSearch) searchGreedy(holdings []groupHolding, order func(a, b groupHolding) int) bool {
	slices.SortFunc(holdings, order)
	s.chosen = s.chosen[:0]
	for _, c := range holdings {
		if s.tracker.fits() {
			break
		}
		s.release(c.parts)
		s.chosen = append(s.chosen, c)
	}
	fits := s.tracker.fits()
	slices.SortFunc(s.chosen, func(a, b groupHolding) int { return s.byCost(b, a) })
	var kept []int
	for _, c := range s.chosen {
		s.allocate(c.parts)
		if fits && !s.tracker.fits() {
			s.release(c.parts)
			kept = append(kept, c.borrower)
		}
	}
	if !fits {
		return false
	}
	s.reallocate(kept)
	s.keepIfCheaper(kept)
	return true
}

// reallocate allocates the holdings of the victims again that searchGreedy
// released.
func (s *victimSearch) reallocate(victims []int) {
	for _, c := range s.chosen {
		if slices.Contains(victims, c.borrower) {
			s.allocate(c.parts)
		}
	}
}

// searchExact tries all sets of the holdings, which are sorted by cost, in
// addition to those chosen. It skips sets that cost more than the best so far.
func (s *victimSearch) searchExact(holdings []groupHolding, chosen []int, cost float64) {
	if s.tracker.fits() {
		s.keepIfCheaper(chosen)
		return
	}
	for i, c := range holdings {
		sum := cost + s.running[c.borrower].Cost
		if s.found && sum > s.bestCost {
			return
		}
		s.release(c.parts)
		s.searchExact(holdings[i+1:], append(chosen, c.borrower), sum)
		s.allocate(c.parts)
	}
}

// keepIfCheaper records the victims if they cost less than the best so far, or
// the same with fewer victims.
func (s *victimSearch) keepIfCheaper(victims []int) {
	cost := 0.0
	for _, b := range victims {
		cost += s.running[b].Cost
	}
	if s.found && (cost > s.bestCost || cost == s.bestCost && len(victims) >= len(s.best)) {
		return
	}
	if s.accept != nil && !s.accept(victims) {
		return
	}
	s.found = true
	s.bestCost = cost
	s.best = slices.Clone(victims)
}

// prune releases all holdings of the best victims, then drops, most expensive
// first, the victims that are not needed because of what the others hold in
// other groups.
func (s *victimSearch) prune() {
	slices.SortFunc(s.best, func(a, b int) int { return cmp.Compare(s.costRank[b], s.costRank[a]) })
	for _, b := range s.best {
		s.release(s.holdings[b])
	}
	kept := s.best[:0]
	for _, b := range s.best {
		s.allocate(s.holdings[b])
		if !s.tracker.fits() {
			s.release(s.holdings[b])
			kept = append(kept, b)
		}
	}
	s.best = kept
	slices.Sort(s.best)
}

func (s *victimSearch) release(holdings []workerHolding) {
	for _, h := range holdings {
		s.tracker.release(h.worker, h.held)
	}
}

func (s *victimSearch) allocate(holdings []workerHolding) {
	for _, h := range holdings {
		s.tracker.allocate(h.worker, h.held)
	}
}
