package reducer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// OvercommittedError reports that guarantees active at the same time exceed the
// capacity of the workers.
type OvercommittedError struct {
	Organisation string
	Guarantee    string    // the one that does not fit
	At           time.Time // a time at which it and the others are active
	Block        int       // number of its first block that does not fit, from 1

	Guaranteed placer.Resources // by all guarantees active at that time
	Capacity   placer.Resources // of all workers
}

// Error names the guarantee, the block, the time, the guaranteed resources and the
// capacity.
func (e *OvercommittedError) Error() string {
	return fmt.Sprintf("guarantee %q of organisation %q: no room for block %d at %s beside the other guarantees of that hour: promised are %s, workers have %s",
		e.Guarantee, e.Organisation, e.Block, e.At.Format(time.RFC3339), formatResources(e.Guaranteed), formatResources(e.Capacity))
}

func formatResources(r placer.Resources) string {
	return fmt.Sprintf("%d accelerators, %d milli-cores and %d MiB", r.Accelerators, r.MilliCores, r.MemoryMB)
}

// CheckGuarantees returns an *OvercommittedError if idle workers could not hold all
// guarantees that are active at the same time. It checks the times at which a
// guarantee starts, on a day in winter and one in summer, because daylight saving
// time changes how the hours of different time zones overlap. Guarantees that are all
// active at another time, at which they fit, are not packed again.
func CheckGuarantees(c decoder.Config, workers []placer.Worker) error {
	all := ownedGuarantees(c)
	var sets []activeSet
	for _, at := range startTimes(c) {
		sets = append(sets, activeSetAt(all, at))
	}
	slices.SortStableFunc(sets, func(a, b activeSet) int { return b.count - a.count })
	var fitting []activeSet
	for _, m := range sets {
		if slices.ContainsFunc(fitting, m.subsetOf) {
			continue
		}
		if err := checkFitAt(m.selectFrom(all), workers, m.at); err != nil {
			return err
		}
		fitting = append(fitting, m)
	}
	return nil
}

// activeSet is the set of guarantees that are active at a time.
type activeSet struct {
	at     time.Time
	active []bool // by index of the guarantee
	count  int
}

func activeSetAt(all []ownedGuarantee, at time.Time) activeSet {
	m := activeSet{at: at, active: make([]bool, len(all))}
	for i, p := range all {
		if GuaranteeActive(p.Guarantee, at) {
			m.active[i] = true
			m.count++
		}
	}
	return m
}

// subsetOf reports whether all guarantees of m are also in o.
func (m activeSet) subsetOf(o activeSet) bool {
	for i, h := range m.active {
		if h && !o.active[i] {
			return false
		}
	}
	return true
}

func (m activeSet) selectFrom(all []ownedGuarantee) []ownedGuarantee {
	var selected []ownedGuarantee
	for i, p := range all {
		if m.active[i] {
			selected = append(selected, p)
		}
	}
	return selected
}

// GuaranteesMore reports whether after has a guarantee that before lacks or has with
// fewer blocks.
func GuaranteesMore(before, after decoder.Config) bool {
	old := ownedGuarantees(before)
	return slices.ContainsFunc(ownedGuarantees(after), func(p ownedGuarantee) bool {
		return !slices.ContainsFunc(old, func(h ownedGuarantee) bool {
			blocks := h.Blocks
			h.Blocks, h.Location = p.Blocks, p.Location // TimeZone is compared; Location is a pointer that each load resolves anew
			return h == p && blocks >= p.Blocks
		})
	})
}

// ownedGuarantee is a guarantee with the organisation that owns it.
type ownedGuarantee struct {
	decoder.Guarantee

	owner string
}

func ownedGuarantees(c decoder.Config) []ownedGuarantee {
	var all []ownedGuarantee
	for _, o := range c.Organisations {
		for _, g := range o.Guarantees {
			all = append(all, ownedGuarantee{g, o.Name})
		}
	}
	return all
}

// startTimes returns the times at which guarantees start on two days of a year.
func startTimes(c decoder.Config) []time.Time {
	var all []time.Time
	for _, month := range []time.Month{time.January, time.July} {
		for _, p := range ownedGuarantees(c) {
			zone := p.Location
			if zone == nil {
				zone = time.UTC
			}
			const year, day = 2025, 15
			all = append(all, time.Date(year, month, day, 0, 0, int(p.From/time.Second), 0, zone))
		}
	}
	return all
}

// checkFitAt packs the blocks of the guarantees that are active at a time onto idle
// workers, those with the strictest adjacency and then the largest first.
func checkFitAt(active []ownedGuarantee, workers []placer.Worker, at time.Time) error {
	free := make([]placer.Worker, len(workers))
	for i, w := range workers {
		w.Free = w.Capacity
		free[i] = w
	}
	slices.SortFunc(free, func(a, b placer.Worker) int { return strings.Compare(a.ID, b.ID) }) // as allocateOn requires
	slices.SortStableFunc(active, byDifficulty)
	for _, p := range active {
		for n := range p.Blocks {
			if !placeBlock(p.Guarantee, free) {
				e := &OvercommittedError{Organisation: p.owner, Guarantee: p.Name, At: at, Block: n + 1}
				for _, p := range active {
					e.Guaranteed = e.Guaranteed.Plus(p.Block.Times(p.Blocks))
				}
				for _, w := range workers {
					e.Capacity = e.Capacity.Plus(w.Capacity)
				}
				return e
			}
		}
	}
	return nil
}

// byDifficulty orders guarantees by how hard their blocks are to place, hardest first.
func byDifficulty(a, b ownedGuarantee) int {
	order := []placer.Adjacency{placer.AdjacencyWorker, placer.AdjacencyRack, placer.AdjacencyNone}
	if x, y := slices.Index(order, a.Adjacency), slices.Index(order, b.Adjacency); x != y {
		return x - y
	}
	return b.Block.Accelerators - a.Block.Accelerators
}

// placeBlock subtracts a block from the free resources. A block that may span workers
// is placed as one task per accelerator, each with its share of the other resources.
func placeBlock(g decoder.Guarantee, free []placer.Worker) bool {
	r := placer.Request{Tasks: 1, PerTask: g.Block, Adjacency: placer.AdjacencyWorker}
	if n := g.Block.Accelerators; n > 0 && g.Adjacency != placer.AdjacencyWorker {
		perTask := placer.Resources{MilliCores: g.Block.MilliCores / n, MemoryMB: g.Block.MemoryMB / n, Accelerators: 1}
		r = placer.Request{Tasks: n, PerTask: perTask, Adjacency: g.Adjacency}
	}
	at, ok := placer.Place(r, free)
	if ok {
		allocateOn(free, at, r.PerTask)
	}
	return ok
}
