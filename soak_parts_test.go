package main_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

var soakParts = flag.Int("soak.parts", 4, "partitions of each topic of the store; with more than one, some of them fail at times")

const (
	minPartOutage  = 300 * time.Millisecond
	partOutageSpan = 2500 * time.Millisecond // added at random to minPartOutage
)

// failPartitions begins and ends outages of some partitions of a store until stop is closed. It
// draws from a source of its own, so that the other faults of a seed stay the same. begin is
// called with each outage, and returns what is called at its end.
func failPartitions(store *platformstandin.Store, seed uint64, stop <-chan struct{}, begin func(format string, a ...any) func()) {
	if *soakParts < 2 {
		return
	}
	r := rand.New(rand.NewPCG(seed, 11))
	kinds := []platformstandin.Outage{platformstandin.OutageBusy, platformstandin.OutageReset, platformstandin.OutageSilent, platformstandin.OutageLost}
	wait := func(d time.Duration) bool {
		select {
		case <-stop:
			return false
		case <-time.After(d):
			return true
		}
	}
	for wait(time.Duration(r.Int64N(int64(time.Second)))) {
		failing := r.Perm(*soakParts)[:1+r.IntN(*soakParts/2)]
		if !slices.Contains(failing, 0) && r.IntN(2) == 0 {
			failing[0] = 0
		}
		kind := kinds[r.IntN(len(kinds))]
		for _, part := range failing {
			store.SetOutage(part, kind)
		}
		end := begin("partitions %v of the store are %s", failing, kind)
		wait(minPartOutage + time.Duration(r.Int64N(int64(partOutageSpan))))
		for _, part := range failing {
			store.SetOutage(part, "")
		}
		end()
	}
}

// partFaults lets partitions fail until stop is closed, and returns when which did.
func (s *soak) partFaults(stop <-chan struct{}) []string {
	var faults []string
	note := func(what string) { faults = append(faults, time.Now().Format("15:04:05.000 ")+what) }
	failPartitions(s.store, s.seed, stop, func(format string, a ...any) func() {
		what := fmt.Sprintf(format, a...)
		note(what)
		return func() { note("no more: " + what) }
	})
	return faults
}
