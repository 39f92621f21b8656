package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// Both clocks of a suspended VM may stand still. Clocks of workers do not run fast, so an answer
// whose clock has advanced by more than this VM has measured shows the time that has passed.
func TestSuspendedLeaderExtendsNoLeasesBeyondItsConfirmedTime(t *testing.T) {
	is := is.New(t)
	const suspended = 12_000 // milliseconds
	r := newRestartWorld()
	r.feed(restartJob("a", 1))
	is.Equal(len(r.starts), 1)
	running := []scheduler.Running{{Task: r.starts[0].Task, Run: r.starts[0].Run, Percent: 1}}
	r.feed(scheduler.StartResult{Start: r.starts[0], Outcome: scheduler.OutcomeDone, ClockMS: oldClock})
	clock := int64(oldClock)
	last := int64(0)
	for i := range 10 {
		r.now = r.now.Add(100 * time.Millisecond) // without a renewal
		if clock += 100; i == 5 {
			clock += suspended
		}
		pending := r.pending
		r.pending = nil
		for _, f := range pending {
			if h, ok := f.(scheduler.Hold); ok {
				last = max(last, h.DeadlineMS)
				r.feed(scheduler.HoldResult{Worker: "w1", Sent: r.now, Outcome: scheduler.OutcomeDone, ClockMS: clock, StartedMS: 1, Running: running})
			}
		}
	}
	const confirmed = 2400 // milliseconds from the last renewal, which was sent at the start
	is.True(last <= oldClock+confirmed+lease.Milliseconds())
}
