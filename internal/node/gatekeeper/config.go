// Package gatekeeper decides what becomes of a caller's request: which queue it
// belongs to, whether the caller may use it, and when it is refused.
package gatekeeper

import (
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// Route leads callers to a queue.
type Route struct {
	Name    string
	Host    string // lower case, without a port
	Prefix  string // of the path
	Public  bool   // no key is needed
	Timeout time.Duration
	Queue   scheduler.Queue
}

// Config is the operator's configuration. It is immutable.
type Config struct {
	Version    int64
	Routes     []Route
	Keys       map[string]string // organisation by key
	Guaranteed map[string]int    // accelerators by organisation
	Pools      map[string]bool   // services, true for one whose machines are switched off
	MaxBody    int64             // bytes
}

// Match returns the route with the longest prefix of a path on a host.
func (c *Config) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	host = strings.ToLower(host)
	best := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) &&
			(best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Terms returns what scheduling needs of the configuration.
func (c *Config) Terms() scheduler.Terms {
	t := scheduler.Terms{Queues: map[string]scheduler.Queue{}, Guaranteed: c.Guaranteed, Pools: c.Pools}
	for _, r := range c.Routes {
		t.Queues[r.Name] = r.Queue
	}
	return t
}
