package commander_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/commander"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Each of over a thousand busy workers has an open hold. The start of another task must
// not wait for any of them.
func TestStartDoesNotWaitForOpenHolds(t *testing.T) {
	is := is.New(t)
	const workers = 1200
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	open := 0
	allOpen := make(chan struct{})
	started := make(chan string, 2*workers)
	c := &commander.Commander{
		Hold: func(ctx context.Context, h scheduler.Hold, _ time.Duration) scheduler.HoldResult {
			if h.Wait > 0 {
				mu.Lock()
				if open++; open == workers {
					close(allOpen)
				}
				mu.Unlock()
				<-ctx.Done()
			}
			return scheduler.HoldResult{Worker: h.Worker, Sent: time.Now(), Outcome: scheduler.OutcomeDone, ClockMS: time.Now().UnixMilli(), StartedMS: 1}
		},
		Start: func(_ context.Context, s scheduler.Start, _, _ time.Duration) scheduler.StartResult {
			started <- s.Task.Job
			return scheduler.StartResult{Start: s, Outcome: scheduler.OutcomeDone, ClockMS: time.Now().UnixMilli()}
		},
		StoreProgress: func(context.Context, map[string]scheduler.Progress) error { return nil },
		LogDecision:   func(scheduler.Decision) {}, ObserveDuration: func(string, time.Duration) {}, Now: time.Now,
	}
	queue := scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000}
	job := func(id string, offset int64, tasks int) scheduler.Submitted {
		return scheduler.Submitted{Offset: offset, Job: scheduler.Job{
			ID: id, Queue: "q", Organisation: "o", AcceptedMS: time.Now().UnixMilli(), QueueConfig: queue,
			Steps: []scheduler.Step{{Tasks: tasks, PerWorker: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 1}, EstimateMS: 60000}},
		}}
	}
	infos := make([]scheduler.WorkerInfo, workers)
	for i := range infos {
		id := fmt.Sprintf("w%04d", i)
		infos[i] = scheduler.WorkerInfo{ID: id, Address: id, Service: "s", Rack: "r", StartedMS: 1, Capacity: placer.Resources{MilliCores: 64000, MemoryMB: 65536, Accelerators: 8}}
	}
	s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: 10 * time.Second}, Epoch: 1, LeadingSince: time.Now(), ConfirmedAt: time.Now().Add(time.Hour)}
	ended := make(chan error, 1)
	go func() {
		ended <- c.Lead(ctx, s, func() []scheduler.Event {
			return []scheduler.Event{
				scheduler.ConfigChanged{Config: scheduler.Config{Queues: map[string]scheduler.Queue{"q": queue}}},
				scheduler.WorkersListed{Workers: infos},
				job("long", 1, workers),
			}
		})
	}()
	wait := func(c <-chan struct{}) {
		select {
		case <-c:
		case <-time.After(time.Minute):
			t.Fatal("no progress for a minute")
		}
	}
	wait(allOpen)
	c.Post(job("another", 2, 1))
	found := make(chan struct{})
	go func() {
		for id := range started {
			if id == "another" {
				close(found)
				return
			}
		}
	}()
	wait(found)
	cancel()
	is.True(<-ended != nil)
}

