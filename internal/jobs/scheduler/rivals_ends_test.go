package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

var rivalsBegan = time.Unix(1_000_000, 0)

// startWithMachines lets a leader that follows the list of machines start a task on one of
// two workers. It returns the leader, the start and the time.
func startWithMachines(t *testing.T) (*rival, scheduler.Start, time.Time) {
	t.Helper()
	is := is.New(t)
	r := newRival(rivalsBegan, 1, "w1", "w2")
	r.s.Settings.Machines = true
	now := rivalsBegan.Add(100 * time.Millisecond)
	r.apply(r.s.Reduce(now, machinesUp("w1", "w2")))
	r.step(now, rivalsBegan)
	all := slices.Concat(r.starts["w1"], r.starts["w2"])
	is.Equal(len(all), 1)
	return r, all[0], now
}

// machinesUp returns a list of two machines, of which those of the given workers are up.
func machinesUp(workers ...string) scheduler.MachinesListed {
	e := scheduler.MachinesListed{OK: true}
	for _, id := range []string{"w1", "w2"} {
		e.Machines = append(e.Machines, scheduler.Machine{ID: "m-" + id, Up: slices.Contains(workers, id), Worker: id, Pool: "s", Capacity: rivalNeed})
	}
	return e
}

func otherWorker(id string) string { return map[string]string{"w1": "w2", "w2": "w1"}[id] }

// stepWithout lets 100 ms pass in which a worker refuses connections and its machine is not up.
func (r *rival) stepWithout(now time.Time, id string) {
	r.apply(r.s.Reduce(now, machinesUp(otherWorker(id))))
	if r.holds[id] {
		delete(r.holds, id)
		r.apply(r.s.Reduce(now, scheduler.HoldResult{Worker: id, Sent: now, Outcome: scheduler.OutcomeUnsent}))
	}
	refused := r.holds[id]
	delete(r.holds, id)
	r.step(now, rivalsBegan)
	r.holds[id] = r.holds[id] || refused
}

// The worker comes up again under its name, and the start is still being tried.
func TestStartInFlightDoesNotEndWithTheMachineOfItsWorker(t *testing.T) {
	is := is.New(t)
	r, start, now := startWithMachines(t)
	for range 15 {
		now = now.Add(100 * time.Millisecond)
		r.apply(r.s.Reduce(now, scheduler.Confirmed{Sent: now}))
		r.stepWithout(now, start.Worker)
	}
	is.Equal(len(r.starts[otherWorker(start.Worker)]), 0)
	r.apply(r.s.Reduce(now, scheduler.StartResult{Start: start, Outcome: scheduler.OutcomeUnsent}))
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		r.apply(r.s.Reduce(now, scheduler.Confirmed{Sent: now}))
		r.stepWithout(now, start.Worker)
	}
	is.Equal(len(r.starts[otherWorker(start.Worker)]), 1) // it was not sent
}

// A later leader may have acknowledged the success of the run before its worker crashed.
func TestLeaderThatCannotRenewDoesNotRepeatATaskOfACrashedWorker(t *testing.T) {
	is := is.New(t)
	r, start, now := startWithMachines(t)
	r.apply(r.s.Reduce(now, scheduler.StartResult{Start: start, Outcome: scheduler.OutcomeDone, ClockMS: workerClock(now, rivalsBegan)}))
	for ; now.Before(rivalsBegan.Add(4 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.step(now, rivalsBegan)
	}
	for ; now.Before(rivalsBegan.Add(7 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.stepWithout(now, start.Worker)
	}
	is.Equal(len(r.starts[otherWorker(start.Worker)]), 0)
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		r.apply(r.s.Reduce(now, scheduler.Confirmed{Sent: now}))
		r.stepWithout(now, start.Worker)
	}
	is.Equal(len(r.starts[otherWorker(start.Worker)]), 1) // no other leads
}

func TestLeaderThatCannotRenewDoesNotRepeatATaskOfARestartedWorker(t *testing.T) {
	is := is.New(t)
	r, start, now := startWithMachines(t)
	r.apply(r.s.Reduce(now, scheduler.StartResult{Start: start, Outcome: scheduler.OutcomeDone, ClockMS: workerClock(now, rivalsBegan)}))
	for ; now.Before(rivalsBegan.Add(7 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.restarted[start.Worker] = now.Sub(rivalsBegan) >= 4*time.Second
		r.step(now, rivalsBegan)
	}
	is.Equal(len(r.starts["w1"])+len(r.starts["w2"]), 1)
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		r.apply(r.s.Reduce(now, scheduler.Confirmed{Sent: now}))
		r.step(now, rivalsBegan)
	}
	is.Equal(len(r.starts["w1"])+len(r.starts["w2"]), 2) // no other leads
}

// The crashed worker had not answered: a later leader may have reached it before.
func TestLeaderThatCannotRenewStartsNoInheritedTaskOnceAWorkerHasCrashed(t *testing.T) {
	is := is.New(t)
	r := newRival(rivalsBegan, 2, "w2")
	r.s.Settings.Machines = true
	now := rivalsBegan
	for ; now.Before(rivalsBegan.Add(4 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.apply(r.s.Reduce(now, machinesUp("w1", "w2")))
		r.step(now, rivalsBegan)
	}
	for ; now.Before(rivalsBegan.Add(7 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.stepWithout(now, "w1")
	}
	is.Equal(len(r.starts["w2"]), 0)
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		r.apply(r.s.Reduce(now, scheduler.Confirmed{Sent: now}))
		r.stepWithout(now, "w1")
	}
	is.Equal(len(r.starts["w2"]), 1) // no other leads
}
