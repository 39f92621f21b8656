// Package relayer reaches the store through other entry VMs while it turns this
// one away.
package relayer

import (
	"slices"
	"time"
)

const (
	suspicion = 600 * time.Millisecond  // without direct calls after one failed; then one tries again
	rest      = 1500 * time.Millisecond // before a peer that could not help is asked again
	maxPeers  = 2                       // asked for one call
)

// Direct is the address of the direct way.
const Direct = ""

// Route decides which ways to the store are tried. It answers for a store that
// turns some VMs away, by an answer or by silence, and serves the others; when it
// serves nobody, each call costs few tries.
type Route struct {
	suspectUntil time.Time
	suspect      bool
	resting      map[string]time.Time // by peer, until when
	turn         int                  // spreads the calls over the peers
}

// Order returns the ways to try, in this order.
func (r *Route) Order(now time.Time, peers []string) []string {
	var usable []string
	for i := range peers {
		p := peers[(i+r.turn)%len(peers)]
		if !now.Before(r.resting[p]) {
			usable = append(usable, p)
		}
	}
	r.turn++
	usable = usable[:min(len(usable), maxPeers)]
	if r.suspect && now.Before(r.suspectUntil) && len(usable) > 0 {
		return usable
	}
	return slices.Insert(usable, 0, Direct)
}

// Note takes in how a try went.
func (r *Route) Note(now time.Time, way string, worked bool) {
	if way == Direct {
		r.suspect = !worked
		r.suspectUntil = now.Add(suspicion)
		return
	}
	if r.resting == nil {
		r.resting = map[string]time.Time{}
	}
	if worked {
		delete(r.resting, way)
		return
	}
	r.resting[way] = now.Add(rest)
}

// Suspect reports whether the direct way failed last.
func (r *Route) Suspect() bool { return r.suspect }
