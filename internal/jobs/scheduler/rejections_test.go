package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// rejectingWorld is a scheduler with workers that answer every hold at once.
type rejectingWorld struct {
	s        *scheduler.Scheduler
	now      time.Time
	rejects  map[string]bool // workers that reject the fencing token
	holds    map[string]int
	starts   map[string]int
	resigned bool
}

func newRejectingWorld(services map[string]string, rejects ...string) *rejectingWorld {
	w := &rejectingWorld{now: time.Unix(1_000_000, 0), rejects: map[string]bool{}, holds: map[string]int{}, starts: map[string]int{}}
	for _, id := range rejects {
		w.rejects[id] = true
	}
	w.s = &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease, Machines: true}, Epoch: 7, LeadingSince: w.now}
	w.feed(scheduler.ConfigChanged{Config: scheduler.Config{Queues: map[string]scheduler.Queue{"q": {Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000}}}})
	e := scheduler.MachinesListed{OK: true}
	var infos []scheduler.WorkerInfo
	for id, service := range services {
		infos = append(infos, scheduler.WorkerInfo{
			ID: id, Address: id, Service: service, StartedMS: 1, Capacity: placer.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8},
		})
		e.Machines = append(e.Machines, scheduler.Machine{ID: "m-" + id, Up: true, Worker: id, Pool: service})
	}
	slices.SortFunc(infos, func(a, b scheduler.WorkerInfo) int { return strings.Compare(a.ID, b.ID) })
	w.feed(scheduler.WorkersListed{Workers: infos})
	w.feed(e)
	return w
}

func (w *rejectingWorld) feed(e scheduler.Event) {
	for _, f := range w.s.Reduce(w.now, e) {
		switch f := f.(type) {
		case scheduler.Resign:
			w.resigned = true
		case scheduler.Hold:
			w.holds[f.Worker]++
			r := scheduler.HoldResult{Worker: f.Worker, Sent: w.now, Outcome: scheduler.OutcomeDone, ClockMS: 60_000 + w.now.UnixMilli() - 1_000_000_000, StartedMS: 1}
			if w.rejects[f.Worker] {
				r = scheduler.HoldResult{Worker: f.Worker, Sent: w.now, Outcome: scheduler.OutcomeFenced, ClockMS: 1, StartedMS: 1}
			}
			w.now = w.now.Add(time.Millisecond)
			if f.Wait == 0 {
				w.feed(r)
			}
		case scheduler.Start:
			w.starts[f.Worker]++
			w.feed(scheduler.StartResult{Start: f, Outcome: scheduler.OutcomeDone, ClockMS: 60_000 + w.now.UnixMilli() - 1_000_000_000})
		}
	}
}

func (w *rejectingWorld) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		w.feed(scheduler.Confirmed{Sent: w.now})
		w.feed(scheduler.Ticked{})
	}
}

func (w *rejectingWorld) submit(tasks int) {
	w.feed(scheduler.Submitted{Offset: 1, Job: scheduler.Job{
		ID: "j", Queue: "q", Organisation: "o", AcceptedMS: w.now.UnixMilli(), QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000},
		Steps: []scheduler.Step{{Tasks: tasks, Need: placer.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 8}, EstimateMS: 60_000}},
	}})
}

// Guards against workers of another system's service that are called: they lose their own
// leader, or the one that they have ends this leadership.
func TestWorkersOfUnnamedServicesAreNotCalled(t *testing.T) {
	is := is.New(t)
	w := newRejectingWorld(map[string]string{"w1": "s", "x1": "other"}, "x1")
	w.submit(1)
	w.advance(3 * time.Second)
	is.Equal(w.holds["x1"], 0)
	is.Equal(w.starts["w1"], 1)
	is.True(!w.resigned)
	w.feed(scheduler.ConfigChanged{Config: scheduler.Config{Pools: map[string]bool{"other": false}}})
	w.advance(time.Second)
	is.True(w.holds["x1"] > 0) // the service is this system's now
}

// Guards against a leadership that ends because single workers, which never accepted it, belong
// to another system, and against starts and frequent calls there.
func TestRejectionOfAFewWorkersDoesNotEndTheLeadership(t *testing.T) {
	is := is.New(t)
	w := newRejectingWorld(map[string]string{"w1": "s", "w2": "s", "w3": "s", "x1": "s", "x2": "s", "x3": "s", "x4": "s"}, "x1", "x2", "x3", "x4")
	w.submit(3)
	w.advance(20 * time.Second)
	is.True(!w.resigned)
	for i := range 3 {
		is.Equal(w.starts[fmt.Sprintf("w%d", i+1)], 1)
	}
	for i := range 4 {
		is.Equal(w.starts[fmt.Sprintf("x%d", i+1)], 0)
		is.True(w.holds[fmt.Sprintf("x%d", i+1)] < 10)
	}
}

// A newer leader shows in the rejections of workers that have accepted this one. Guards against a
// leader that goes on for long although most of them reject it, and against one that ends for one
// worker alone.
func TestRejectionsOfMostWorkersThatAcceptedEndTheLeadership(t *testing.T) {
	is := is.New(t)
	w := newRejectingWorld(map[string]string{"w1": "s", "w2": "s", "w3": "s"})
	w.submit(3)
	w.advance(time.Second)
	is.Equal(len(w.starts), 3)
	reject := func(id string) {
		w.rejects[id] = true
		w.feed(scheduler.HoldResult{Worker: id, Sent: w.now, Outcome: scheduler.OutcomeFenced})
	}
	reject("w1")
	w.advance(time.Second)
	is.True(!w.resigned)
	reject("w2")
	is.True(w.resigned)
}

// A leader that no worker accepts can do nothing, and only a claim with a higher token helps.
func TestRejectionsOfAllWorkersEndTheLeadership(t *testing.T) {
	is := is.New(t)
	w := newRejectingWorld(map[string]string{"w1": "s", "w2": "s"}, "w1", "w2")
	is.True(!w.resigned)
	w.advance(3 * time.Second)
	is.True(w.resigned)
	w = newRejectingWorld(map[string]string{"w1": "s"})
	w.submit(1)
	w.advance(2 * time.Second)
	is.Equal(w.starts["w1"], 1)
	w.feed(scheduler.HoldResult{Worker: "w1", Sent: w.now, Outcome: scheduler.OutcomeFenced}) // the only one
	is.True(w.resigned)
}