// A worker may leave a start unanswered and carry it out late, or its answer may get lost.
// The start is then sent again and is not given up with its whole gang. That it was not
// sent may be said only if no earlier one was.
func TestStartWithoutAnswerIsRepeated(t *testing.T) {
	for name, v := range map[string]struct{ answers, want []scheduler.Outcome }{
		"answered at last": {[]scheduler.Outcome{scheduler.OutcomeUnknown, scheduler.OutcomeDone}, []scheduler.Outcome{scheduler.OutcomeDone}},
		"then unreachable": {[]scheduler.Outcome{scheduler.OutcomeUnknown, scheduler.OutcomeUnsent, scheduler.OutcomeUnsent}, []scheduler.Outcome{scheduler.OutcomeUnknown}},
		"never sent":       {[]scheduler.Outcome{scheduler.OutcomeUnsent}, []scheduler.Outcome{scheduler.OutcomeUnsent}},
		"ended meanwhile":  {[]scheduler.Outcome{scheduler.OutcomeUnknown, scheduler.OutcomeObsolete}, []scheduler.Outcome{scheduler.OutcomeDone}},
		"then no room":     {[]scheduler.Outcome{scheduler.OutcomeUnknown, scheduler.OutcomeFull, scheduler.OutcomeFull}, []scheduler.Outcome{scheduler.OutcomeUnknown}},
		"no room at once":  {[]scheduler.Outcome{scheduler.OutcomeFull}, []scheduler.Outcome{scheduler.OutcomeFull}},
		"too late":         {[]scheduler.Outcome{scheduler.OutcomeUnknown, scheduler.OutcomeLate, scheduler.OutcomeLate}, []scheduler.Outcome{scheduler.OutcomeUnknown}},
		"then evacuated":   {[]scheduler.Outcome{scheduler.OutcomeUnknown, scheduler.OutcomeDropped, scheduler.OutcomeDropped}, []scheduler.Outcome{scheduler.OutcomeUnknown}},
		"evacuated":        {[]scheduler.Outcome{scheduler.OutcomeDropped}, []scheduler.Outcome{scheduler.OutcomeDropped}},
		"never answered":   {[]scheduler.Outcome{scheduler.OutcomeUnknown, scheduler.OutcomeUnknown, scheduler.OutcomeUnknown}, []scheduler.Outcome{scheduler.OutcomeUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tries := 0
			c := &commander.Commander{
				Start: func(_ context.Context, s scheduler.Start, _, _ time.Duration) scheduler.StartResult {
					o := v.answers[tries]
					tries++
					return scheduler.StartResult{Start: s, Outcome: o}
				},
				ObserveDuration: func(string, time.Duration) {}, Now: time.Now,
			}
			is.Equal([]scheduler.Outcome{c.StartRun(t.Context(), scheduler.Start{}).Outcome}, v.want)
			is.Equal(tries, len(v.answers))
		})
	}
}

func TestLateStartIsNotSent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	tries := 0
	c := &commander.Commander{
		Start: func(_ context.Context, s scheduler.Start, _, _ time.Duration) scheduler.StartResult {
			tries++
			now = now.Add(400 * time.Millisecond)
			return scheduler.StartResult{Start: s, Outcome: scheduler.OutcomeUnknown}
		},
		ObserveDuration: func(string, time.Duration) {}, Now: func() time.Time { return now },
	}
	f := scheduler.Start{DecidedAt: now, MaxDelay: 500 * time.Millisecond}
	is.Equal(c.StartRun(t.Context(), f).Outcome, scheduler.OutcomeUnknown)
	is.Equal(tries, 2)
	is.Equal(c.StartRun(t.Context(), f).Outcome, scheduler.OutcomeDropped)
	is.Equal(tries, 2)
}

// The pool recovers from panics. A worker whose hold never gets a result would be left out,
// and a store without one would hold up all others, for the rest of the term.
func TestPanicOfAnEffectEndsTheLeadership(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c := &commander.Commander{
		Hold: func(context.Context, scheduler.Hold, time.Duration) scheduler.HoldResult {
			panic("malformed answer")
		},
		LogDecision: func(scheduler.Decision) {}, ObserveDuration: func(string, time.Duration) {}, Now: time.Now,
	}
	s := &scheduler.Scheduler{Epoch: 1, LeadingSince: time.Now()}
	err := c.Lead(ctx, s, func() []scheduler.Event {
		return []scheduler.Event{scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{{ID: "w", Address: "w", Service: "s", StartedMS: 1}}}}
	})
	is.NoErr(ctx.Err()) // the term has ended by itself
	is.True(strings.Contains(err.Error(), "malformed answer"))
}

