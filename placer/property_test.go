package placer

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20260704")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "2000")
	os.Exit(m.Run())
}

func drawResources(t *rapid.T, label string, most Resources) Resources {
	return Resources{
		MilliCores:   rapid.IntRange(0, most.MilliCores).Draw(t, label+"-cores"),
		MemoryMB:     rapid.IntRange(0, most.MemoryMB).Draw(t, label+"-memory"),
		Accelerators: rapid.IntRange(0, most.Accelerators).Draw(t, label+"-accelerators"),
	}
}

func drawWorkers(t *rapid.T) []Worker {
	var workers []Worker
	for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
		c := drawResources(t, "capacity", Resources{MilliCores: 6, MemoryMB: 6, Accelerators: 4})
		workers = append(workers, Worker{
			ID:       fmt.Sprintf("w%d", i),
			Rack:     rapid.SampledFrom([]string{"r0", "r1"}).Draw(t, "rack"),
			Capacity: c,
			Free:     drawResources(t, "free", c),
		})
	}
	return workers
}

func drawRequest(t *rapid.T) Request {
	return Request{
		Tasks:     rapid.IntRange(1, 6).Draw(t, "tasks"),
		PerTask:   drawResources(t, "task", Resources{MilliCores: 2, MemoryMB: 2, Accelerators: 3}),
		Adjacency: rapid.SampledFrom([]Adjacency{AdjacencyNone, AdjacencyRack, AdjacencyWorker}).Draw(t, "adjacency"),
	}
}

// drawBorrowers divides the allocated resources among gangs.
func drawBorrowers(t *rapid.T, workers []Worker) []Borrower {
	running := make([]Borrower, rapid.IntRange(0, 6).Draw(t, "borrowers"))
	for b := range running {
		running[b].Job = fmt.Sprintf("j%d", b)
		running[b].Cost = float64(rapid.IntRange(0, 9).Draw(t, "cost"))
	}
	for _, w := range workers {
		held := w.Capacity.Minus(w.Free)
		for b := range running {
			h := drawResources(t, "held", held)
			held = held.Minus(h)
			running[b].Held = append(running[b].Held, Allocation{Worker: w.ID, Held: h})
		}
	}
	return running
}

// bruteForceFits tries every assignment of the tasks.
func bruteForceFits(r Request, workers []Worker, p []int) bool {
	if len(p) == r.Tasks {
		return true
	}
	for i, w := range workers {
		if len(p) > 0 && (r.Adjacency == AdjacencyWorker && p[0] != i ||
			r.Adjacency == AdjacencyRack && workers[p[0]].Rack != w.Rack || i < p[len(p)-1]) {
			continue
		}
		if !r.PerTask.Fits(w.Free) {
			continue
		}
		next := slices.Clone(workers)
		next[i].Free = w.Free.Minus(r.PerTask)
		if bruteForceFits(r, next, append(slices.Clone(p), i)) {
			return true
		}
	}
	return false
}

// checkPlacement verifies that a placement is complete, fits and satisfies the
// adjacency.
func checkPlacement(t *rapid.T, r Request, workers []Worker, p Placement) {
	i := is.New(t)
	i.Equal(len(p), r.Tasks) // all or none
	left := slices.Clone(workers)
	allocate(left, p, r.PerTask)
	byID := positionsOf(workers)
	for _, id := range p {
		at, ok := byID[id]
		i.True(ok)
		i.True(r.PerTask.Times(tasksOn(p, id)).Fits(workers[at].Free)) // within the free resources
		i.True(r.Adjacency != AdjacencyWorker || id == p[0])
		i.True(r.Adjacency != AdjacencyRack || workers[at].Rack == workers[byID[p[0]]].Rack)
	}
}

func TestPlaceAgreesWithBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, r := drawWorkers(t), drawRequest(t)
		p, ok := Place(r, workers)
		is.New(t).Equal(ok, bruteForceFits(r, workers, nil))
		if ok {
			checkPlacement(t, r, workers, p)
		}
	})
}

func TestFeasibleAgreesWithPlaceOnIdleWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, r := drawWorkers(t), drawRequest(t)
		idle := slices.Clone(workers)
		for i := range idle {
			idle[i].Free = idle[i].Capacity
		}
		is.New(t).Equal(Feasible(r, workers) == nil, bruteForceFits(r, idle, nil))
	})
}

// withReleased returns the workers with the resources of the victims released.
func withReleased(workers []Worker, victims []Borrower) []Worker {
	left := slices.Clone(workers)
	for _, v := range victims {
		for _, a := range v.Held {
			at, _ := slices.BinarySearchFunc(left, a.Worker, compareID)
			left[at].Free = left[at].Free.Plus(a.Held)
		}
	}
	return left
}

// bruteForceCost returns the cost of the cheapest victims, from every set of
// borrowers.
func bruteForceCost(r Request, workers []Worker, running []Borrower) (float64, bool) {
	best, found := 0.0, false
	for set := range 1 << len(running) {
		var victims []Borrower
		cost := 0.0
		for b := range running {
			if set&(1<<b) != 0 {
				victims = append(victims, running[b])
				cost += running[b].Cost
			}
		}
		if _, ok := Place(r, withReleased(workers, victims)); ok && (!found || cost < best) {
			best, found = cost, true
		}
	}
	return best, found
}

