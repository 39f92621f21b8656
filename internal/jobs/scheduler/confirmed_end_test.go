package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// A call that is cut off after a few milliseconds has probably started the task, which is then
// stopped. At the end of the confirmed time a start has to wait for an answer of its worker or
// for the next renewal.
func TestStartAtTheEndOfTheConfirmedTimeHasTimeForItsCall(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	r := newRival(began, 1)
	now := began
	for now.Before(began.Add(2300 * time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		r.step(now, began)
	}
	r.answers = []string{"w1"}
	r.holds["w1"] = true
	now = began.Add(2390 * time.Millisecond)
	e := scheduler.HoldResult{Worker: "w1", Sent: now.Add(-600 * time.Millisecond), Outcome: scheduler.OutcomeDone, ClockMS: workerClock(now, began), StartedMS: 1}
	r.apply(r.s.Reduce(now, e, scheduler.Ticked{}))
	if len(r.starts["w1"]) == 0 {
		return // it waits
	}
	left := r.starts["w1"][0].TimeLeft(now)
	is.True(left >= 100*time.Millisecond)
}
