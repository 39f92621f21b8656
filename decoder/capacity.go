package decoder

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// maxWorkers is the maximum number of declared workers.
const maxWorkers = 20_000 // keeps the check well under a second

// referenceDays are the days for which the guarantees are checked together: one in
// each half of the year, because of daylight saving time.
var referenceDays = []time.Time{
	time.Date(2026, time.January, 15, 0, 0, 0, 0, time.UTC),
	time.Date(2026, time.July, 15, 0, 0, 0, 0, time.UTC),
}

// Active reports whether the hours of g include t.
func (g Guarantee) Active(t time.Time) bool {
	if g.From == g.To {
		return true
	}
	local := t.In(g.location())
	sinceMidnight := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute + time.Duration(local.Second())*time.Second
	if g.From < g.To {
		return sinceMidnight >= g.From && sinceMidnight < g.To
	}
	return sinceMidnight >= g.From || sinceMidnight < g.To
}

func (g Guarantee) location() *time.Location {
	if g.Location == nil {
		return time.UTC
	}
	return g.Location
}

// startTimes returns when the hours of g begin on the reference days, in the time
// zone of g.
func (g Guarantee) startTimes() []time.Time {
	var ts []time.Time
	for _, d := range referenceDays {
		hour, minute := int(g.From/time.Hour), int(g.From%time.Hour/time.Minute)
		ts = append(ts, time.Date(d.Year(), d.Month(), d.Day(), hour, minute, 0, 0, g.location()))
	}
	return ts
}

// checkCapacity adds a problem for each guarantee that does not fit on the declared
// workers together with the others. Demand peaks when the hours of some guarantee
// begin, so those times are checked. Blocks are packed by first fit, the hardest to
// place first.
func (b *builder) checkCapacity() {
	if len(b.capacity) == 0 {
		return
	}
	if !b.checkWorkers() {
		return
	}
	// Empty blocks were reported when the guarantee was read.
	gs := slices.DeleteFunc(slices.Clone(b.guarantees), func(g located[Guarantee]) bool {
		return g.value.Block == placer.Resources{}
	})
	slices.SortStableFunc(gs, func(x, y located[Guarantee]) int { return compareDifficulty(x.value, y.value) })
	reported := map[string]bool{}
	for _, g := range gs {
		for _, t := range g.value.startTimes() {
			b.checkAt(t, gs, reported)
		}
	}
}

// checkWorkers adds a problem and returns false when too many workers are declared.
func (b *builder) checkWorkers() bool {
	n := 0
	for _, g := range b.capacity {
		n += g.value.Racks * g.value.WorkersPerRack
		if n > maxWorkers {
			b.addProblem(g.scope, "racks", g.value.Racks, fmt.Sprintf("at most %d workers in all files", maxWorkers))
			return false
		}
	}
	return true
}

// compareDifficulty orders guarantees from the hardest to place to the easiest: by
// adjacency, then by block size.
func compareDifficulty(x, y Guarantee) int {
	rank := map[placer.Adjacency]int{placer.AdjacencyWorker: 0, placer.AdjacencyRack: 1, placer.AdjacencyNone: 2}
	return cmp.Or(
		cmp.Compare(rank[x.Adjacency], rank[y.Adjacency]),
		cmp.Compare(y.Block.Accelerators, x.Block.Accelerators),
		cmp.Compare(y.Block.MilliCores, x.Block.MilliCores),
		cmp.Compare(y.Block.MemoryMB, x.Block.MemoryMB),
	)
}

// checkAt packs the guarantees that are active at t, and adds a problem for each that
// does not fit and is not in reported yet.
func (b *builder) checkAt(t time.Time, gs []located[Guarantee], reported map[string]bool) {
	free := b.newRacks()
	for _, g := range gs {
		if !g.value.Active(t) {
			continue
		}
		n := free.place(g.value)
		if n < g.value.Blocks && !reported[g.scope.path] {
			reported[g.scope.path] = true
			b.addProblem(g.scope, "blocks", g.value.Blocks, fmt.Sprintf(
				"guarantees that fit into the declared capacity together: only %d of its blocks fit at %s", n, t.UTC().Format(time.RFC3339)))
		}
	}
}

// racks holds the free capacity of each worker by rack.
type racks [][]placer.Resources

func (b *builder) newRacks() racks {
	var r racks
	for _, g := range b.capacity {
		for range g.value.Racks {
			r = append(r, slices.Repeat([]placer.Resources{g.value.Worker}, g.value.WorkersPerRack))
		}
	}
	return r
}

// place packs the blocks of g and returns how many fit.
func (r racks) place(g Guarantee) int {
	switch g.Adjacency {
	case placer.AdjacencyWorker:
		return r.placeInWorkers(g)
	case placer.AdjacencyRack:
		return r.placeInRacks(g)
	default:
		return r.placeAnywhere(g)
	}
}

func (r racks) placeInWorkers(g Guarantee) int {
	n := 0
	for _, rack := range r {
		for i, w := range rack {
			k := min(g.Blocks-n, fitCount(g.Block, w))
			rack[i] = w.Minus(g.Block.Times(k))
			n += k
		}
	}
	return n
}

func (r racks) placeInRacks(g Guarantee) int {
	n := 0
	for _, rack := range r {
		k := min(g.Blocks-n, fitCount(g.Block, sum(rack)))
		allocate(rack, g.Block.Times(k))
		n += k
	}
	return n
}

func (r racks) placeAnywhere(g Guarantee) int {
	var total placer.Resources
	for _, rack := range r {
		total = total.Plus(sum(rack))
	}
	n := min(g.Blocks, fitCount(g.Block, total))
	rest := g.Block.Times(n)
	for _, rack := range r {
		rest = allocate(rack, rest)
	}
	return n
}

// fitCount returns how many times block fits into free. At least one amount of block
// must be above 0.
func fitCount(block, free placer.Resources) int {
	n := math.MaxInt
	for _, a := range [][2]int{
		{block.MilliCores, free.MilliCores},
		{block.MemoryMB, free.MemoryMB},
		{block.Accelerators, free.Accelerators},
	} {
		if a[0] > 0 {
			n = min(n, a[1]/a[0])
		}
	}
	return n
}

func sum(workers []placer.Resources) placer.Resources {
	var s placer.Resources
	for _, w := range workers {
		s = s.Plus(w)
	}
	return s
}

// allocate takes amount from workers in order, as much as each has free, and returns
// the rest that did not fit.
func allocate(workers []placer.Resources, amount placer.Resources) placer.Resources {
	for i, w := range workers {
		part := placer.Resources{
			MilliCores:   min(w.MilliCores, amount.MilliCores),
			MemoryMB:     min(w.MemoryMB, amount.MemoryMB),
			Accelerators: min(w.Accelerators, amount.Accelerators),
		}
		workers[i] = w.Minus(part)
		amount = amount.Minus(part)
	}
	return amount
}
