package decoder

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// maxWorkers is the most workers that may be declared.
const maxWorkers = 20_000 // checking stays well under a second

// referenceDays are the days on which guarantees are checked against each
// other: one in each half of the year, for the sake of daylight saving time.
var referenceDays = []time.Time{
	time.Date(2026, time.January, 15, 0, 0, 0, 0, time.UTC),
	time.Date(2026, time.July, 15, 0, 0, 0, 0, time.UTC),
}

// Open reports whether the hours of g include t.
func (g Guarantee) Open(t time.Time) bool {
	if g.From == g.To {
		return true
	}
	l := t.In(g.location())
	now := time.Duration(l.Hour())*time.Hour + time.Duration(l.Minute())*time.Minute + time.Duration(l.Second())*time.Second
	if g.From < g.To {
		return now >= g.From && now < g.To
	}
	return now >= g.From || now < g.To
}

func (g Guarantee) location() *time.Location {
	if g.Location == nil {
		return time.UTC
	}
	return g.Location
}

// starts returns when the hours of g begin on the reference days, by its own
// time zone.
func (g Guarantee) starts() []time.Time {
	var ts []time.Time
	for _, d := range referenceDays {
		hour, minute := int(g.From/time.Hour), int(g.From%time.Hour/time.Minute)
		ts = append(ts, time.Date(d.Year(), d.Month(), d.Day(), hour, minute, 0, 0, g.location()))
	}
	return ts
}

// checkCapacity notes guarantees that cannot all be kept at once on the workers
// that are declared. The need is highest when some guarantee's hours begin, so
// those times are checked. Blocks are packed by first fit, the ones that are
// hardest to place first.
func (b *builder) checkCapacity() {
	if len(b.capacity) == 0 {
		return
	}
	if !b.checkWorkers() {
		return
	}
	// A block of nothing was noted before.
	gs := slices.DeleteFunc(slices.Clone(b.guarantees), func(g placed[Guarantee]) bool {
		return g.value.Block == placer.Resources{}
	})
	slices.SortStableFunc(gs, func(x, y placed[Guarantee]) int { return hardest(x.value, y.value) })
	noted := map[string]bool{}
	for _, g := range gs {
		for _, t := range g.value.starts() {
			b.checkAt(t, gs, noted)
		}
	}
}

// checkWorkers notes that too many workers are declared.
func (b *builder) checkWorkers() bool {
	n := 0
	for _, g := range b.capacity {
		n += g.value.Racks * g.value.WorkersPerRack
		if n > maxWorkers {
			b.note(g.scope, "racks", g.value.Racks, fmt.Sprintf("at most %d workers in all files", maxWorkers))
			return false
		}
	}
	return true
}

// hardest orders guarantees by closeness of their blocks, then by size.
func hardest(x, y Guarantee) int {
	rank := map[placer.Adjacency]int{placer.AdjacencyWorker: 0, placer.AdjacencyRack: 1, placer.AdjacencyNone: 2}
	return cmp.Or(
		cmp.Compare(rank[x.Adjacency], rank[y.Adjacency]),
		cmp.Compare(y.Block.Accelerators, x.Block.Accelerators),
		cmp.Compare(y.Block.MilliCores, x.Block.MilliCores),
		cmp.Compare(y.Block.MemoryMB, x.Block.MemoryMB),
	)
}

// checkAt packs the guarantees that are open at t, and notes those that don't
// fit and were not noted before.
func (b *builder) checkAt(t time.Time, gs []placed[Guarantee], noted map[string]bool) {
	free := b.newRacks()
	for _, g := range gs {
		if !g.value.Open(t) {
			continue
		}
		n := free.place(g.value)
		if n < g.value.Blocks && !noted[g.scope.path] {
			noted[g.scope.path] = true
			b.note(g.scope, "blocks", g.value.Blocks, fmt.Sprintf(
				"guarantees that fit into the declared capacity together: only %d of its blocks fit at %s", n, t.UTC().Format(time.RFC3339)))
		}
	}
}

// racks is the free capacity of each worker, by rack.
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

// place packs the blocks of g and returns how many found a place.
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
			k := min(g.Blocks-n, times(g.Block, w))
			rack[i] = w.Minus(g.Block.Times(k))
			n += k
		}
	}
	return n
}

func (r racks) placeInRacks(g Guarantee) int {
	n := 0
	for _, rack := range r {
		k := min(g.Blocks-n, times(g.Block, sum(rack)))
		take(rack, g.Block.Times(k))
		n += k
	}
	return n
}

func (r racks) placeAnywhere(g Guarantee) int {
	var total placer.Resources
	for _, rack := range r {
		total = total.Plus(sum(rack))
	}
	n := min(g.Blocks, times(g.Block, total))
	rest := g.Block.Times(n)
	for _, rack := range r {
		rest = take(rack, rest)
	}
	return n
}

// times returns how often block fits into free. Some amount of block is above 0.
func times(block, free placer.Resources) int {
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

// take takes an amount from workers, from each as much as it has, and returns
// what they did not have.
func take(workers []placer.Resources, amount placer.Resources) placer.Resources {
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
