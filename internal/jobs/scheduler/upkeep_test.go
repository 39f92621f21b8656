package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// machineWorld simulates two machines: the upkeep of m takes two seconds, that of busy is
// answered as outcome says.
type machineWorld struct {
	s           *scheduler.Scheduler
	now         time.Time
	outcome     scheduler.Outcome
	upkeepUntil time.Time
	worker      string
	begun       map[string]int // upkeeps of m, requests for busy
	completed   map[int]bool   // waves
	next        []scheduler.Event
}

func newMachineWorld(outcome scheduler.Outcome) *machineWorld {
	now := time.Unix(1_000_000, 0)
	return &machineWorld{
		s: &scheduler.Scheduler{
			Settings: scheduler.Settings{Lease: 10 * time.Second, Machines: true}, Epoch: 1, LeadingSince: now, ConfirmedAt: now,
		},
		now: now, outcome: outcome, worker: "w", begun: map[string]int{}, completed: map[int]bool{},
	}
}

// advance lets time pass and the scheduler handle events.
func (w *machineWorld) advance(d time.Duration, events ...scheduler.Event) {
	const step = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		if !w.upkeepUntil.IsZero() && w.now.After(w.upkeepUntil) {
			w.worker, w.upkeepUntil = w.worker+"'", time.Time{}
		}
		info := scheduler.WorkerInfo{ID: w.worker, Address: w.worker, Service: "s", StartedMS: 1}
		events = append(append(events, w.next...), scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{info}}, scheduler.Confirmed{Sent: w.now}, scheduler.Ticked{})
		w.next = nil
		for _, f := range w.s.Reduce(w.now, events...) {
			w.execute(f)
		}
		events = nil
	}
}

func (w *machineWorld) execute(f scheduler.Effect) {
	switch f := f.(type) {
	case scheduler.ListMachines:
		m := scheduler.Machine{ID: "m", Pool: "s", Up: w.upkeepUntil.IsZero(), InUpkeep: !w.upkeepUntil.IsZero()}
		if m.Up {
			m.Worker = w.worker
		}
		w.next = append(w.next, scheduler.MachinesListed{OK: true, Machines: []scheduler.Machine{m, {ID: "busy", Pool: "s", Up: true}}})
	case scheduler.Hold:
		w.next = append(w.next, scheduler.HoldResult{Worker: f.Worker, Sent: w.now, Outcome: scheduler.OutcomeDone, ClockMS: w.now.UnixMilli(), StartedMS: 1})
	case scheduler.BeginUpkeep:
		o := w.outcome
		switch {
		case f.Machine == "m" && w.upkeepUntil.IsZero():
			o = scheduler.OutcomeDone
			w.upkeepUntil = w.now.Add(2 * time.Second)
		case f.Machine == "m":
			o = scheduler.OutcomeUnhealthy
		}
		if f.Machine != "m" || o == scheduler.OutcomeDone {
			w.begun[f.Machine]++
		}
		w.next = append(w.next, scheduler.UpkeepResult{Begin: f, Outcome: o})
	case scheduler.StoreWave:
		w.completed[f.Number] = f.Completed
	}
}

func wave(number int, machines ...string) scheduler.Wave {
	return scheduler.Wave{Number: number, Machines: machines, MaxDown: 1, Duration: time.Minute}
}

func TestMachineOfTwoWavesHasTheUpkeepOfBoth(t *testing.T) {
	is := is.New(t)
	w := newMachineWorld(scheduler.OutcomeUnhealthy)
	w.advance(500*time.Millisecond, scheduler.ConfigChanged{}, scheduler.WavesChanged{Waves: []scheduler.Wave{wave(1, "m"), wave(2, "busy", "m")}})
	is.Equal(w.begun["m"], 1)
	w.advance(5 * time.Second)
	w.outcome = scheduler.OutcomeObsolete
	w.advance(20 * time.Second)
	is.Equal(w.begun["m"], 2)
	is.True(w.completed[1])
	is.True(w.completed[2])
}

func TestUpkeepThatIsFencedIsNotRequestedAgain(t *testing.T) {
	is := is.New(t)
	w := newMachineWorld(scheduler.OutcomeFenced)
	w.advance(20*time.Second, scheduler.ConfigChanged{}, scheduler.WavesChanged{Waves: []scheduler.Wave{wave(1, "busy")}})
	is.Equal(w.begun["busy"], 1)
}
