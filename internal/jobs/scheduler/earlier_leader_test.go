package scheduler_test

import (
	"maps"
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
	ends    map[string]int64             // latest end of a lease that it has granted, by worker and on its clock
	starts  map[string][]scheduler.Start // by worker
	holds   map[string]bool              // in flight
	storing bool

	restarted map[string]bool // workers that have restarted
	over      bool            // the first run has ended
}

var rivalNeed = placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}

func newRival(now time.Time, epoch int64, answers ...string) *rival {
	return newRivalWith(now, epoch, []scheduler.Step{{Tasks: 1, Need: rivalNeed, EstimateMS: 60_000}}, answers...)
}

func newRivalWith(now time.Time, epoch int64, steps []scheduler.Step, answers ...string) *rival {
	r := &rival{
		s:       &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: epoch, LeadingSince: now},
		answers: answers, ends: map[string]int64{}, starts: map[string][]scheduler.Start{}, holds: map[string]bool{}, restarted: map[string]bool{},
	}
	var workers []scheduler.WorkerInfo
	for _, id := range []string{"w1", "w2"} {
		workers = append(workers, scheduler.WorkerInfo{ID: id, Address: id, Service: "s", Rack: "r", StartedMS: 1, Capacity: rivalNeed})
	}
	r.apply(r.s.Reduce(now, scheduler.Submitted{Inherited: epoch > 1, Job: scheduler.Job{
		ID: "a", Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3}, AcceptedMS: now.UnixMilli(),
		Steps: steps,
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
			r.starts[f.Worker] = append(r.starts[f.Worker], f)
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
			r.answer(&e, workerClock(now, began))
		}
		events = append(events, e)
	}
	r.apply(r.s.Reduce(now, append(events, scheduler.Ticked{})...))
}

// answer fills in what a worker answers to a hold.
func (r *rival) answer(e *scheduler.HoldResult, clock int64) {
	e.Outcome, e.ClockMS, e.StartedMS = scheduler.OutcomeDone, clock, 1
	if r.restarted[e.Worker] {
		e.StartedMS = 2
		return
	}
	for i, f := range r.starts[e.Worker] {
		if i == 0 && r.over {
			e.Ends = []scheduler.End{{Number: 1, Task: f.Task, Run: f.Run, Reason: scheduler.EndReasonDone}}
			continue
		}
		e.Running = append(e.Running, scheduler.Running{Task: f.Task, Run: f.Run, Percent: 1})
	}
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

func TestLeaderThatCannotRenewStartsNothingOnAWorkerThatHasRestarted(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	r := newRivalWith(began, 1, []scheduler.Step{
		{Tasks: 1, Need: rivalNeed, EstimateMS: 4000},
		{Tasks: 2, Need: rivalNeed, EstimateMS: 4000, After: []int{0}},
	}, "w1", "w2")
	r.step(began.Add(100*time.Millisecond), began)
	first := slices.Sorted(maps.Keys(r.starts))
	is.Equal(len(first), 1)
	other := map[string]string{"w1": "w2", "w2": "w1"}[first[0]]
	for now := began.Add(200 * time.Millisecond); now.Before(began.Add(8 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.over = now.Sub(began) >= 4*time.Second
		r.restarted[other] = r.over
		r.step(now, began)
	}
	is.Equal(len(r.starts[first[0]]), 2) // it has just answered
	is.Equal(len(r.starts[other]), 0)
}

func TestRestartOfAWorkerEndsNoRunWhoseStartMayStillArrive(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	r := newRival(began, 1, "w1", "w2")
	now := began.Add(100 * time.Millisecond)
	r.step(now, began)
	first := slices.Sorted(maps.Keys(r.starts))
	is.Equal(len(first), 1)
	start := r.starts[first[0]][0]
	r.step(now.Add(100*time.Millisecond), began) // the worker lists the run before it answers the start
	r.restarted[first[0]] = true
	for now = now.Add(200 * time.Millisecond); now.Before(began.Add(2 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.step(now, began)
	}
	is.Equal(len(r.starts["w1"])+len(r.starts["w2"]), 1)
	r.apply(r.s.Reduce(now, scheduler.StartResult{Start: start, Outcome: scheduler.OutcomeUnknown}))
	r.apply(r.s.Reduce(now, scheduler.StopResult{Stop: scheduler.Stop{Worker: start.Worker, Task: start.Task, Run: start.Run}, Outcome: scheduler.OutcomeDone}))
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		r.step(now, began)
	}
	is.Equal(len(r.starts["w1"])+len(r.starts["w2"]), 2) // the task is started again
}
