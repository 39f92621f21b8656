package placer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBackfillDelaysNoReservation guards against a backfilled gang that takes
// resources which a reservation needs at its start.
func TestBackfillDelaysNoReservation(t *testing.T) {
	delaying := 0
	rapid.Check(t, func(t *rapid.T) {
		workers, small := drawWorkers(t), drawRequest(t)
		now := time.Unix(1_000, 0)
		var running []Running
		for _, b := range drawBorrowers(t, workers) {
			running = append(running, Running{Job: b.Job, Held: b.Held, Ends: now.Add(time.Duration(b.Cost) * time.Second)})
		}
		var reservations []Reservation
		unreserved := workers
		for range 2 {
			if v, ok := Reserve(now, drawRequest(t), unreserved, running); ok {
				reservations = append(reservations, v)
				unreserved = v.SubtractFrom(unreserved)
			}
		}
		run := time.Duration(rapid.IntRange(5, 12).Draw(t, "run")) * time.Second
		p, ok := Backfill(now, small, run, workers, reservations)
		if !ok {
			return
		}
		checkPlacement(t, small, workers, p)
		left := workersAt(workers, running, now.Add(time.Hour))
		allocate(left, p, small.PerTask)
		for _, v := range reservations {
			at := workersAt(workers, running, v.At)
			if now.Add(run).After(v.At) {
				allocate(at, p, small.PerTask)
				delaying++
			}
			checkNotNegative(t, v.SubtractFrom(at)) // each reservation can start in time
			left = v.SubtractFrom(left)
		}
		if len(reservations) > 0 && !slices.ContainsFunc(reservations, func(v Reservation) bool { return !now.Add(run).After(v.At) }) {
			checkNotNegative(t, left) // all reservations fit beside the gang
		}
	})
	is.New(t).True(delaying > 100) // draws in which the gang outlasts the start of a reservation
}

// TestBackfillAvoidsReservedResources checks that a gang uses reserved
// resources only if it ends before the reservation starts.
func TestBackfillAvoidsReservedResources(t *testing.T) {
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
	i.Equal(p[0], "w1") // ends before the reservation starts
	p, ok = Backfill(now, small, time.Hour, workers, []Reservation{v})
	i.True(ok)
	i.Equal(p[0], "w2") // would outlast it
	small.Tasks = 5
	_, ok = Backfill(now, small, time.Hour, workers, []Reservation{v})
	i.True(!ok)
}

// workersAt returns the workers after the gangs that end by then.
func workersAt(workers []Worker, running []Running, at time.Time) []Worker {
	return ReserveAt(at, nil, Resources{}, workers, running).remaining
}

func checkNotNegative(t *rapid.T, workers []Worker) {
	for _, w := range workers {
		is.New(t).True((Resources{}).Fits(w.Free))
	}
}