// TestVictimsAreCheapestAndMinimal compares the exact search with brute force.
func TestVictimsAreCheapestAndMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, r := drawWorkers(t), drawRequest(t)
		running := drawBorrowers(t, workers)
		i := is.New(t)
		victims, p, ok := Victims(r, workers, running)
		least, possible := bruteForceCost(r, workers, running)
		i.Equal(ok, possible)
		if !ok {
			return
		}
		checkPlacement(t, r, withReleased(workers, victims), p)
		cost := 0.0
		for k, v := range victims {
			cost += v.Cost
			others := slices.Delete(slices.Clone(victims), k, k+1)
			_, fits := Place(r, withReleased(workers, others))
			i.True(!fits) // each victim is needed
		}
		i.Equal(cost, least)
	})
}

// TestReserveFindsEarliestStartAndAllowsKeepsIt guards against a start that is
// too late, and against a gang that Allows admits though it delays the
// reservation.
func TestReserveFindsEarliestStartAndAllowsKeepsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, r, small := drawWorkers(t), drawRequest(t), drawRequest(t)
		now := time.Unix(1_000, 0)
		var running []Running
		for _, b := range drawBorrowers(t, workers) {
			running = append(running, Running{Job: b.Job, Held: b.Held, Ends: now.Add(time.Duration(b.Cost) * time.Second)})
		}
		i := is.New(t)
		v, ok := Reserve(now, r, workers, running)
		freeAt := func(at time.Time) []Worker {
			var ended []Borrower
			for _, g := range running {
				if !g.Ends.After(at) {
					ended = append(ended, Borrower{Held: g.Held})
				}
			}
			return withReleased(workers, ended)
		}
		first, possible := earliestFit(r, now, freeAt)
		i.Equal(ok, possible)
		if !ok {
			return
		}
		i.Equal(v.At, first)
		checkPlacement(t, r, freeAt(v.At), v.Placement)
		p, fits := Place(small, workers)
		run := time.Duration(rapid.IntRange(0, 12).Draw(t, "run")) * time.Second
		if !fits || !v.Allows(now, p, small.PerTask, run) || !now.Add(run).After(v.At) {
			return
		}
		left := freeAt(v.At)
		allocate(left, p, small.PerTask)
		checkPlacement(t, r, left, v.Placement) // the reservation still fits at its start
	})
}

// earliestFit tries every second at which a gang may end.
func earliestFit(r Request, now time.Time, freeAt func(time.Time) []Worker) (time.Time, bool) {
	for s := range 10 {
		at := now.Add(time.Duration(s) * time.Second)
		if _, ok := Place(r, freeAt(at)); ok {
			return at, true
		}
	}
	return time.Time{}, false
}

// TestGreedyVictimsAreMinimal draws more borrowers than the exact search
// handles.
func TestGreedyVictimsAreMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, r := drawWorkers(t), drawRequest(t)
		var running []Borrower
		for k := range 4 { // enough to exceed maxExactHoldings
			for _, b := range drawBorrowers(t, workers) {
				b.Job = fmt.Sprintf("%s-%d", b.Job, k)
				running = append(running, b)
			}
		}
		victims, p, ok := Victims(r, workers, running)
		_, possible := Place(r, withReleased(workers, running))
		i := is.New(t)
		i.Equal(ok, possible)
		if ok {
			checkPlacement(t, r, withReleased(workers, victims), p)
		}
		for k := range victims {
			others := slices.Delete(slices.Clone(victims), k, k+1)
			_, fits := Place(r, withReleased(workers, others))
			i.True(!fits)
		}
	})
}

// TestDefragmentPlacesMovedGangsAtNetGain guards against moves that leave a
// gang without workers, or lose more work than they save.
func TestDefragmentPlacesMovedGangsAtNetGain(t *testing.T) {
	moved := 0
	rapid.Check(t, func(t *rapid.T) {
		workers, r := drawWorkers(t), drawRequest(t)
		for k := range workers {
			workers[k].Free = workers[k].Capacity
		}
		var running []Movable
		for k := range 6 {
			g := drawRequest(t)
			g.Tasks = 1
			p := Placement{rapid.SampledFrom(workers).Draw(t, "at").ID} // on random workers, which fragments the free resources
			if _, ok := Place(g, workers[indexOf(workers, p[0]):][:1]); ok {
				allocate(workers, p, g.PerTask)
				cost := float64(rapid.IntRange(0, 9).Draw(t, "cost"))
				running = append(running, Movable{Job: fmt.Sprintf("j%d", k), Gang: g, At: p, Cost: cost})
			}
		}
		const saved = 8
		moves, p, ok := Defragment(r, workers, running, saved)
		i := is.New(t)
		_, fits := Place(r, workers)
		i.True(!ok || !fits)
		if !ok {
			return
		}
		moved++
		after, lost := slices.Clone(workers), 0.0
		for _, g := range running {
			if slices.ContainsFunc(moves, func(m Move) bool { return m.Job == g.Job }) {
				allocate(after, g.At, Resources{}.Minus(g.Gang.PerTask))
				lost += g.Cost
			}
		}
		i.True(lost < saved)
		checkPlacement(t, r, after, p)
		allocate(after, p, r.PerTask)
		for _, m := range moves {
			at := slices.IndexFunc(running, func(g Movable) bool { return g.Job == m.Job })
			checkPlacement(t, running[at].Gang, after, m.To)
			allocate(after, m.To, running[at].Gang.PerTask)
		}
	})
	is.New(t).True(moved > 20) // most draws fit already or cannot be defragmented
}

func indexOf(workers []Worker, id string) int {
	at, _ := slices.BinarySearchFunc(workers, id, compareID)
	return at
}
