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

// partFaults begins and ends outages of some partitions until stop is closed, and returns what
// it has done. It draws from a source of its own, so that the other faults of a seed stay the
// same.
func (s *soak) partFaults(seed uint64, stop <-chan struct{}) []string {
	if *soakParts < 2 {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, 10))
	kinds := []platformstandin.Outage{platformstandin.OutageBusy, platformstandin.OutageReset, platformstandin.OutageSilent, platformstandin.OutageLost}
	var faults []string
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
			s.store.SetOutage(part, kind)
		}
		faults = append(faults, fmt.Sprintf("%s partitions %v are %s", time.Now().Format("15:04:05.000"), failing, kind))
		wait(minPartOutage + time.Duration(r.Int64N(int64(partOutageSpan))))
		for _, part := range failing {
			s.store.SetOutage(part, "")
		}
		faults = append(faults, fmt.Sprintf("%s partitions %v serve again", time.Now().Format("15:04:05.000"), failing))
	}
	return faults
}
