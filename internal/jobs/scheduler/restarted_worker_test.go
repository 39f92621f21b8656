package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// oldClock is the clock of a worker that has run for an hour, in milliseconds.
const oldClock = 3_600_000

// restartWorld is a leader with the worker w1, whose calls a test answers, and w2, which joins
// later and answers each hold at once.
type restartWorld struct {
	s       *scheduler.Scheduler
	now     time.Time
	pending []scheduler.Effect // those for w1, unanswered
	starts  []scheduler.Start
	startAt []time.Time
	answers []scheduler.Event // of w2 and of the store
}

func newRestartWorld() *restartWorld {
	r := &restartWorld{now: time.Unix(1_000_000, 0)}
	r.s = &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: 1, LeadingSince: r.now}
	r.feed(scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{restartInfo("w1", 1)}})
	r.feed(scheduler.HoldResult{Worker: "w1", Sent: r.now, Outcome: scheduler.OutcomeDone, ClockMS: oldClock, StartedMS: 1})
	return r
}

func restartInfo(id string, born int64) scheduler.WorkerInfo {
	return scheduler.WorkerInfo{ID: id, Address: id, Service: "s", Rack: "r", StartedMS: born, Capacity: placer.Resources{MilliCores: 2000, MemoryMB: 2000}}
}

func restartJob(id string, offset int64) scheduler.Submitted {
	return scheduler.Submitted{Offset: offset, Job: scheduler.Job{
		ID: id, Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3},
		Steps: []scheduler.Step{{Tasks: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 1000}, EstimateMS: 60_000}},
	}}
}

// inheritedJob returns such a job, which an earlier leader may have started.
func inheritedJob(id string) scheduler.Submitted {
	e := restartJob(id, 0)
	e.Inherited = true
	return e
}

// feed handles events and collects the effects.
func (r *restartWorld) feed(events ...scheduler.Event) {
	for _, f := range r.s.Reduce(r.now, events...) {
		switch f := f.(type) {
		case scheduler.Start:
			r.starts, r.startAt = append(r.starts, f), append(r.startAt, r.now)
			if f.Worker == "w1" {
				r.pending = append(r.pending, f)
			}
		case scheduler.Stop:
			if f.Worker == "w1" {
				r.pending = append(r.pending, f)
			}
		case scheduler.Hold:
			if f.Worker == "w1" {
				r.pending = append(r.pending, f)
			} else {
				r.answers = append(r.answers, scheduler.HoldResult{Worker: f.Worker, Sent: r.now, Outcome: scheduler.OutcomeDone, ClockMS: r.now.UnixMilli(), StartedMS: 1})
			}
		case scheduler.Store:
			r.answers = append(r.answers, scheduler.Stored{})
		}
	}
}

// step lets 100 ms pass, in which the leadership is confirmed.
func (r *restartWorld) step() {
	r.now = r.now.Add(100 * time.Millisecond)
	answers := r.answers
	r.answers = nil
	r.feed(answers...)
	r.feed(scheduler.Confirmed{Sent: r.now}, scheduler.Ticked{})
}

// addSpare lets w2 join.
func (r *restartWorld) addSpare(born int64) {
	r.feed(scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{restartInfo("w1", born), restartInfo("w2", 1)}})
}

// cutOff leaves the pending calls to w1 without an answer.
func (r *restartWorld) cutOff() {
	pending := r.pending
	r.pending = nil
	for _, f := range pending {
		switch f := f.(type) {
		case scheduler.Start:
			r.feed(scheduler.StartResult{Start: f, Outcome: scheduler.OutcomeUnknown})
		case scheduler.Stop:
			r.feed(scheduler.StopResult{Stop: f, Outcome: scheduler.OutcomeUnknown})
		case scheduler.Hold:
			r.feed(scheduler.HoldResult{Worker: f.Worker, Sent: r.now, Outcome: scheduler.OutcomeUnknown})
		}
	}
}

// secondStart returns how long after the first start its task is started on w2.
func (r *restartWorld) secondStart() (time.Duration, error) {
	for range 300 {
		r.step()
		r.cutOff()
		if len(r.starts) == 2 {
			return r.startAt[1].Sub(r.startAt[0]), nil
		}
	}
	return 0, fmt.Errorf("there are %d starts", len(r.starts))
}

// A start is sent again while it gets no answer, and its deadline lies far ahead on the clock of
// a new instance, which grants the longest lease from the time at which the last try arrives.
func TestLeaseOnARestartedWorkerMayBeginWithTheLastTryOfAStart(t *testing.T) {
	const tries = 1800 * time.Millisecond // three without an answer
	for name, born := range map[string]int64{"restart is unknown": 1, "restart is listed": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRestartWorld()
			for range 200 { // an idle worker is not called
				r.step()
			}
			r.feed(restartJob("a", 1))
			is.Equal(len(r.starts), 1)
			r.addSpare(born)
			for range tries / (100 * time.Millisecond) {
				r.step()
			}
			r.cutOff()
			d, err := r.secondStart()
			is.NoErr(err)
			if d < tries+lease {
				t.Fatalf("the task is started again after %v, its first run may last for %v", d, tries+lease)
			}
		})
	}
}
