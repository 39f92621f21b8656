// Package relayer calls the store through other entry VMs while the store rejects or
// does not answer calls of this one.
package relayer

import (
	"slices"
	"time"
)

const (
	probeInterval      = 300 * time.Millisecond  // between two probes of the direct route
	otherProbeInterval = time.Second             // of partitions other than 0, which others replace
	maxProbedIdle      = 20 * time.Second        // after the last call to a partition, in which it is probed; longer than any long poll
	peerRetryDelay     = 1500 * time.Millisecond // before a peer whose call failed is tried again
	maxDoublings       = 5                       // of the retry delay of an unreachable peer, up to 48 s: it may be gone for good
	maxPeersPerCall    = 2                       // limits the attempts of a failing call
)

// Direct stands for the direct route to the store in place of a peer's address.
const Direct = ""

// RouteSelector chooses the routes to the store that a call tries: the direct one or
// peers. It handles a store that rejects or ignores some VMs and serves the others;
// while the store serves no VM, each call makes few attempts.
type RouteSelector struct {
	directFailed    bool // result of the last attempt on the direct route
	nextProbe       time.Time
	retryAt         map[string]time.Time // by peer, earliest time of the next attempt
	connectFailures map[string]int       // by peer, consecutive failures to connect
	rotation        int                  // first peer of the next call, to spread the load
}

// Candidates returns the routes to try, in order. After a failure of the direct route
// it is left out until a probe succeeds, so that a call which no peer carries out is
// known not to have been made.
func (r *RouteSelector) Candidates(now time.Time, peers []string) []string {
	var usable []string
	for i := range peers {
		p := peers[(i+r.rotation)%len(peers)]
		if !now.Before(r.retryAt[p]) {
			usable = append(usable, p)
		}
	}
	r.rotation++
	usable = usable[:min(len(usable), maxPeersPerCall)]
	if r.directFailed {
		return usable
	}
	return slices.Insert(usable, 0, Direct)
}

// ProbeDue reports whether it is time to probe the failed direct route.
func (r *RouteSelector) ProbeDue(now time.Time) bool {
	return r.directFailed && !now.Before(r.nextProbe)
}

// ProbeStarted records that the failed direct route is being probed. The next probe does not wait
// for the result: a store that was silent may leave a call without an answer and answer the next.
func (r *RouteSelector) ProbeStarted(now time.Time, interval time.Duration) {
	r.nextProbe = now.Add(interval)
}

// RecordResult records the result of an attempt on a route.
func (r *RouteSelector) RecordResult(now time.Time, route string, worked bool) {
	if route == Direct {
		if !r.directFailed {
			r.nextProbe = now.Add(probeInterval)
		}
		r.directFailed = !worked
		return
	}
	if r.retryAt == nil {
		r.retryAt = map[string]time.Time{}
	}
	delete(r.connectFailures, route)
	if worked {
		delete(r.retryAt, route)
		return
	}
	r.retryAt[route] = now.Add(peerRetryDelay)
}

// RecordUnreachable records a failure to connect to a peer and doubles its retry delay:
// peers on replaced machines stay on the list, and each attempt on one delays a caller.
func (r *RouteSelector) RecordUnreachable(now time.Time, peer string) {
	if r.connectFailures == nil {
		r.connectFailures = map[string]int{}
	}
	n := min(r.connectFailures[peer]+1, maxDoublings)
	r.RecordResult(now, peer, false)
	r.connectFailures[peer] = n
	r.retryAt[peer] = now.Add(peerRetryDelay << n)
}

// DirectFailed reports whether the last attempt on the direct route failed.
func (r *RouteSelector) DirectFailed() bool { return r.directFailed }
