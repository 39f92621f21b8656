package reducer_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// Guarantees must fit at every time at which one starts: daylight saving time changes
// the overlaps, and they may fit when the most are active but not at another time.
func TestCheckGuaranteesChecksOverlappingHours(t *testing.T) {
	is := is.New(t)
	var workers []placer.Worker
	for i := range 2 {
		workers = append(workers, placer.Worker{
			ID: fmt.Sprintf("w%d", 1-i), Rack: "r", Capacity: placer.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8},
		})
	}
	london, err := time.LoadLocation("Europe/London")
	is.NoErr(err)
	night := decoder.Guarantee{
		Name: "night", Blocks: 2, Block: placer.Resources{MilliCores: 8000, Accelerators: 8},
		Adjacency: placer.AdjacencyWorker, From: 22 * time.Hour, To: 5 * time.Hour, Location: time.UTC,
	}
	dawn := night
	dawn.Name, dawn.Blocks, dawn.Adjacency, dawn.Location = "dawn", 1, placer.AdjacencyRack, london
	dawn.From, dawn.To = 5*time.Hour, 9*time.Hour
	c := decoder.Config{Organisations: []decoder.Organisation{
		{Name: "etiquetar", Guarantees: []decoder.Guarantee{night}},
		{Name: "morfa", Guarantees: []decoder.Guarantee{dawn}},
	}}
	var e *reducer.OvercommittedError
	is.True(errors.As(reducer.CheckGuarantees(c, workers), &e)) // in summer dawn starts at 04:00 UTC, during night
	is.Equal(e.At.UTC().Hour(), 4)
	c.Organisations[1].Guarantees[0].Location = time.UTC
	is.NoErr(reducer.CheckGuarantees(c, workers))
	c.Organisations[0].Guarantees[0].Blocks = 3
	is.True(errors.As(reducer.CheckGuarantees(c, workers), &e))
	is.Equal(e.Block, 3)
	is.Equal(e.Guaranteed.Accelerators, 24)
	is.Equal(e.Capacity.Accelerators, 16)
	x, y, z := night, night, night
	x.Blocks, y.Blocks, z.Blocks, z.Name = 1, 1, 3, "noon"
	z.From, z.To = 12*time.Hour, 13*time.Hour
	c.Organisations[0].Guarantees = []decoder.Guarantee{x, y}
	c.Organisations[1].Guarantees = []decoder.Guarantee{z}
	is.True(errors.As(reducer.CheckGuarantees(c, workers), &e)) // at night more guarantees are active, and they fit
	is.Equal(e.Guarantee, "noon")
}

// A configuration guarantees more if a guarantee is new, changed or has more blocks,
// but not if only its time zone was resolved again.
func TestGuaranteesMore(t *testing.T) {
	is := is.New(t)
	with := func(owner string, g ...decoder.Guarantee) decoder.Config {
		return decoder.Config{Organisations: []decoder.Organisation{{Name: owner, Guarantees: g}}}
	}
	a := decoder.Guarantee{Name: "a", Blocks: 2, TimeZone: "UTC", Location: time.UTC}
	b, fewer, longer := a, a, a
	b.Name, b.Location = "b", time.Local
	fewer.Blocks, longer.To = 1, time.Hour
	is.True(!reducer.GuaranteesMore(with("x", a, b), with("x", a)))
	is.True(!reducer.GuaranteesMore(with("x", a), with("x", fewer)))
	is.True(reducer.GuaranteesMore(with("x", fewer), with("x", a)))
	is.True(reducer.GuaranteesMore(with("x", a), with("x", longer)))
	is.True(reducer.GuaranteesMore(with("x", a), with("x", a, b)))
	is.True(reducer.GuaranteesMore(with("x", a), with("y", a))) // another owner
	elsewhere := a
	elsewhere.Location = time.Local // resolved again, with the same TimeZone
	is.True(!reducer.GuaranteesMore(with("x", a), with("x", elsewhere)))
}

// A VM that starts from the snapshot of another restores the same term, jobs and
// outcomes.
func TestSnapshotRestoresState(t *testing.T) {
	is := is.New(t)
	w := newCluster(1, 1)
	w.addWorker("w1", "r1", 8)
	s := &script{cluster: w}
	s.organisation([]string{"a"})
	w.run(3 * time.Second)
	is.NoErr(w.submit(job([]string{"done", "a", "run=2s", "non-idempotent"})))
	is.NoErr(w.submit(job([]string{"runs", "a", "run=1h", "non-idempotent"})))
	w.run(10 * time.Second)
	old := w.vms[0].state
	records, next := old.Snapshot()
	state := reducer.New("vm-2")
	for _, r := range records {
		state, _ = reducer.Reduce(w.now, state, r)
	}
	is.Equal(state.Leader(), "vm-1")
	is.Equal(state.Epoch(), old.Epoch())
	is.Equal(next, int64(len(w.records)+1))
	v, ok := state.Job("done")
	is.True(ok)
	is.Equal(v.Outcome, reducer.OutcomeSucceeded)
	again, _ := state.Snapshot()
	is.Equal(again, records)
}
