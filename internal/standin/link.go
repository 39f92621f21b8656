package standin

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// LinkState is the network condition of a route.
type LinkState string

// States of a route. Data held back by a silent route is forwarded once the route
// recovers, as TCP retransmits lost packets.
const (
	LinkUp         LinkState = "up"
	LinkCut        LinkState = "cut"         // connections are reset and new ones refused
	LinkSilent     LinkState = "silent"      // nothing is forwarded
	LinkSilentAway LinkState = "silent-away" // nothing is forwarded from the caller to the target
	LinkSilentBack LinkState = "silent-back" // nothing is forwarded from the target to the caller
)

// LinkControl is the body of POST /control on a link. Routes that a request omits
// keep their settings.
type LinkControl struct {
	To    map[string]string    `json:"to"`    // target of each route, IP:PORT; connections of a route without one are reset
	State map[string]LinkState `json:"state"` // state of each route; "up" if never set
}

// LinkBytes counts the bytes that a route has forwarded.
type LinkBytes struct {
	ToTarget atomic.Int64 // from callers to the target
	ToCaller atomic.Int64
}

// Link is a TCP proxy for fault injection. Each route has an address to listen on
// and a target address.
type Link struct {
	listeners map[string]*net.TCPListener
	bytes     map[string]*LinkBytes
	control   control[LinkControl]
	listening control[map[string]bool] // whether each route's socket is listening
	mux       *http.ServeMux
}

// NewLink returns a link that listens on a free port of the host for each route.
func NewLink(ctx context.Context, host string, routes []string) (*Link, error) {
	l := &Link{listeners: map[string]*net.TCPListener{}, bytes: map[string]*LinkBytes{}, mux: http.NewServeMux()}
	for _, r := range routes {
		t, err := listenOnFreePort(ctx, host)
		if err != nil {
			return nil, fmt.Errorf("listen for route %s: %w", r, err)
		}
		l.listeners[r], l.bytes[r] = t, new(LinkBytes)
		l.setListening(r, true)
	}
	l.mux.HandleFunc("POST /control", l.handleControl)
	l.mux.Handle("GET /control", &l.control)
	l.mux.HandleFunc("GET /bytes", l.handleBytes)
	return l, nil
}

const listenAttempts = 20 // another process may take the port between the two sockets

// listenOnFreePort listens on a free port. It binds the port by number, because the
// kernel releases a port that it chose itself as soon as the socket stops listening.
func listenOnFreePort(ctx context.Context, host string) (*net.TCPListener, error) {
	var lastErr error
	for range listenAttempts {
		t, err := tryListen(ctx, host)
		if err == nil {
			return t, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func tryListen(ctx context.Context, host string) (*net.TCPListener, error) {
	var c net.ListenConfig
	free, err := c.Listen(ctx, "tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	if err := free.Close(); err != nil {
		return nil, err
	}
	x, err := c.Listen(ctx, "tcp", free.Addr().String())
	if err != nil {
		return nil, err
	}
	t, ok := x.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listen on %s: not TCP", free.Addr())
	}
	return t, nil
}

// ServeHTTP serves the control API.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Addresses returns the address that each route listens on.
func (l *Link) Addresses() map[string]string {
	a := map[string]string{}
	for r, x := range l.listeners {
		a[r] = x.Addr().String()
	}
	return a
}

// Run forwards connections until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for r := range l.listeners {
		g.Go(func() error { return l.acceptConns(ctx, r) })
	}
	return g.Wait()
}

// handleControl merges the routes of the request into the current settings.
func (l *Link) handleControl(w http.ResponseWriter, r *http.Request) {
	var q LinkControl
	if !decode(w, r, &q) {
		return
	}
	for _, n := range slices.Concat(slices.Collect(maps.Keys(q.To)), slices.Collect(maps.Keys(q.State))) {
		if l.listeners[n] == nil {
			http.Error(w, "unknown route "+n, http.StatusBadRequest)
			return
		}
	}
	for _, s := range q.State {
		if !slices.Contains([]LinkState{LinkUp, LinkCut, LinkSilent, LinkSilentAway, LinkSilentBack}, s) {
			http.Error(w, "unknown route state "+string(s), http.StatusBadRequest)
			return
		}
	}
	l.control.update(func(c *LinkControl) { c.To, c.State = mergeMaps(c.To, q.To), mergeMaps(c.State, q.State) })
	for n, s := range q.State {
		l.awaitListening(r.Context(), n, s) // the state must be in force before the response
	}
	writeJSON(w, http.StatusOK, l.control.get())
}

// mergeMaps returns a copy of a updated with b; a stays unchanged, as readers may still use it.
func mergeMaps[V any](a, b map[string]V) map[string]V {
	m := map[string]V{}
	maps.Copy(m, a)
	maps.Copy(m, b)
	return m
}

func (l *Link) handleBytes(w http.ResponseWriter, _ *http.Request) {
	n := map[string][2]int64{}
	for r, b := range l.bytes {
		n[r] = [2]int64{b.ToTarget.Load(), b.ToCaller.Load()}
	}
	writeJSON(w, http.StatusOK, n)
}
