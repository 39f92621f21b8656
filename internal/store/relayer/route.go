// Package relayer reaches the store through other entry VMs while it turns this
// one away.
package relayer

import (
	"slices"
	"time"
)

const (
	probePause = 300 * time.Millisecond  // between two probes of the direct way
	rest       = 1500 * time.Millisecond // before a peer that could not help is asked again
	maxMisses  = 5                       // doublings of the rest of a peer that is not reached: 48 s, as it may be gone for good
	maxPeers   = 2                       // asked for one call
)

// Direct is the address of the direct way.
const Direct = ""

// Route decides which ways to the store are tried. It answers for a store that
// turns some VMs away, by an answer or by silence, and serves the others; when it
// serves nobody, each call costs few tries.
type Route struct {
	suspect bool // the direct way failed last
	probeAt time.Time
	resting map[string]time.Time // by peer, until when
	misses  map[string]int       // by peer, times in a row that it was not reached
	turn    int                  // spreads the calls over the peers
}

// Order returns the ways to try, in this order. While the direct way is suspect it
// is left out, so that a call which cannot be made is surely not made; Probe says
// when to find out whether it works again.
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
	if r.suspect {
		return usable
	}
	return slices.Insert(usable, 0, Direct)
}

// Probe reports whether the direct way is to be tried apart from any call.
func (r *Route) Probe(now time.Time) bool { return r.suspect && !now.Before(r.probeAt) }

// Note takes in how a try went.
func (r *Route) Note(now time.Time, way string, worked bool) {
	if way == Direct {
		r.suspect = !worked
		r.probeAt = now.Add(probePause)
		return
	}
	if r.resting == nil {
		r.resting = map[string]time.Time{}
	}
	delete(r.misses, way)
	if worked {
		delete(r.resting, way)
		return
	}
	r.resting[way] = now.Add(rest)
}

// Miss takes in that a peer was not reached. Peers of machines that were replaced stay
// on the list; each try of one holds a caller up.
func (r *Route) Miss(now time.Time, peer string) {
	if r.misses == nil {
		r.misses = map[string]int{}
	}
	n := min(r.misses[peer]+1, maxMisses)
	r.Note(now, peer, false)
	r.misses[peer] = n
	r.resting[peer] = now.Add(rest << n)
}

// Suspect reports whether the direct way failed last.
func (r *Route) Suspect() bool { return r.suspect }
