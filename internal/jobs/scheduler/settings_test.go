package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// TestStartDeadlineLeavesMarginBeforeGangTimeout guards against starts that arrive
// after the gang timeout of the other members, which would end the whole gang.
func TestStartDeadlineLeavesMarginBeforeGangTimeout(t *testing.T) {
	for _, c := range []struct{ timeout, window, evacuate time.Duration }{
		{timeout: 0, window: 2500 * time.Millisecond},
		{timeout: 4 * time.Second, window: 3500 * time.Millisecond},
		{timeout: 1500 * time.Millisecond, window: time.Second},
		{timeout: 200 * time.Millisecond, window: 500 * time.Millisecond},
		{timeout: 4 * time.Second, window: 3500 * time.Millisecond, evacuate: 5 * time.Second},
		{timeout: 4 * time.Second, window: 1400 * time.Millisecond, evacuate: 2 * time.Second},
	} {
		is := is.New(t)
		now := time.Unix(1_000_000, 0)
		s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease, GangTimeout: c.timeout, Evacuate: c.evacuate}, Epoch: 1, LeadingSince: now}
		need := placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}
		s.Reduce(now, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{{ID: "w", Service: "s", Rack: "r", StartedMS: 1, Capacity: need}}})
		s.Reduce(now, scheduler.HoldResult{Worker: "w", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 5000, StartedMS: 1})
		found := false
		for _, e := range s.Reduce(now, scheduler.Submitted{Job: scheduler.Job{
			ID: "a", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3}, AcceptedMS: now.UnixMilli(),
			Steps: []scheduler.Step{{Tasks: 1, Need: need, EstimateMS: 1000}},
		}}) {
			if f, ok := e.(scheduler.Start); ok {
				found = true
				is.Equal(f.DeadlineMS, 5000+c.window.Milliseconds())
			}
		}
		is.True(found)
	}
}
