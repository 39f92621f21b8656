package commander_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/commander"
)

// A call may wait for a connection, or for a worker that is about to come up, until its
// time-out. So the time-out must not reach beyond the time in which the start may be sent.
func TestStartDoesNotReachItsWorkerLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	f := scheduler.Start{DecidedAt: now, MaxDelay: 500 * time.Millisecond}
	c := &commander.Commander{
		Start: func(_ context.Context, s scheduler.Start, timeout time.Duration) scheduler.StartResult {
			now = now.Add(timeout)
			is.True(!f.Late(now)) // the last moment at which the call may be delivered
			return scheduler.StartResult{Start: s, Outcome: scheduler.OutcomeUnknown}
		},
		ObserveDuration: func(string, time.Duration) {}, Now: func() time.Time { return now },
	}
	c.StartRun(t.Context(), f)
}
