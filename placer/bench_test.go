package placer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const tasksPerWorker = 29 // 29,000 tasks on 1,000 workers

// fullCluster returns workers in racks of 8, and gangs of up to 64 small tasks
// that hold nearly all accelerators.
func fullCluster(n int) ([]Worker, []Borrower) {
	rnd := rand.New(rand.NewSource(1))
	full := Resources{MilliCores: 130_000, MemoryMB: 250_000, Accelerators: 8}
	workers := make([]Worker, n)
	for i := range workers {
		workers[i] = Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Capacity: full, Free: full}
	}
	var running []Borrower
	for left := n * tasksPerWorker; left > 0; {
		size := min(left, 1<<rnd.Intn(7))
		left -= size
		running = append(running, addGang(workers, fmt.Sprintf("j%05d", len(running)), size, rnd))
	}
	return workers, running
}

func addGang(workers []Worker, job string, size int, rnd *rand.Rand) Borrower {
	b := Borrower{Job: job, Cost: float64(rnd.Intn(10_000))}
	at := rnd.Intn(len(workers))
	for k := range size {
		w := &workers[(at+k)%len(workers)]
		h := Resources{MilliCores: 4_000, MemoryMB: 8_000, Accelerators: min(1, w.Free.Accelerators)}
		if k >= len(workers) || !h.Fits(w.Free) {
			continue
		}
		w.Free = w.Free.Minus(h)
		b.Held = append(b.Held, Allocation{Worker: w.ID, Held: h})
	}
	return b
}

func benchmark(b *testing.B, run func(r Request, workers []Worker, running []Borrower)) {
	rebuild := Request{Tasks: 8, PerTask: Resources{MilliCores: 8_000, MemoryMB: 16_000, Accelerators: 1}}
	for _, n := range []int{50, 200, 1_000} {
		workers, running := fullCluster(n)
		for _, a := range []Adjacency{AdjacencyNone, AdjacencyRack, AdjacencyWorker} {
			rebuild.Adjacency = a
			b.Run(fmt.Sprintf("workers=%d/adjacency=%s", n, a), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					run(rebuild, workers, running)
				}
			})
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	benchmark(b, func(r Request, workers []Worker, _ []Borrower) {
		Place(r, workers)
	})
}

func BenchmarkVictims(b *testing.B) {
	benchmark(b, func(r Request, workers []Worker, running []Borrower) { Victims(r, workers, running) })
}

func BenchmarkReserve(b *testing.B) {
	now := time.Unix(0, 0)
	ends := make(map[*Borrower][]Running)
	benchmark(b, func(r Request, workers []Worker, running []Borrower) {
		k := &running[0]
		if ends[k] == nil {
			for _, g := range running {
				ends[k] = append(ends[k], Running{Job: g.Job, Held: g.Held, Ends: now.Add(time.Duration(g.Cost) * time.Second)})
			}
		}
		Reserve(now, r, workers, ends[k])
	})
}

func BenchmarkAllows(b *testing.B) {
	now := time.Unix(0, 0)
	p := Placement{"w0001", "w0001", "w0002", "w0003"}
	for _, n := range []int{50, 200, 1_000} {
		workers, _ := fullCluster(n)
		v := Reservation{At: now, remaining: workers}
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.Allows(now, p, Resources{MilliCores: 1}, time.Second)
			}
		})
	}
}

// BenchmarkDefragment places a gang on workers that each have one free
// accelerator.
func BenchmarkDefragment(b *testing.B) {
	one := Resources{MilliCores: 4_000, MemoryMB: 8_000, Accelerators: 1}
	r := Request{Tasks: 8, PerTask: one, Adjacency: AdjacencyWorker}
	for _, n := range []int{50, 200, 1_000} {
		workers, _ := fullCluster(n)
		var running []Movable
		for i := range workers {
			workers[i].Free = one
			for k := range 7 {
				running = append(running, Movable{
					Job:  fmt.Sprintf("j%04d-%d", i, k),
					Gang: Request{Tasks: 1, PerTask: one, Adjacency: AdjacencyNone},
					At:   Placement{workers[i].ID},
					Cost: float64(1 + (i*7+k)%31),
				})
			}
		}
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Defragment(r, workers, running, 1e6)
			}
		})
	}
}
