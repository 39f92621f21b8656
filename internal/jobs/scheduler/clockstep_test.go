package scheduler_test

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// wallStepped returns a time whose wall clock is stepped by whole seconds against its
// monotonic clock, as the clock of a VM is that gets set.
func wallStepped(t time.Time, seconds int) time.Time {
	const nanosecondBits = 30               // of the first word of a time with a monotonic clock; the seconds follow
	p := (*uint64)(unsafe.Pointer(&t))      // package time offers no other way
	*p += uint64(seconds) << nanosecondBits // wraps around for a step back
	return t
}

// stepWorld is a leader with one worker that answers at given times.
type stepWorld struct {
	s  *scheduler.Scheduler
	at func(time.Duration) time.Time
}

func newStepWorld(began time.Time) *stepWorld {
	w := &stepWorld{at: began.Add}
	w.s = &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: 1, LeadingSince: began}
	w.s.Reduce(began, scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{{
		ID: "w", Address: "w", Service: "s", Rack: "r", StartedMS: 1, Capacity: placer.Resources{MilliCores: 8000, MemoryMB: 8000},
	}}})
	w.answer(0, 0)
	return w
}

// answer delivers the answer to a long poll that was sent and answered at the given times.
func (w *stepWorld) answer(sent, answered time.Duration, ends ...scheduler.End) []scheduler.Effect {
	return w.s.Reduce(w.at(answered), scheduler.HoldResult{
		Worker: "w", Sent: w.at(sent), Outcome: scheduler.OutcomeDone, ClockMS: 5000 + answered.Milliseconds(), StartedMS: 1, Ends: ends,
	})
}

func (w *stepWorld) submit(now time.Duration, id string) []scheduler.Effect {
	return w.s.Reduce(w.at(now), scheduler.Submitted{Job: scheduler.Job{
		ID: id, Queue: "q", QueueConfig: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3}, AcceptedMS: w.at(now).UnixMilli(),
		Steps: []scheduler.Step{{Tasks: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 1000}, EstimateMS: 60000}},
	}})
}

// A worker lists 500 ends at most, so a leader that acknowledges none after a step of its
// clock loses track of the worker.
func TestEndsAreAcknowledgedAfterTheClockIsSetForward(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	w := newStepWorld(began)
	w.at = func(d time.Duration) time.Time { return wallStepped(began.Add(d), 3600) }
	w.s.Reduce(w.at(900*time.Millisecond), scheduler.Confirmed{Sent: w.at(900 * time.Millisecond)})
	end := scheduler.End{Number: 1, Task: scheduler.TaskID{Job: "a"}, Run: 1, Reason: scheduler.EndReasonDone}
	w.submit(time.Second, "a")
	effects := w.answer(1100*time.Millisecond, 1500*time.Millisecond, end)
	last := int64(-1)
	for now := 1500 * time.Millisecond; now < 4*time.Second; now += 20 * time.Millisecond {
		held := false
		for _, f := range effects {
			if h, ok := f.(scheduler.Hold); ok {
				held, last = true, max(last, h.Ack)
			}
		}
		if held {
			effects = w.answer(now, now+20*time.Millisecond, end)
			continue
		}
		effects = w.s.Reduce(w.at(now), scheduler.Ticked{}, scheduler.Stored{})
	}
	is.Equal(last, int64(1))
}

// A job that is read while the leadership is uncertain must start after the next renewal,
// whatever happens to the wall clock in between.
func TestUnconfirmedJobStartsAfterTheClockIsSetBack(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	w := newStepWorld(began)
	w.answer(2900*time.Millisecond, 2900*time.Millisecond)
	is.Equal(startedOn(w.submit(3*time.Second, "a")), nil) // no renewal for 3 s
	w.at = func(d time.Duration) time.Time { return wallStepped(began.Add(d), -3600) }
	f := w.s.Reduce(w.at(3500*time.Millisecond), scheduler.Confirmed{Sent: w.at(3400 * time.Millisecond)}, scheduler.Ticked{})
	is.Equal(startedOn(f), []string{"w"})
}