// An effect may wait for a slot until its term has ended and this VM leads again. It must not
// store the progress that the earlier term knew as the later one.
func TestStoreOfAnEndedTermDoesNotReachTheNextOne(t *testing.T) {
	is := is.New(t)
	const tasks = 600 // more starts than there are slots
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	release, stored := make(chan struct{}), make(chan string, tasks)
	var starts, open atomic.Int64
	store := func(term string) func(context.Context, map[string]scheduler.Progress) error {
		return func(context.Context, map[string]scheduler.Progress) error {
			stored <- term
			return nil
		}
	}
	c := &commander.Commander{
		Hold: func(_ context.Context, h scheduler.Hold, _ time.Duration) scheduler.HoldResult {
			return scheduler.HoldResult{Worker: h.Worker, Sent: time.Now(), Outcome: scheduler.OutcomeDone, ClockMS: time.Now().UnixMilli(), StartedMS: 1}
		},
		Start: func(_ context.Context, s scheduler.Start, _, _ time.Duration) scheduler.StartResult {
			if starts.Add(1) > 1 {
				open.Add(1)
				<-release
			}
			return scheduler.StartResult{Start: s, Outcome: scheduler.OutcomeDone, ClockMS: time.Now().UnixMilli()}
		},
		StoreProgress: store("first"),
		LogDecision:   func(scheduler.Decision) {}, ObserveDuration: func(string, time.Duration) {}, Now: time.Now,
	}
	queue := scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000}
	s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: 10 * time.Second}, Epoch: 1, LeadingSince: time.Now(), ConfirmedAt: time.Now().Add(time.Hour)}
	ended := make(chan error, 1)
	go func() {
		ended <- c.Lead(ctx, s, func() []scheduler.Event {
			return []scheduler.Event{
				scheduler.ConfigChanged{Config: scheduler.Config{Queues: map[string]scheduler.Queue{"q": queue}}},
				scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{{ID: "w", Address: "w", Service: "s", Rack: "r", StartedMS: 1, Capacity: placer.Resources{MilliCores: 1e6, MemoryMB: 1e6, Accelerators: tasks}}}},
				scheduler.Submitted{Job: scheduler.Job{
					ID: "j", Queue: "q", Organisation: "o", AcceptedMS: time.Now().UnixMilli(), QueueConfig: queue,
					Steps: []scheduler.Step{{Tasks: tasks, Need: placer.Resources{MilliCores: 1, MemoryMB: 1, Accelerators: 1}, EstimateMS: 60000}},
				}},
			}
		})
	}()
	for range 500 { // until all slots are taken
		if open.Load() == 512 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond) // the progress of the started task is due
	cancel()
	is.True(<-ended != nil)
	c.StoreProgress = store("second")
	close(release)
	is.Equal(<-stored, "first")
}

// The calls that a term's end cancels say nothing about the link of this VM.
func TestEndOfATermDoesNotSlowTheNextOneDown(t *testing.T) {
	is := is.New(t)
	const workers = 100
	var infos []scheduler.WorkerInfo
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		infos = append(infos, scheduler.WorkerInfo{ID: id, Address: id, Service: "s", StartedMS: 1})
	}
	c := &commander.Commander{LogDecision: func(scheduler.Decision) {}, ObserveDuration: func(string, time.Duration) {}, Now: time.Now}
	firstMargin := func() time.Duration {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		margins := make(chan time.Duration, workers)
		var calls, answered atomic.Int64
		c.Hold = func(ctx context.Context, h scheduler.Hold, margin time.Duration) scheduler.HoldResult {
			defer answered.Add(1)
			margins <- margin
			if calls.Add(1) == workers {
				cancel()
			}
			<-ctx.Done()
			return scheduler.HoldResult{Worker: h.Worker, Sent: time.Now(), Outcome: scheduler.OutcomeUnknown}
		}
		s := &scheduler.Scheduler{Epoch: 1, LeadingSince: time.Now()}
		err := c.Lead(ctx, s, func() []scheduler.Event { return []scheduler.Event{scheduler.WorkersListed{Workers: infos}} })
		is.True(err != nil)
		for answered.Load() < calls.Load() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond) // until the results are counted
		return <-margins
	}
	before := firstMargin()
	is.Equal(firstMargin(), before)
}

