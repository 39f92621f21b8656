package placer

import (
	"cmp"
	"slices"
)

// maxExactClaims bounds the groups that are searched in full; a worker with 8
// accelerators has no more holders of accelerators than that.
const maxExactClaims = 8

// search looks for the cheapest victims.
type search struct {
	room     *room
	running  []Borrower
	rank     []int     // by borrower: place in the order of cost
	shares   [][]share // by borrower
	groups   [][]claim // by place that the adjacency allows
	chosen   []claim   // scratch of greedy
	best     []int     // cheapest victims so far
	bestCost float64
	found    bool
	accept   func(victims []int) bool // whether a cheaper set will do; nil when any will
}

func newSearch(m *room, workers []Worker, running []Borrower) *search {
	s := &search{
		room:    m,
		running: running,
		rank:    ranks(running),
		shares:  make([][]share, len(running)),
		groups:  make([][]claim, max(len(workers), 1)),
	}
	where := positionsOf(workers)
	for b := range running {
		s.shares[b] = sharesOf(m, where, running[b].Held)
		s.addClaims(b)
	}
	return s
}

// ranks returns the place of each borrower in the order of cost.
func ranks(running []Borrower) []int {
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

// try looks for victims that make room within one place.
func (s *search) try(in []claim) {
	if len(in) > maxExactClaims {
		if s.greedy(in, s.byPrice) {
			s.greedy(in, s.byCost)
		}
		return
	}
	if s.fitsAfter(in) {
		slices.SortFunc(in, s.byCost)
		s.exact(in, nil, 0)
	}
}

// fitsAfter reports whether the request fits once all the claims are given.
func (s *search) fitsAfter(in []claim) bool {
	for _, c := range in {
		s.give(c.shares)
	}
	fits := s.room.fits()
	for _, c := range in {
		s.take(c.shares)
	}
	return fits
}

func (s *search) byCost(a, b claim) int {
	return cmp.Compare(s.rank[a.borrower], s.rank[b.borrower])
}

func (s *search) byPrice(a, b claim) int {
	return cmp.Or(cmp.Compare(a.price, b.price), s.byCost(a, b))
}

// greedy takes claims in an order until the request fits, then drops those that
// were not needed, dearest first. It reports whether the request fitted.
func (s *search) greedy(in []claim, order func(a, b claim) int) bool {
	slices.SortFunc(in, order)
	s.chosen = s.chosen[:0]
	for _, c := range in {
		if s.room.fits() {
			break
		}
		s.give(c.shares)
		s.chosen = append(s.chosen, c)
	}
	fits := s.room.fits()
	slices.SortFunc(s.chosen, func(a, b claim) int { return s.byCost(b, a) })
	var kept []int
	for _, c := range s.chosen {
		s.take(c.shares)
		if fits && !s.room.fits() {
			s.give(c.shares)
			kept = append(kept, c.borrower)
		}
	}
	if !fits {
		return false
	}
	s.undo(kept)
	s.offer(kept)
	return true
}

// undo takes back the claims of the victims among those that greedy chose.
func (s *search) undo(victims []int) {
	for _, c := range s.chosen {
		if slices.Contains(victims, c.borrower) {
			s.take(c.shares)
		}
	}
}

// exact tries all sets of the claims in, which are sorted by cost, on top of
// those chosen, unless they cost more than the best so far.
func (s *search) exact(in []claim, chosen []int, cost float64) {
	if s.room.fits() {
		s.offer(chosen)
		return
	}
	for i, c := range in {
		sum := cost + s.running[c.borrower].Cost
		if s.found && sum > s.bestCost {
			return
		}
		s.give(c.shares)
		s.exact(in[i+1:], append(chosen, c.borrower), sum)
		s.take(c.shares)
	}
}

// offer keeps the victims if they cost less than the best so far, or as much
// and are fewer.
func (s *search) offer(victims []int) {
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

// prune gives back all that the best victims hold, then drops those that are
// not needed because of what the others hold in other places, dearest first.
func (s *search) prune() {
	slices.SortFunc(s.best, func(a, b int) int { return cmp.Compare(s.rank[b], s.rank[a]) })
	for _, b := range s.best {
		s.give(s.shares[b])
	}
	kept := s.best[:0]
	for _, b := range s.best {
		s.take(s.shares[b])
		if !s.room.fits() {
			s.give(s.shares[b])
			kept = append(kept, b)
		}
	}
	s.best = kept
	slices.Sort(s.best)
}

func (s *search) give(shares []share) {
	for _, h := range shares {
		s.room.give(h.worker, h.held)
	}
}

func (s *search) take(shares []share) {
	for _, h := range shares {
		s.room.take(h.worker, h.held)
	}
}
