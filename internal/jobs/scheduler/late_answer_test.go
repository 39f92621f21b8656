package scheduler_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// newClock is the clock of a worker right after its restart, in milliseconds.
const newClock = 1000

// restart answers the pending holds from a new instance of w1, and leaves starts and stops
// pending.
func (r *restartWorld) restart() {
	pending := r.pending
	r.pending = nil
	for _, f := range pending {
		if h, ok := f.(scheduler.Hold); ok {
			r.feed(scheduler.HoldResult{Worker: h.Worker, Sent: r.now, Outcome: scheduler.OutcomeDone, ClockMS: newClock, StartedMS: 2})
		} else {
			r.pending = append(r.pending, f)
		}
	}
}

// Answers overtake each other, and the answer to a start does not tell the instance.
func TestLateAnswerOfAnOldInstanceDoesNotSetTheClockOfTheNewOne(t *testing.T) {
	is := is.New(t)
	r := newRestartWorld()
	r.feed(restartJob("a", 1))
	is.Equal(len(r.starts), 1)
	r.step()
	r.restart()
	r.feed(scheduler.StartResult{Start: r.starts[0], Outcome: scheduler.OutcomeDone, ClockMS: oldClock + 100})
	r.feed(restartJob("b", 2))
	if len(r.starts) == 2 { // it may also wait until the worker has answered again
		is.True(r.starts[1].DeadlineMS < newClock+lease.Milliseconds())
	}
}

// A start without an answer may be carried out late, unless the instance that it reaches has
// answered a stop.
func TestLateAnswerOfAnOldInstanceToAStopEndsNoRunInTheNewOne(t *testing.T) {
	is := is.New(t)
	r := newRestartWorld()
	r.feed(restartJob("a", 1))
	is.Equal(len(r.starts), 1)
	r.addSpare(1)
	r.step()
	r.feed(scheduler.StartResult{Start: r.starts[0], Outcome: scheduler.OutcomeUnknown})
	stop := scheduler.Stop{Worker: "w1", Task: r.starts[0].Task, Run: r.starts[0].Run}
	r.step()
	r.restart()
	r.feed(scheduler.StopResult{Stop: stop, Outcome: scheduler.OutcomeDone}) // sent before the restart
	for range 3 {
		r.step()
		r.restart()
	}
	stops := 0
	for _, f := range r.pending {
		if _, ok := f.(scheduler.Stop); ok {
			stops++
		}
	}
	is.Equal(len(r.starts), 1) // the task waits
	is.Equal(stops, 2)         // until the new instance has answered a stop
}
