package placer

import (
	"cmp"
	"slices"
)

// share is what a borrower holds on one worker.
type share struct {
	worker int
	group  int // place that the worker belongs to
	held   Resources
}

// claim is what a borrower holds in one place.
type claim struct {
	borrower int
	shares   []share
	price    float64 // work lost for each task of the request that its shares are worth
}

// sharesOf returns what is held on known workers, sorted by group.
func sharesOf(m *room, where positions, held []Allocation) []share {
	shares := make([]share, 0, len(held))
	for _, a := range held {
		if w, ok := where[a.Worker]; ok {
			shares = append(shares, share{worker: w, group: m.groupOf(w), held: a.Held})
		}
	}
	slices.SortFunc(shares, func(a, b share) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.worker, b.worker))
	})
	return shares
}

// addClaims cuts the shares of a borrower into one claim for each place.
func (s *search) addClaims(b int) {
	left := s.shares[b]
	for len(left) > 0 {
		g := left[0].group
		n := 1
		for n < len(left) && left[n].group == g {
			n++
		}
		if s.useful(left[:n]) {
			c := claim{borrower: b, shares: left[:n]}
			c.price = s.running[b].Cost / max(s.worth(c), minimumWorth)
			s.groups[g] = append(s.groups[g], c)
		}
		left = left[n:]
	}
}

// useful reports whether shares in one place hold anything that is short there.
func (s *search) useful(shares []share) bool {
	if s.room.request.Adjacency != AdjacencyWorker {
		return true
	}
	need, held := s.room.request.Total(), shares[0].held
	free := s.room.free[shares[0].worker]
	return held.Accelerators > 0 && need.Accelerators > free.Accelerators ||
		held.MilliCores > 0 && need.MilliCores > free.MilliCores ||
		held.MemoryMB > 0 && need.MemoryMB > free.MemoryMB
}

const minimumWorth = 1e-9 // tasks; keeps the price of a useless claim finite

// worth returns how many tasks of the request a claim would hold, by
// accelerators if the tasks need any and else by the larger part of the others.
func (s *search) worth(c claim) float64 {
	need := s.room.request.PerTask
	var sum Resources
	for _, h := range c.shares {
		sum = sum.Plus(h.held)
	}
	if need.Accelerators > 0 {
		return float64(sum.Accelerators) / float64(need.Accelerators)
	}
	cores := float64(sum.MilliCores) / float64(max(need.MilliCores, 1))
	memory := float64(sum.MemoryMB) / float64(max(need.MemoryMB, 1))
	return max(cores, memory)
}
