package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// A leader that is late acknowledges an end as long as no run can have been started on a
// new instance of the worker since it answered; else it asks the worker again first.
func TestLateAcknowledgementNeedsAnsweredStarts(t *testing.T) {
	type start struct {
		answered bool
		outcome  scheduler.Outcome
		clockMS  int64
	}
	for name, v := range map[string]struct {
		late  time.Duration
		start start
		acked bool
	}{
		"start answered":                   {500 * time.Millisecond, start{true, scheduler.OutcomeDone, 20500}, true},
		"start not answered yet":           {500 * time.Millisecond, start{}, false},
		"answer to the start lost":         {500 * time.Millisecond, start{true, scheduler.OutcomeUnknown, 0}, false},
		"start answered by a new instance": {500 * time.Millisecond, start{true, scheduler.OutcomeDone, 300}, false},
		"answer of the worker too old":     {3 * time.Second, start{true, scheduler.OutcomeDone, 20500}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: 1, LeadingSince: now.Add(-2 * lease), ConfirmedAt: now.Add(time.Hour)}
			need := placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}
			s.Reduce(now, scheduler.Submitted{Job: scheduler.Job{
				ID: "a", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3}, AcceptedMS: now.UnixMilli(),
				Steps: []scheduler.Step{{Tasks: 2, Need: need, EstimateMS: 1000}},
			}})
			s.Reduce(now, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{{ID: "w", Address: "w", Service: "s", Rack: "r", StartedMS: 1, Capacity: need}}})
			now = now.Add(30 * time.Millisecond) // placement passes are that far apart
			answer := scheduler.HoldResult{Worker: "w", Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 20000, StartedMS: 1}
			first := startsOf(s.Reduce(now, answer))[0]
			s.Reduce(now, scheduler.StartResult{Start: first, Outcome: scheduler.OutcomeDone, ClockMS: 20000})
			s.Reduce(now, scheduler.Stored{})
			answer.Ends = []scheduler.End{{Number: 1, Task: first.Task, Run: first.Run, Reason: scheduler.EndReasonDone}}
			s.Reduce(now, answer)
			now = now.Add(30 * time.Millisecond)
			second := startsOf(s.Reduce(now, scheduler.Ticked{}))[0]
			now = now.Add(v.late)
			if v.start.answered {
				s.Reduce(now, scheduler.StartResult{Start: second, Outcome: v.start.outcome, ClockMS: v.start.clockMS})
			}
			s.Reduce(now, scheduler.Ticked{})
			acked := false
			for _, f := range s.Reduce(now, scheduler.Stored{}) {
				if h, ok := f.(scheduler.Hold); ok {
					acked = acked || h.At(now).Ack == 1
					is.Equal(h.At(now.Add(time.Second)).Ack, int64(0)) // this VM was paused before the call
				}
			}
			is.Equal(acked, v.acked)
		})
	}
}

// startsOf returns the starts among effects.
func startsOf(effects []scheduler.Effect) []scheduler.Start {
	var all []scheduler.Start
	for _, f := range effects {
		if v, ok := f.(scheduler.Start); ok {
			all = append(all, v)
		}
	}
	return all
}
