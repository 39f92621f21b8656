package server

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// owned returns the listed workers that this VM renews, and those that it left to
// another VM and is to try again.
func (r *renewer) owned(now time.Time) []connector.ListedVM {
	v := r.s.view.Load()
	live := v.members.Live(now, r.s.leaving.Load())
	workers := v.workers()
	self := r.s.Settings.VM
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reach.Complete() {
		r.reach = r.reach.WithListed(places(workers))
	}
	r.heard[self] = r.reach.Unreached(places(workers))
	renewer := r.renewers(live)
	return slices.DeleteFunc(workers, func(l connector.ListedVM) bool {
		return renewer(l) != self && !r.reach.Retry(now, l.ID)
	})
}

// renewers returns what tells the renewing VM of a worker. While every VM reaches
// what it is to reach, it asks for each rack once.
func (r *renewer) renewers(live []string) func(connector.ListedVM) string {
	for _, vm := range live {
		if len(r.heard[vm]) > 0 {
			return func(l connector.ListedVM) string { return leaser.Renewer(place(l), live, r.heard) }
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

// unreached returns what this VM cannot reach, for its digest.
func (r *renewer) unreached() []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reach.Complete() {
		return nil
	}
	return r.reach.Unreached(places(r.s.view.Load().workers()))
}

func place(l connector.ListedVM) leaser.Place { return leaser.Place{Worker: l.ID, Rack: l.Rack} }

func places(workers []connector.ListedVM) []leaser.Place {
	p := make([]leaser.Place, len(workers))
	for i, l := range workers {
		p[i] = place(l)
	}
	return p
}

// missed notes that a worker did not answer. It is called again soon.
func (r *renewer) missed(now time.Time, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, read := r.readings[worker]
	r.reach = r.reach.WithMiss(now, worker, read)
	r.pace[worker] = pace{called: now}
}
