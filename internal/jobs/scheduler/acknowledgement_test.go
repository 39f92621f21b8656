package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// lastHold returns the last Hold among effects.
func lastHold(t *testing.T, effects []scheduler.Effect) scheduler.Hold {
	t.Helper()
	var last *scheduler.Hold
	for _, f := range effects {
		if h, ok := f.(scheduler.Hold); ok {
			last = &h
		}
	}
	if last == nil {
		t.Fatal("no hold")
	}
	return *last
}

// A leader that was paused may read an answer long after it was sent. The worker
// may have restarted since, in which case the acknowledged number refers to
// another end. An end must only be acknowledged soon after the answer was
// requested.
func TestEndIsAcknowledgedOnlySoonAfterAnswer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: 1, LeadingSince: now}
	task := scheduler.TaskID{Job: "a"}
	s.Reduce(now, scheduler.Submitted{Job: scheduler.Job{
		ID: "a", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3}, AcceptedMS: now.UnixMilli(),
		Steps: []scheduler.Step{{Tasks: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}, EstimateMS: 1000}},
	}})
	lastHold(t, s.Reduce(now, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{{
		ID: "w", Address: "w", Service: "s", Rack: "r", StartedMS: 1, Capacity: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1},
	}}}))
	answer := scheduler.HoldResult{
		Worker: "w", Sent: now.Add(-2 * time.Second), Outcome: scheduler.OutcomeDone, ClockMS: 5000, StartedMS: 1,
		Ends: []scheduler.End{{Number: 1, Task: task, Run: 1, Reason: scheduler.EndReasonDone}},
	}
	s.Reduce(now, answer)
	h := lastHold(t, s.Reduce(now, scheduler.Stored{}))
	is.Equal(h.Ack, int64(0))
	answer.Sent = now
	now = now.Add(5 * time.Millisecond)
	h = lastHold(t, s.Reduce(now, answer))
	is.Equal(h.Ack, int64(1))
	is.Equal(h.At(now.Add(10*time.Millisecond)).Ack, int64(1))
	is.Equal(h.At(now.Add(time.Second)).Ack, int64(0)) // the leader was paused between the decision and the call
}
