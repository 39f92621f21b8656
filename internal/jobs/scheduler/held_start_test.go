package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// playHeldStart lets a leader that can't renew end its first step after 4 s. The start of the
// second one on the idle worker is held until that worker answers, at the given time. It returns
// the starts there.
func playHeldStart(answered time.Duration) []scheduler.Start {
	began := time.Unix(1_000_000, 0)
	r := newRivalWith(began, 1, []scheduler.Step{
		{Tasks: 1, Need: rivalNeed, EstimateMS: 4000},
		{Tasks: 2, Need: rivalNeed, EstimateMS: 4000, After: []int{0}},
	}, "w1", "w2")
	r.step(began.Add(100*time.Millisecond), began)
	idle := "w2"
	if len(r.starts["w2"]) > 0 {
		idle = "w1"
	}
	looked := false
	for now := began.Add(200 * time.Millisecond); now.Before(began.Add(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.over = now.Sub(began) >= 4*time.Second
		if now.Sub(began) < answered {
			looked = looked || r.holds[idle]
			delete(r.holds, idle)
		} else if looked {
			looked, r.holds[idle] = false, true
		}
		r.step(now, began)
	}
	return r.starts[idle]
}

func TestHeldStartIsSentSoonAfterTheAnswerOrNotAtAll(t *testing.T) {
	is := is.New(t)
	all := playHeldStart(5 * time.Second)
	is.Equal(len(all), 1)
	f := all[0]
	is.True(!f.Late(f.DecidedAt.Add(100 * time.Millisecond)))
	is.True(f.Late(f.DecidedAt.Add(501 * time.Millisecond)))
}

func TestHeldStartIsNotSentOnceASuccessorMayHaveStartedTheTask(t *testing.T) {
	is := is.New(t)
	is.Equal(len(playHeldStart(11*time.Second)), 0)
}

func TestLeaseIsNotExtendedByALeaderWhoseMonotonicClockStoodStill(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	w := newStepWorld(began)
	w.submit(0, "a")
	const running, suspended = 100 * time.Millisecond, 5 // seconds
	now := wallStepped(began.Add(running), suspended)
	effects := w.s.Reduce(now, scheduler.HoldResult{
		Worker: "w", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 5000 + suspended*1000, StartedMS: 1,
		Running: []scheduler.Running{{Task: scheduler.TaskID{Job: "a"}, Run: 1_000_001, Percent: 1}},
	})
	i := slices.IndexFunc(effects, func(f scheduler.Effect) bool {
		h, ok := f.(scheduler.Hold)
		return ok && h.DeadlineMS > 0
	})
	is.True(i >= 0)
	h, _ := effects[i].(scheduler.Hold)
	const unconfirmed = suspended*1000 + 100 - 2400 // milliseconds
	is.True(h.DeadlineMS <= 5000+suspended*1000+lease.Milliseconds()-unconfirmed)
}
