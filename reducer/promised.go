package reducer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// OverpromisedError says that the guarantees of some hour do not fit together.
type OverpromisedError struct {
	Organisation string
	Guarantee    string    // the one for which no room is left
	At           time.Time // an instant at which it and the others hold
	Block        int       // first of its blocks that has no room, counting from 1

	Promised placer.Resources // by all guarantees of that instant
	Exists   placer.Resources // of all workers
}

// Error names the guarantee, the block and the hour, what is promised then and what
// exists.
func (e *OverpromisedError) Error() string {
	return fmt.Sprintf("guarantee %q of organisation %q: no room for block %d at %s beside the other guarantees of that hour: promised are %s, workers have %s",
		e.Guarantee, e.Organisation, e.Block, e.At.Format(time.RFC3339), amounts(e.Promised), amounts(e.Exists))
}

func amounts(r placer.Resources) string {
	return fmt.Sprintf("%d accelerators, %d milli-cores and %d MiB", r.Accelerators, r.MilliCores, r.MemoryMB)
}

// Promised reports whether idle workers could hold the guarantees of every hour
// at once. The error is an *OverpromisedError. It looks at the moments at which a
// guarantee begins, on a day in winter and one in summer, as clocks that are put
// forward make hours in different zones overlap otherwise. Guarantees that all hold
// at another moment, at which they fit, are not packed again.
func Promised(c decoder.Config, workers []placer.Worker) error {
	all := promises(c)
	var moments []moment
	for _, at := range beginnings(c) {
		moments = append(moments, momentOf(all, at))
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return b.count - a.count })
	var fit []moment
	for _, m := range moments {
		if slices.ContainsFunc(fit, m.within) {
			continue
		}
		if err := promisedAt(m.in(all), workers, m.at); err != nil {
			return err
		}
		fit = append(fit, m)
	}
	return nil
}

// moment is a time and which guarantees hold then.
type moment struct {
	at    time.Time
	holds []bool // by guarantee
	count int
}

func momentOf(all []promise, at time.Time) moment {
	m := moment{at: at, holds: make([]bool, len(all))}
	for i, p := range all {
		if GuaranteeActive(p.Guarantee, at) {
			m.holds[i] = true
			m.count++
		}
	}
	return m
}

// within reports whether all guarantees of m hold at o too.
func (m moment) within(o moment) bool {
	for i, h := range m.holds {
		if h && !o.holds[i] {
			return false
		}
	}
	return true
}

func (m moment) in(all []promise) []promise {
	var in []promise
	for i, p := range all {
		if m.holds[i] {
			in = append(in, p)
		}
	}
	return in
}

// PromisesMore reports whether after has a guarantee that before has not, or has with
// fewer blocks.
func PromisesMore(before, after decoder.Config) bool {
	had := promises(before)
	return slices.ContainsFunc(promises(after), func(p promise) bool {
		return !slices.ContainsFunc(had, func(h promise) bool {
			blocks := h.Blocks
			h.Blocks, h.Location = p.Blocks, p.Location // of the same TimeZone, resolved again
			return h == p && blocks >= p.Blocks
		})
	})
}

// promise is a guarantee with its owner.
type promise struct {
	decoder.Guarantee

	owner string
}

func promises(c decoder.Config) []promise {
	var all []promise
	for _, o := range c.Organisations {
		for _, g := range o.Guarantees {
			all = append(all, promise{g, o.Name})
		}
	}
	return all
}

// beginnings returns the moments at which guarantees begin on two days of a year.
func beginnings(c decoder.Config) []time.Time {
	var all []time.Time
	for _, month := range []time.Month{time.January, time.July} {
		for _, p := range promises(c) {
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

// promisedAt packs the blocks of the guarantees that hold at a time onto idle workers,
// the closest and largest ones first.
func promisedAt(in []promise, workers []placer.Worker, at time.Time) error {
	free := make([]placer.Worker, len(workers))
	for i, w := range workers {
		w.Free = w.Capacity
		free[i] = w
	}
	slices.SortFunc(free, func(a, b placer.Worker) int { return strings.Compare(a.ID, b.ID) }) // as takeFrom needs them
	slices.SortStableFunc(in, harder)
	for _, p := range in {
		for n := range p.Blocks {
			if !placeBlock(p.Guarantee, free) {
				e := &OverpromisedError{Organisation: p.owner, Guarantee: p.Name, At: at, Block: n + 1}
				for _, p := range in {
					e.Promised = e.Promised.Plus(p.Block.Times(p.Blocks))
				}
				for _, w := range workers {
					e.Exists = e.Exists.Plus(w.Capacity)
				}
				return e
			}
		}
	}
	return nil
}

// harder orders guarantees by how hard their blocks are to place.
func harder(a, b promise) int {
	rank := []placer.Adjacency{placer.AdjacencyWorker, placer.AdjacencyRack, placer.AdjacencyNone}
	if x, y := slices.Index(rank, a.Adjacency), slices.Index(rank, b.Adjacency); x != y {
		return x - y
	}
	return b.Block.Accelerators - a.Block.Accelerators
}

// placeBlock takes a block off the free resources. One that may span workers is
// taken accelerator by accelerator, each with its part of the rest.
func placeBlock(g decoder.Guarantee, free []placer.Worker) bool {
	r := placer.Request{Tasks: 1, PerTask: g.Block, Adjacency: placer.AdjacencyWorker}
	if n := g.Block.Accelerators; n > 0 && g.Adjacency != placer.AdjacencyWorker {
		part := placer.Resources{MilliCores: g.Block.MilliCores / n, MemoryMB: g.Block.MemoryMB / n, Accelerators: 1}
		r = placer.Request{Tasks: n, PerTask: part, Adjacency: g.Adjacency}
	}
	at, ok := placer.Place(r, free)
	if ok {
		takeFrom(free, at, r.PerTask)
	}
	return ok
}
