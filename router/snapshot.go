// Package router finds the route of a request, claims its idempotency key, queues it
// for a slot, sends it, checks the answer, retries and determines the outcome.
//
// It has no transport: requests are sent through a function field.
package router

import (
	"strings"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// Snapshot is the configuration and executor state that requests are routed by. It
// is immutable once published.
type Snapshot struct {
	Revision             int64                      // of the configuration
	Zone                 string                     // availability zone of this VM
	ExcludedFromDivision bool                       // the other VMs do not count this one in the division of slots yet, so it may use none
	Services             map[string]decoder.Service // by name
	Executors            map[string][]Executor      // by service
	Weights              map[string]int             // by organisation; 1 if not listed
}

// Executor is a process on a backend server that runs requests.
type Executor struct {
	ID      string
	Address string // HOST:PORT
	Zone    string // availability zone
	Slots   int    // slots that this VM owns
	Total   int    // slots of the executor, over all VMs
	Leaving bool
}

// matchRoute returns the route of a service with the longest prefix of path.
func matchRoute(s *decoder.Service, path string) (*decoder.Route, bool) {
	var best *decoder.Route
	for i := range s.Routes {
		o := &s.Routes[i]
		if hasPathPrefix(path, o.Path) && (best == nil || len(o.Path) > len(best.Path)) {
			best = o
		}
	}
	return best, best != nil
}

// hasPathPrefix reports whether path equals prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}
