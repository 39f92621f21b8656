package placer

import (
	"cmp"
	"slices"
)

// workerHolding is what a borrower holds on one worker.
type workerHolding struct {
	worker int
	group  int // number of the worker's group
	held   Resources
}

// groupHolding is what a borrower holds in one group.
type groupHolding struct {
	borrower int
	parts    []workerHolding
	unitCost float64 // cost for each task of the request that the resources could hold
}

// workerHoldings returns what is held on known workers, sorted by group.
func workerHoldings(m *fitTracker, byID positions, held []Allocation) []workerHolding {
	holdings := make([]workerHolding, 0, len(held))
	for _, a := range held {
		if w, ok := byID[a.Worker]; ok {
			holdings = append(holdings, workerHolding{worker: w, group: m.groupOf(w), held: a.Held})
		}
	}
	slices.SortFunc(holdings, func(a, b workerHolding) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.worker, b.worker))
	})
	return holdings
}

// addGroupHoldings adds the holdings of a borrower to each group in which they
// are useful.
func (s *victimSearch) addGroupHoldings(b int) {
	left := s.holdings[b]
	for len(left) > 0 {
		g := left[0].group
		n := 1
		for n < len(left) && left[n].group == g {
			n++
		}
		if s.relievesShortage(left[:n]) {
			c := groupHolding{borrower: b, parts: left[:n]}
			c.unitCost = s.running[b].Cost / max(s.taskEquivalents(c), minTaskEquivalents)
			s.groups[g] = append(s.groups[g], c)
		}
		left = left[n:]
	}
}

// relievesShortage reports whether the parts of one group contain a resource
// that is short there.
func (s *victimSearch) relievesShortage(parts []workerHolding) bool {
	if s.tracker.request.Adjacency != AdjacencyWorker {
		return true
	}
	need, held := s.tracker.request.Total(), parts[0].held
	free := s.tracker.free[parts[0].worker]
	return held.Accelerators > 0 && need.Accelerators > free.Accelerators ||
		held.MilliCores > 0 && need.MilliCores > free.MilliCores ||
		held.MemoryMB > 0 && need.MemoryMB > free.MemoryMB
}

const minTaskEquivalents = 1e-9 // tasks; keeps the unit cost finite for a holding that no task can use

// taskEquivalents returns how many tasks of the request a holding could hold:
// by accelerators if the tasks need any, otherwise by the larger fraction of
// cores and memory.
func (s *victimSearch) taskEquivalents(c groupHolding) float64 {
	need := s.tracker.request.PerTask
	var sum Resources
	for _, h := range c.parts {
		sum = sum.Plus(h.held)
	}
	if need.Accelerators > 0 {
		return float64(sum.Accelerators) / float64(need.Accelerators)
	}
	cores := float64(sum.MilliCores) / float64(max(need.MilliCores, 1))
	memory := float64(sum.MemoryMB) / float64(max(need.MemoryMB, 1))
	return max(cores, memory)
}