// The machine service keeps a token for each machine, and a higher one of somebody else is no
// newer leader. A leader that ended for it would end again with each attempt.
func TestFencedMachineDoesNotEndTheLeadership(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var mu sync.Mutex
	var begun []string
	c := &commander.Commander{
		Hold: func(_ context.Context, h scheduler.Hold, _ time.Duration) scheduler.HoldResult {
			return scheduler.HoldResult{Worker: h.Worker, Sent: time.Now(), Outcome: scheduler.OutcomeDone, ClockMS: time.Now().UnixMilli(), StartedMS: 1}
		},
		ListMachines: func(context.Context) scheduler.MachinesListed {
			return scheduler.MachinesListed{OK: true, Machines: []scheduler.Machine{{ID: "m1", Up: true, Worker: "w1", Pool: "s"}, {ID: "m2", Up: true, Worker: "w2", Pool: "s"}}}
		},
		BeginUpkeep: func(_ context.Context, b scheduler.BeginUpkeep) scheduler.UpkeepResult {
			mu.Lock()
			defer mu.Unlock()
			if begun = append(begun, b.Machine); len(begun) == 2 {
				cancel()
			}
			return scheduler.UpkeepResult{Begin: b, Outcome: scheduler.OutcomeFenced}
		},
		StoreWave:   func(context.Context, scheduler.StoreWave) {},
		LogDecision: func(scheduler.Decision) {}, ObserveDuration: func(string, time.Duration) {}, Now: time.Now,
	}
	s := &scheduler.Scheduler{Settings: scheduler.Settings{Machines: true}, Epoch: 1, LeadingSince: time.Now()}
	err := c.Lead(ctx, s, func() []scheduler.Event {
		return []scheduler.Event{
			scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{
				{ID: "w1", Address: "w1", Service: "s", StartedMS: 1}, {ID: "w2", Address: "w2", Service: "s", StartedMS: 1},
			}},
			scheduler.WavesChanged{Waves: []scheduler.Wave{{Number: 1, Machines: []string{"m1", "m2"}, MaxDown: 1, Duration: time.Minute}}},
		}
	})
	is.True(errors.Is(err, context.Canceled)) // by the attempt for the second machine
	is.Equal(begun, []string{"m1", "m2"})
}

// Guards against a leadership that ends because one worker, which may belong to another system,
// rejects its fencing token, and against one that goes on although all workers do.
func TestFencedWorkersEndTheLeadershipOnlyTogether(t *testing.T) {
	for _, c := range []struct {
		name    string
		workers []string
		want    error
	}{
		{"one of two", []string{"w1", "x1"}, context.DeadlineExceeded},
		{"all", []string{"x1", "x2"}, commander.ErrLeadershipLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			x := &commander.Commander{
				Hold: func(_ context.Context, h scheduler.Hold, _ time.Duration) scheduler.HoldResult {
					e := scheduler.HoldResult{Worker: h.Worker, Sent: time.Now(), Outcome: scheduler.OutcomeDone, ClockMS: time.Now().UnixMilli(), StartedMS: 1}
					if h.Worker[0] == 'x' {
						e.Outcome = scheduler.OutcomeFenced
					}
					return e
				},
				LogDecision: func(scheduler.Decision) {}, ObserveDuration: func(string, time.Duration) {}, Now: time.Now,
			}
			s := &scheduler.Scheduler{Epoch: 1, LeadingSince: time.Now()}
			err := x.Lead(ctx, s, func() []scheduler.Event {
				var all []scheduler.WorkerInfo
				for _, id := range c.workers {
					all = append(all, scheduler.WorkerInfo{ID: id, Address: id, Service: "s", StartedMS: 1})
				}
				return []scheduler.Event{scheduler.WorkersListed{Workers: all}}
			})
			is.True(errors.Is(err, c.want))
		})
	}
}
