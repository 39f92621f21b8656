package scheduler_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// The answer to a start may be the first word of a new instance, and the last one.
func TestLeasesEndOnAWorkerWhoseClockWentBackBeforeItFellSilent(t *testing.T) {
	is := is.New(t)
	r := newRestartWorld()
	for range 200 { // an idle worker is not called
		r.step()
	}
	r.feed(restartJob("a", 1))
	is.Equal(len(r.starts), 1)
	r.step()
	r.feed(scheduler.StartResult{Start: r.starts[0], Outcome: scheduler.OutcomeDone, ClockMS: newClock})
	r.addSpare(1)
	r.cutOff()
	d, err := r.secondStart()
	is.NoErr(err) // the task starts again at some time
	is.True(d >= lease)
}
