package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// newBusyScheduler returns a scheduler with the given number of workers, half of
// which run a task, and the reports of those.
func newBusyScheduler(b *testing.B, workers int) (*scheduler.Scheduler, time.Time, []scheduler.HoldResult) {
	b.Helper()
	now := time.Unix(1_000_000, 0)
	s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: 10 * time.Second}, Epoch: 1, LeadingSince: now, ConfirmedAt: now}
	queue := scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000}
	s.Reduce(now, scheduler.ConfigChanged{Config: scheduler.Config{Queues: map[string]scheduler.Queue{"q": queue}}})
	var all []scheduler.WorkerInfo
	for i := range workers {
		id := fmt.Sprintf("w%05d", i)
		all = append(all, scheduler.WorkerInfo{
			ID: id, Address: id, Service: "s", Rack: fmt.Sprintf("r%d", i/8), StartedMS: 1,
			Capacity: placer.Resources{MilliCores: 64000, MemoryMB: 65536, Accelerators: 1 + i%2},
		})
	}
	s.Reduce(now, scheduler.WorkersListed{Workers: all})
	report := func(id string, r ...scheduler.Running) scheduler.HoldResult {
		return scheduler.HoldResult{Worker: id, Sent: now, Outcome: scheduler.OutcomeDone, ClockMS: 1000, StartedMS: 1, Running: r}
	}
	for _, l := range all {
		s.Reduce(now, report(l.ID))
	}
	var reports []scheduler.HoldResult
	effects := s.Reduce(now, scheduler.Submitted{Offset: 1, Job: scheduler.Job{
		ID: "a", Queue: "q", Organisation: "o", AcceptedMS: now.UnixMilli(), QueueConfig: queue,
		Steps: []scheduler.Step{{Tasks: workers / 2, Need: placer.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 2}, EstimateMS: 60000}},
	}})
	for _, f := range effects {
		if f, ok := f.(scheduler.Start); ok {
			s.Reduce(now, scheduler.StartResult{Start: f, Outcome: scheduler.OutcomeDone, ClockMS: 1000})
			reports = append(reports, report(f.Worker, scheduler.Running{Task: f.Task, Run: f.Run, Percent: 10}))
		}
	}
	if len(reports) != workers/2 {
		b.Fatalf("%d tasks run", len(reports))
	}
	return s, now, reports
}

// BenchmarkReduce measures the handling of a report of a worker, of a tick, and of
// the submission and cancellation of a job.
func BenchmarkReduce(b *testing.B) {
	for _, workers := range []int{50, 350, 3000} {
		b.Run(fmt.Sprintf("look/%d", workers), func(b *testing.B) {
			s, now, reports := newBusyScheduler(b, workers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Reduce(now, reports[i%len(reports)])
			}
		})
		b.Run(fmt.Sprintf("tick/%d", workers), func(b *testing.B) {
			s, now, _ := newBusyScheduler(b, workers)
			b.ReportAllocs()
			for b.Loop() {
				s.Reduce(now, scheduler.Ticked{})
			}
		})
		b.Run(fmt.Sprintf("job/%d", workers), func(b *testing.B) {
			s, now, _ := newBusyScheduler(b, workers)
			queue := scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ { // each is placed and then cancelled
				id := fmt.Sprintf("j%d", i)
				s.Reduce(now, scheduler.Submitted{Offset: int64(i + 2), Job: scheduler.Job{
					ID: id, Queue: "q", Organisation: "o", AcceptedMS: now.UnixMilli(), QueueConfig: queue,
					Steps: []scheduler.Step{{Tasks: 5, Gang: true, Need: placer.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 1}, EstimateMS: 2000}},
				}})
				s.Reduce(now, scheduler.Cancelled{Job: id})
			}
		})
	}
}
