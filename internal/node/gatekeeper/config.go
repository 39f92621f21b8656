// Package gatekeeper handles callers' requests: it routes them to queues, authorises
// them, and accepts or refuses them.
package gatekeeper

import (
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// Route maps requests to a queue by host and path prefix.
type Route struct {
	Name    string
	Host    string // lower case, without a port
	Prefix  string // of paths
	Public  bool   // no key is needed
	Timeout time.Duration
	Queue   scheduler.Queue
}

// Config is the operator's configuration. It is immutable.
type Config struct {
	Version    int64
	Routes     []Route
	Keys       map[string]string // organisations by API key
	Guaranteed map[string]int    // guaranteed accelerators by organisation
	Pools      map[string]bool   // by service; true for a standby pool, whose machines are switched off
	MaxBody    int64             // bytes
}

// Match returns the route of a host with the longest matching path prefix.
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

// SchedulerConfig returns the part of the configuration that the scheduler uses.
func (c *Config) SchedulerConfig() scheduler.Config {
	t := scheduler.Config{Queues: map[string]scheduler.Queue{}, Guaranteed: c.Guaranteed, Pools: c.Pools}
	for _, r := range c.Routes {
		t.Queues[r.Name] = r.Queue
	}
	return t
}
