package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

// Timing of the last step of a shutdown.
const (
	idleSettleTime    = 200 * time.Millisecond // without a busy connection, before the remaining ones are closed
	idlePollInterval  = 20 * time.Millisecond  // between two checks
	unusedConnTimeout = time.Second            // age at which a connection without a request counts as idle
)

// connectionTracker tracks which connections of callers are busy.
type connectionTracker struct {
	now func() time.Time

	mu   sync.Mutex
	busy map[net.Conn]time.Time // zero while a request is served, otherwise when the connection opened
}

// stateChanged is the ConnState hook of the HTTP server.
func (c *connectionTracker) stateChanged(n net.Conn, s http.ConnState) {
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

// idle reports whether no connection serves a request or is too new to count as
// unused.
func (c *connectionTracker) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, since := range c.busy {
		if since.IsZero() || now.Sub(since) < unusedConnTimeout {
			return false
		}
	}
	return true
}

// awaitIdle waits until no connection has been busy for idleSettleTime, or until ctx
// ends. http.Server.Shutdown alone drops a request that arrives on an open
// connection after Shutdown has begun.
func (c *connectionTracker) awaitIdle(ctx context.Context) {
	since := c.now()
	for c.now().Sub(since) < idleSettleTime && ctx.Err() == nil {
		_ = sleeper.Sleep(ctx, idlePollInterval)
		if !c.idle() {
			since = c.now()
		}
	}
}
