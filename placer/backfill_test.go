package placer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBackfillDelaysNoReservation(t *testing.T) {
	delaying := 0
	rapid.Check(t, func(t *rapid.T) {
		workers, small := drawWorkers(t), drawRequest(t)
		now := time.Unix(1_000, 0)
		var running []Running
		for _, b := range drawBorrowers(t, workers) {
			running = append(running, Running{Job: b.Job, Held: b.Held, Ends: now.Add(time.Duration(b.Cost) * time.Second)})
		}
		var held []Reservation
		rest := workers
		for range 2 {
			if v, ok := Reserve(now, drawRequest(t), rest, running); ok {
				held = append(held, v)
				rest = v.TakenFrom(rest)
			}
		}
		run := time.Duration(rapid.IntRange(5, 12).Draw(t, "run")) * time.Second
		p, ok := Backfill(now, small, run, workers, held)
		if !ok {
			return
		}
		checkPlacement(t, small, workers, p)
		left := workersAt(workers, running, now.Add(time.Hour))
		take(left, p, small.PerTask)
		for _, v := range held {
			at := workersAt(workers, running, v.At)
			if now.Add(run).After(v.At) {
				take(at, p, small.PerTask)
				delaying++
			}
			checkNotNegative(t, v.TakenFrom(at)) // each can start in time
			left = v.TakenFrom(left)
		}
		if len(held) > 0 && !slices.ContainsFunc(held, func(v Reservation) bool { return !now.Add(run).After(v.At) }) {
			checkNotNegative(t, left) // and all of them run beside it
		}
	})
	is.New(t).True(delaying > 100) // draws that would delay a reservation elsewhere
}

func TestBackfillGoesBesideAReservation(t *testing.T) {
	i := is.New(t)
	now := time.Unix(1_000, 0)
	one := Resources{Accelerators: 1}
	full := one.Times(8)
	workers := []Worker{
		{ID: "w1", Rack: "r1", Capacity: full, Free: one.Times(2)},
		{ID: "w2", Rack: "r1", Capacity: full, Free: one.Times(4)},
	}
	running := []Running{
		{Job: "a", Ends: now.Add(10 * time.Minute), Held: []Allocation{{Worker: "w1", Held: one.Times(6)}}},
		{Job: "b", Ends: now.Add(time.Hour), Held: []Allocation{{Worker: "w2", Held: one.Times(4)}}},
	}
	v, ok := Reserve(now, Request{Tasks: 8, PerTask: one, Adjacency: AdjacencyWorker}, workers, running)
	i.True(ok)
	i.Equal(v.Placement[0], "w1")
	small := Request{Tasks: 2, PerTask: one, Adjacency: AdjacencyWorker}
	p, ok := Backfill(now, small, 5*time.Minute, workers, []Reservation{v})
	i.True(ok)
	i.Equal(p[0], "w1") // ends before
	p, ok = Backfill(now, small, time.Hour, workers, []Reservation{v})
	i.True(ok)
	i.Equal(p[0], "w2") // would not end before
	small.Tasks = 5
	_, ok = Backfill(now, small, time.Hour, workers, []Reservation{v})
	i.True(!ok)
}

// workersAt returns the workers after the gangs that end by then.
func workersAt(workers []Worker, running []Running, at time.Time) []Worker {
	return ReserveAt(at, nil, Resources{}, workers, running).spare
}

func checkNotNegative(t *rapid.T, workers []Worker) {
	for _, w := range workers {
		is.New(t).True((Resources{}).Fits(w.Free))
	}
}
