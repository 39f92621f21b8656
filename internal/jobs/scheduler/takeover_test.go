package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// startedOn returns the workers of the starts among effects.
func startedOn(effects []scheduler.Effect) []string {
	var all []string
	for _, f := range effects {
		if v, ok := f.(scheduler.Start); ok {
			all = append(all, v.Worker)
		}
	}
	return all
}

// An earlier leader may have extended the leases on a worker by a whole lease time.
// A run started there may then outlive its own start deadline, so its task must not
// be restarted elsewhere before that lease has expired.
func TestLostRunRestartsOnlyAfterLeaseFromEarlierLeader(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: 2, LeadingSince: now}
	workerInfo := func(id string) scheduler.WorkerInfo {
		return scheduler.WorkerInfo{ID: id, Address: id, Service: "s", Rack: "r", StartedMS: 1, Capacity: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}}
	}
	s.Reduce(now, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{workerInfo("w1")}})
	// The scheduler acknowledges the end with a hold without a deadline, which is in
	// flight while the task is started.
	s.Reduce(now, scheduler.HoldResult{
		Worker: "w1", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 5000, StartedMS: 1,
		Ends: []scheduler.End{{Number: 1, Task: scheduler.TaskID{Job: "x"}, Run: 1, Reason: scheduler.EndReasonDone}},
	})
	s.Reduce(now, scheduler.Ticked{})
	f := s.Reduce(now, scheduler.Submitted{Job: scheduler.Job{
		ID: "a", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3}, AcceptedMS: now.UnixMilli(),
		Steps: []scheduler.Step{{Tasks: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}, EstimateMS: 1000}},
	}})
	is.Equal(startedOn(f), []string{"w1"})
	i := slices.IndexFunc(f, func(f scheduler.Effect) bool {
		_, ok := f.(scheduler.Start)
		return ok
	})
	start, ok := f[i].(scheduler.Start)
	is.True(ok)
	s.Reduce(now, scheduler.StartResult{Start: start, Outcome: scheduler.OutcomeDone, ClockMS: 5000})
	s.Reduce(now, scheduler.HoldResult{Worker: "w1", Sent: now, Outcome: scheduler.OutcomeUnknown})
	s.Reduce(now, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{workerInfo("w1"), workerInfo("w2")}})
	s.Reduce(now, scheduler.HoldResult{Worker: "w2", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 5000, StartedMS: 1})
	for elapsed := time.Duration(0); elapsed < lease; elapsed += 100 * time.Millisecond {
		is.Equal(len(startedOn(s.Reduce(now.Add(elapsed), scheduler.Ticked{}))), 0)
	}
	// That the run was given up is stored before its task is started again.
	now = now.Add(lease + time.Second)
	is.Equal(len(startedOn(s.Reduce(now, scheduler.Confirmed{Sent: now}, scheduler.Ticked{}))), 0)
	is.Equal(len(startedOn(s.Reduce(now, scheduler.Stored{}))), 0) // of the store in flight, which lacks it
	now = now.Add(100 * time.Millisecond)
	f = s.Reduce(now, scheduler.Ticked{})
	is.Equal(len(startedOn(f)), 0)
	is.True(slices.ContainsFunc(f, func(f scheduler.Effect) bool {
		p, ok := f.(scheduler.Store)
		return ok && p.Progress["a"].Abandoned["0"] == start.Run
	}))
	is.Equal(startedOn(s.Reduce(now, scheduler.Stored{})), []string{"w2"})
}
