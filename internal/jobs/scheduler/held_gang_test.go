package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// A member that starts while another one still waits for an answer of its worker would wait for
// it alone.
func TestGangStartsOnlyOnceAllItsWorkersHaveAnswered(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	r := newRivalWith(began, 1, []scheduler.Step{
		{Tasks: 1, Need: rivalNeed, EstimateMS: 4000},
		{Tasks: 2, Need: rivalNeed, EstimateMS: 4000, Gang: true, After: []int{0}},
	}, "w1", "w2")
	r.step(began.Add(100*time.Millisecond), began)
	busy, idle := "w1", "w2"
	if len(r.starts["w2"]) > 0 {
		busy, idle = idle, busy
	}
	for now := began.Add(200 * time.Millisecond); now.Before(began.Add(5 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if r.over = now.Sub(began) >= 4*time.Second; r.over {
			r.answers = []string{busy}
		}
		r.step(now, began)
	}
	is.Equal(len(r.starts[idle]), 0)
	is.Equal(len(r.starts[busy]), 1) // of the first step
}
