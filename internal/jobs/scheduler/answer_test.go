package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// An end that comes with the answer to a long poll is acknowledged as soon as it is stored,
// without another look at the worker, if the worker's clock shows that the answer was sent
// just now. If this VM was paused before it read the answer, the clock shows that too.
func TestAnswerTimeFollowsFromWorkerClock(t *testing.T) {
	const poll, pause = 900 * time.Millisecond, 2 * time.Second
	for name, late := range map[string]time.Duration{"at once": 0, "after a pause of this VM": pause} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: 1, LeadingSince: now}
			s.Reduce(now, scheduler.Submitted{Job: scheduler.Job{
				ID: "a", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3}, AcceptedMS: now.UnixMilli(),
				Steps: []scheduler.Step{{Tasks: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}, EstimateMS: 1000}},
			}})
			s.Reduce(now, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{{
				ID: "w", Address: "w", Service: "s", Rack: "r", StartedMS: 1, Capacity: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1},
			}}})
			answer := scheduler.HoldResult{Worker: "w", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 5000, StartedMS: 1}
			s.Reduce(now, answer)
			s.Reduce(now, scheduler.Stored{})
			sent := now.Add(time.Millisecond)
			now = sent.Add(poll + late)
			answer.Sent, answer.ClockMS = sent, 5000+poll.Milliseconds()
			answer.Ends = []scheduler.End{{Number: 1, Task: scheduler.TaskID{Job: "a"}, Run: 1_000_001, Reason: scheduler.EndReasonDone}}
			s.Reduce(now, answer)
			now = now.Add(50 * time.Millisecond)
			s.Reduce(now, scheduler.Ticked{})
			h := lastHold(t, s.Reduce(now, scheduler.Stored{}))
			is.Equal(h.Ack == 1, late == 0)
		})
	}
}

// A worker gets no new tasks from an unanswered call to its next answer. So it is asked
// again at once and without a long poll: mostly just that call got lost.
func TestWorkerWithoutAnswerIsAskedAgainAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: 1, LeadingSince: now}
	need := placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}
	s.Reduce(now, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{{ID: "w", Address: "w", Service: "s", Rack: "r", StartedMS: 1, Capacity: need}}})
	s.Reduce(now, scheduler.HoldResult{Worker: "w", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 5000, StartedMS: 1})
	h := lastHold(t, s.Reduce(now, scheduler.Submitted{Job: scheduler.Job{
		ID: "a", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3}, AcceptedMS: now.UnixMilli(),
		Steps: []scheduler.Step{{Tasks: 1, Need: need, EstimateMS: 1000}},
	}}))
	is.True(h.Wait > 0)
	h = lastHold(t, s.Reduce(now, scheduler.HoldResult{Worker: "w", Sent: now, Outcome: scheduler.OutcomeUnknown}))
	is.Equal(h.Wait, time.Duration(0))
	now = now.Add(time.Second)
	f := s.Reduce(now, scheduler.HoldResult{Worker: "w", Sent: now, Outcome: scheduler.OutcomeUnknown}) // from now on there are pauses
	is.True(!slices.ContainsFunc(f, func(f scheduler.Effect) bool { _, ok := f.(scheduler.Hold); return ok }))
}
