// Package router takes a request through its whole life: route, queue, slot,
// claim, sending, check of the answer, retry and outcome.
//
// It knows no transport: requests go out through a function field.
package router

import (
	"strings"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// Snapshot is what control publishes for traffic. It is never changed once
// published.
type Snapshot struct {
	Revision  int64                      // of the configuration
	Zone      string                     // availability zone of this VM
	Apart     bool                       // the other VMs don't count this one yet, so it may use no slot
	Services  map[string]decoder.Service // by name
	Executors map[string][]Executor      // by service
	Weights   map[string]int             // by organisation; 1 for those not listed
}

// Executor is a process on a backend server that answers requests.
type Executor struct {
	ID      string
	Address string // HOST:PORT
	Zone    string // availability zone
	Slots   int    // slots that this VM owns
	Total   int    // slots that the executor has
	Leaving bool
}

// route returns the route of a service with the longest prefix of path.
func route(s *decoder.Service, path string) (*decoder.Route, bool) {
	var best *decoder.Route
	for i := range s.Routes {
		o := &s.Routes[i]
		if under(path, o.Path) && (best == nil || len(o.Path) > len(best.Path)) {
			best = o
		}
	}
	return best, best != nil
}

// under reports whether path is prefix or lies below it.
func under(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}
