package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

// The timing of the end of a shutdown.
const (
	quietTime     = 200 * time.Millisecond // without any busy connection, before those left are closed
	quietInterval = 20 * time.Millisecond  // between two looks
	neverUsedTime = time.Second            // after which a connection without a request counts as idle
)

// connections knows which connections of callers are busy.
type connections struct {
	now func() time.Time

	mu   sync.Mutex
	busy map[net.Conn]time.Time // zero while it serves, else since when it is new
}

// changed is the ConnState hook of the server.
func (c *connections) changed(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy == nil {
		c.busy = map[net.Conn]time.Time{}
	}
	switch s {
	case http.StateNew:
		c.busy[n] = c.now()
	case http.StateActive:
		c.busy[n] = time.Time{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(c.busy, n)
	}
}

// quiet reports whether no connection serves a request, or is about to.
func (c *connections) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, since := range c.busy {
		if since.IsZero() || now.Sub(since) < neverUsedTime {
			return false
		}
	}
	return true
}

// awaitQuiet waits until no connection has been busy for quietTime, or until ctx
// ends. http.Server.Shutdown alone drops a request that arrives on an open
// connection once it has begun.
func (c *connections) awaitQuiet(ctx context.Context) {
	since := c.now()
	for c.now().Sub(since) < quietTime && ctx.Err() == nil {
		_ = sleeper.Sleep(ctx, quietInterval)
		if !c.quiet() {
			since = c.now()
		}
	}
}
