package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/evacuator"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// A gang whose starts are held until its workers have answered must not start partly because the
// zone of one of them is evacuated meanwhile.
func TestHeldGangIsDroppedWholeWhenAZoneIsEvacuated(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	r := newRivalWith(began, 1, []scheduler.Step{
		{Tasks: 1, Need: rivalNeed, EstimateMS: 4000},
		{Tasks: 2, Need: rivalNeed, EstimateMS: 4000, Gang: true, After: []int{0}},
	}, "w1", "w2")
	r.apply(r.s.Reduce(began, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{
		{ID: "w1", Address: "w1", Service: "s", Zone: "w1", Rack: "r", StartedMS: 1, Capacity: rivalNeed},
		{ID: "w2", Address: "w2", Service: "s", Zone: "w2", Rack: "r", StartedMS: 1, Capacity: rivalNeed},
	}}))
	r.step(began.Add(100*time.Millisecond), began)
	busy, idle := "w1", "w2"
	if len(r.starts["w2"]) > 0 {
		busy, idle = idle, busy
	}
	dropped, looked := 0, false
	evacuate := func(now time.Time, revision int64, zones ...evacuator.Evacuation) {
		effects := r.s.Reduce(now, scheduler.EvacuationsChanged{Revision: revision, Zones: zones})
		for _, f := range effects {
			if d, ok := f.(scheduler.Decision); ok && d.Counter == "starts-dropped-by-evacuation" {
				dropped++
			}
		}
		r.apply(effects)
	}
	for now := began.Add(200 * time.Millisecond); now.Before(began.Add(6 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.over = now.Sub(began) >= 4*time.Second
		if now.Sub(began) == 4500*time.Millisecond {
			evacuate(now, 2, evacuator.Evacuation{Zone: busy, Since: now})
			evacuate(now, 1) // an older state, which must have no effect
		}
		if now.Sub(began) == 5*time.Second {
			r.holds[idle] = looked
		}
		if r.over && now.Sub(began) < 5*time.Second { // the look at the idle worker is not answered yet
			looked = looked || r.holds[idle]
			delete(r.holds, idle)
		}
		r.step(now, began)
	}
	is.Equal(dropped, 2)
	is.Equal(len(r.starts[idle]), 0)
	is.Equal(len(r.starts[busy]), 1) // of the first step
	evacuate(began.Add(6*time.Second), 3)
	for now := began.Add(6 * time.Second); now.Before(began.Add(8 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.step(now, began)
	}
	is.Equal(len(r.starts[idle]), 1)
	is.Equal(len(r.starts[busy]), 2)
}
