package server

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// workersToCall returns the listed workers that this VM renews, and those that
// another VM renews for it and that are due for a retry.
func (r *renewer) workersToCall(now time.Time) []connector.ListedVM {
	v := r.s.view.Load()
	live := v.members.Live(now, r.s.leaving.Load())
	workers := v.workers()
	self := r.s.Settings.VM
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reach.Complete() {
		r.reach = r.reach.Retain(locationsOf(workers))
	}
	r.peerUnreachable[self] = r.reach.Unreachable(locationsOf(workers))
	renewerOf := r.renewerLookup(live)
	return slices.DeleteFunc(workers, func(l connector.ListedVM) bool {
		return renewerOf(l) != self && !r.reach.Retry(now, l.ID)
	})
}

// renewerLookup returns a function that returns the renewing VM of a worker. While
// every VM reaches all its workers, the owner is computed once per rack.
func (r *renewer) renewerLookup(live []string) func(connector.ListedVM) string {
	for _, vm := range live {
		if len(r.peerUnreachable[vm]) > 0 {
			return func(l connector.ListedVM) string { return leaser.Renewer(locationOf(l), live, r.peerUnreachable) }
		}
	}
	byRack := map[string]string{}
	return func(l connector.ListedVM) string {
		vm, ok := byRack[l.Rack]
		if !ok {
			vm = leaser.Owner(l.Rack, live)
			byRack[l.Rack] = vm
		}
		return vm
	}
}

// unreachable returns the workers and racks that this VM cannot reach, for its
// digest.
func (r *renewer) unreachable() []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reach.Complete() {
		return nil
	}
	return r.reach.Unreachable(locationsOf(r.s.view.Load().workers()))
}

func locationOf(l connector.ListedVM) leaser.WorkerLocation {
	return leaser.WorkerLocation{Worker: l.ID, Rack: l.Rack}
}

func locationsOf(workers []connector.ListedVM) []leaser.WorkerLocation {
	p := make([]leaser.WorkerLocation, len(workers))
	for i, l := range workers {
		p[i] = locationOf(l)
	}
	return p
}

// recordFailure records that a worker did not answer. The worker is called again
// soon.
func (r *renewer) recordFailure(now time.Time, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, hasReading := r.readings[worker]
	r.reach = r.reach.WithFailure(now, worker, hasReading)
	r.callState[worker] = callState{lastCall: now}
}
