package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// rivalClock is the rate of the clock of a worker in percent.
const rivalClock = 98

// rival is one of several leaders, with the workers that answer it.
type rival struct {
	s       *scheduler.Scheduler
	answers []string
	ends    map[string]int64   // latest end of a lease that it has granted, by worker and on its clock
	starts  map[string][]int64 // runs, by worker
	holds   map[string]bool    // in flight
	storing bool
}

func newRival(now time.Time, epoch int64, answers ...string) *rival {
	r := &rival{
		s:       &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: epoch, LeadingSince: now, LastInheritedOffset: epoch - 2}, // the first leader accepts the job
		answers: answers, ends: map[string]int64{}, starts: map[string][]int64{}, holds: map[string]bool{},
	}
	var workers []scheduler.WorkerInfo
	for _, id := range []string{"w1", "w2"} {
		workers = append(workers, scheduler.WorkerInfo{ID: id, Address: id, Service: "s", Rack: "r", StartedMS: 1, Capacity: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}})
	}
	r.apply(r.s.Reduce(now, scheduler.Submitted{Job: scheduler.Job{
		ID: "a", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3}, AcceptedMS: now.UnixMilli(),
		Steps: []scheduler.Step{{Tasks: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}, EstimateMS: 60_000}},
	}}, scheduler.WorkersListed{Workers: workers}))
	return r
}

func (r *rival) apply(effects []scheduler.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case scheduler.Hold:
			r.holds[f.Worker] = true
			r.ends[f.Worker] = max(r.ends[f.Worker], f.DeadlineMS)
		case scheduler.Store:
			r.storing = true
		case scheduler.Start:
			r.starts[f.Worker] = append(r.starts[f.Worker], f.Run)
			r.ends[f.Worker] = max(r.ends[f.Worker], f.DeadlineMS)
		}
	}
}

// step answers the holds in flight and lets time pass.
func (r *rival) step(now time.Time, began time.Time) {
	var events []scheduler.Event
	if r.storing {
		r.storing = false
		events = append(events, scheduler.Stored{})
	}
	for id := range r.holds {
		delete(r.holds, id)
		e := scheduler.HoldResult{Worker: id, Sent: now, Outcome: scheduler.OutcomeUnknown}
		if slices.Contains(r.answers, id) {
			e.Outcome, e.ClockMS, e.StartedMS = scheduler.OutcomeDone, workerClock(now, began), 1
			for _, run := range r.starts[id] {
				e.Running = append(e.Running, scheduler.Running{Task: scheduler.TaskID{Job: "a"}, Run: run, Percent: 1})
			}
		}
		events = append(events, e)
	}
	r.apply(r.s.Reduce(now, append(events, scheduler.Ticked{})...))
}

func workerClock(now, began time.Time) int64 {
	return 1000 + now.Sub(began).Milliseconds()*rivalClock/100
}

// playRivals lets a leader run a task on w1 that its successor, which claims the leadership
// after claimAt, does not reach. It returns how long after the successor's start of the task
// on w2 the lease of the first run ends.
func playRivals(t *testing.T, claimAt time.Duration, released bool) time.Duration {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	first := newRival(began, 1, "w1")
	now := began
	var second *rival
	for second == nil || len(second.starts["w2"]) == 0 {
		now = now.Add(100 * time.Millisecond)
		since := now.Sub(began)
		is.True(since < time.Minute) // the successor starts the task
		if since == claimAt {
			second = newRival(now, 2, "w2")
		}
		if released && since == claimAt-200*time.Millisecond {
			first.s.Reduce(now, scheduler.Released{})
		}
		first.step(now, began)
		if second != nil {
			second.s.Reduce(now, scheduler.Confirmed{Sent: now})
			second.step(now, began)
		}
	}
	is.Equal(len(first.starts["w1"]), 1)
	return time.Duration(first.ends["w1"]-workerClock(now, began)) * time.Millisecond
}

func TestTaskDoesNotRunTwiceAfterItsLeaderCouldNotRenew(t *testing.T) {
	if d := playRivals(t, 2600*time.Millisecond, false); d > 0 {
		t.Fatalf("the lease of the first run ends %v after the second start", d)
	}
}

func TestTaskDoesNotRunTwiceAfterItsLeaderHasReleased(t *testing.T) {
	if d := playRivals(t, 1000*time.Millisecond, true); d > 0 {
		t.Fatalf("the lease of the first run ends %v after the second start", d)
	}
}

func TestTaskDoesNotStartOnceASuccessorMayHaveStartedIt(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	r := newRival(began, 1)
	for now := began; now.Before(began.Add(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if now.Sub(began) == 11*time.Second {
			r.answers = []string{"w1"}
		}
		r.step(now, began)
	}
	is.Equal(len(r.starts["w1"]), 0)
	now := began.Add(12 * time.Second)
	r.apply(r.s.Reduce(now, scheduler.Confirmed{Sent: now}))
	is.Equal(len(r.starts["w1"]), 1)
}
