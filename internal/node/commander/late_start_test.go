package commander_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/commander"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// A call may wait for a connection, or for a worker that is about to come up. So the time until
// it is sent must not reach beyond the time in which the start may be sent.
func TestStartDoesNotReachItsWorkerLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	f := scheduler.Start{DecidedAt: now, MaxDelay: 500 * time.Millisecond}
	c := &commander.Commander{
		Start: func(_ context.Context, s scheduler.Start, sendTimeout, _ time.Duration) scheduler.StartResult {
			now = now.Add(sendTimeout)
			is.True(!f.Late(now)) // the last moment at which the call may be delivered
			return scheduler.StartResult{Start: s, Outcome: scheduler.OutcomeUnknown}
		},
		ObserveDuration: func(string, time.Duration) {}, Now: func() time.Time { return now },
	}
	c.StartRun(t.Context(), f)
}

// repeatedStart lets a leader start a task on w1, where the first try gets no answer and the
// second one does. It returns the scheduler, the result and the time.
func repeatedStart(t *testing.T) (*scheduler.Scheduler, scheduler.StartResult, time.Time) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: 10 * time.Second, Machines: true}, Epoch: 1, LeadingSince: now}
	s.Reduce(now, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{spareWorker("w1")}})
	s.Reduce(now, scheduler.HoldResult{Worker: "w1", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 60_000, StartedMS: 1})
	starts := startsAmong(s.Reduce(now, scheduler.Submitted{Job: scheduler.Job{
		ID: "a", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3},
		Steps: []scheduler.Step{{Tasks: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 1000}, EstimateMS: 60_000}},
	}}))
	is.Equal(len(starts), 1)
	tries := []scheduler.Outcome{scheduler.OutcomeUnknown, scheduler.OutcomeDone}
	c := &commander.Commander{
		Start: func(_ context.Context, f scheduler.Start, _, _ time.Duration) scheduler.StartResult {
			o := tries[0]
			tries = tries[1:]
			return scheduler.StartResult{Start: f, Outcome: o, ClockMS: 60_000}
		},
		ObserveDuration: func(string, time.Duration) {}, Now: func() time.Time { return now },
	}
	return s, c.StartRun(t.Context(), starts[0]), now
}

func spareWorker(id string) scheduler.WorkerInfo {
	return scheduler.WorkerInfo{ID: id, Address: id, Service: "s", Rack: "r", StartedMS: 1, Capacity: placer.Resources{MilliCores: 2000, MemoryMB: 2000}}
}

func startsAmong(effects []scheduler.Effect) []scheduler.Start {
	var all []scheduler.Start
	for _, f := range effects {
		if v, ok := f.(scheduler.Start); ok {
			all = append(all, v)
		}
	}
	return all
}

// A call without an answer may be carried out seconds later. If its worker restarts meanwhile,
// the new instance rejects the first try only once it has been told to stop the run.
func TestTryWithoutAnswerMayStartTheRunAfterARestart(t *testing.T) {
	is := is.New(t)
	s, e, now := repeatedStart(t)
	s.Reduce(now, e, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{spareWorker("w1"), spareWorker("w2")}})
	s.Reduce(now, scheduler.HoldResult{Worker: "w2", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 60_000, StartedMS: 1})
	stops, stored := 0, []scheduler.Event{scheduler.Stored{}} // of the job's start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		effects := s.Reduce(now, append(stored, scheduler.Ticked{}, scheduler.Confirmed{Sent: now},
			scheduler.HoldResult{Worker: "w1", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 1000, StartedMS: 2},
			scheduler.HoldResult{Worker: "w2", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 61_000, StartedMS: 1})...)
		stored = nil
		for _, f := range effects {
			switch f.(type) {
			case scheduler.Stop:
				stops++
			case scheduler.Store:
				stored = []scheduler.Event{scheduler.Stored{}}
			}
		}
		is.True(len(startsAmong(effects)) == 0 || stops > 0)
	}
}

// A start that was not sent because it was late tells nothing of its worker: no call has found
// that it refuses connections.
func TestLateStartIsNoEvidenceAgainstItsWorker(t *testing.T) {
	is := is.New(t)
	s, e, now := repeatedStart(t)
	s.Reduce(now, e, scheduler.MachinesListed{OK: true, Machines: []scheduler.Machine{{ID: "m1", Up: true, Worker: "w1"}}})
	now = now.Add(100 * time.Millisecond)
	starts := startsAmong(s.Reduce(now, scheduler.Submitted{Offset: 1, Job: scheduler.Job{
		ID: "b", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3},
		Steps: []scheduler.Step{{Tasks: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 1000}, EstimateMS: 60_000}},
	}}))
	is.Equal(len(starts), 1)
	now = now.Add(5 * time.Second) // the VM stands still
	c := &commander.Commander{Now: func() time.Time { return now }}
	effects := s.Reduce(now, scheduler.Confirmed{Sent: now}, c.StartRun(t.Context(), starts[0]))
	asked := slices.ContainsFunc(effects, func(f scheduler.Effect) bool {
		_, ok := f.(scheduler.ListMachines)
		return ok
	})
	is.True(!asked) // whether the worker has crashed
}
