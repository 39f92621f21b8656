package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// A worker whose heartbeats have not reached the store for long is in no list, but an earlier
// leader that reaches it extends its leases until it is replaced. Without a list of machines
// only the time tells that it runs nothing any more.
func TestNewLeaderWithoutAListOfMachinesWaitsForUnlistedWorkers(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	first := newRival(began, 1, "w1")
	now := began
	for now.Before(began.Add(time.Second)) {
		now = now.Add(100 * time.Millisecond)
		first.step(now, began)
	}
	is.Equal(len(first.starts["w1"]), 1)
	second := &rival{answers: []string{"w2"}, ends: map[string]int64{}, starts: map[string][]scheduler.Start{}, holds: map[string]bool{}, restarted: map[string]bool{}}
	second.s = &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease}, Epoch: 2, LeadingSince: now}
	second.apply(second.s.Reduce(now, inheritedJob("a"), scheduler.WorkersListed{Workers: []scheduler.WorkerInfo{restartInfo("w2", 1)}}))
	for len(second.starts["w2"]) == 0 {
		is.True(now.Before(began.Add(time.Minute))) // the task is started again
		now = now.Add(100 * time.Millisecond)
		second.s.Reduce(now, scheduler.Confirmed{Sent: now})
		second.step(now, began)
	}
	if d := time.Duration(first.ends["w1"]-workerClock(now, began)) * time.Millisecond; d > 0 {
		t.Fatalf("the lease of the first run ends %v after the second start", d)
	}
}
