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

// LinkState is how a route of a link behaves.
type LinkState string

// The states of a route. What a silent one holds back is passed on once it heals,
// as TCP does with packets that were lost.
const (
	LinkUp         LinkState = "up"
	LinkCut        LinkState = "cut"         // connections are reset, and new ones refused
	LinkSilent     LinkState = "silent"      // nothing is passed on
	LinkSilentAway LinkState = "silent-away" // nothing is passed on from the caller
	LinkSilentBack LinkState = "silent-back" // nothing is passed on to the caller
)

// LinkControl is what POST /control on a link can ask for. Routes that it leaves
// out stay as they are.
type LinkControl struct {
	To    map[string]string    `json:"to"`    // target of each route, IP:PORT; without one, connections are reset
	State map[string]LinkState `json:"state"` // up when it was never set
}

// LinkBytes counts what a route has passed on.
type LinkBytes struct {
	Away atomic.Int64 // from callers to the target
	Back atomic.Int64
}

// Link passes TCP connections on. Each of its routes has an address to listen on
// and one to pass connections on to.
type Link struct {
	listeners map[string]*net.TCPListener
	bytes     map[string]*LinkBytes
	control   control[LinkControl]
	listening control[map[string]bool] // routes that take connections now
	mux       *http.ServeMux
}

// NewLink returns a link that listens for each route at a free port of the host.
func NewLink(ctx context.Context, host string, routes []string) (*Link, error) {
	l := &Link{listeners: map[string]*net.TCPListener{}, bytes: map[string]*LinkBytes{}, mux: http.NewServeMux()}
	for _, r := range routes {
		t, err := hold(ctx, host)
		if err != nil {
			return nil, fmt.Errorf("listen for route %s: %w", r, err)
		}
		l.listeners[r], l.bytes[r] = t, new(LinkBytes)
		l.setListening(r, true)
	}
	l.mux.HandleFunc("POST /control", l.change)
	l.mux.Handle("GET /control", &l.control)
	l.mux.HandleFunc("GET /bytes", l.counts)
	return l, nil
}

const holdTries = 20 // somebody else may get the port between two sockets

// hold listens at a free port. It asks for the port by its number, for the system
// takes back one that it has chosen as soon as the socket does not listen.
func hold(ctx context.Context, host string) (*net.TCPListener, error) {
	var failure error
	for range holdTries {
		t, err := holdOnce(ctx, host)
		if err == nil {
			return t, nil
		}
		failure = err
	}
	return nil, failure
}

func holdOnce(ctx context.Context, host string) (*net.TCPListener, error) {
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

// ServeHTTP answers one request for control.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Addresses returns where each route listens.
func (l *Link) Addresses() map[string]string {
	a := map[string]string{}
	for r, x := range l.listeners {
		a[r] = x.Addr().String()
	}
	return a
}

// Run passes connections on until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for r := range l.listeners {
		g.Go(func() error { return l.accept(ctx, r) })
	}
	return g.Wait()
}

// change lays the routes of the request over the present ones.
func (l *Link) change(w http.ResponseWriter, r *http.Request) {
	var q LinkControl
	if !decode(w, r, &q) {
		return
	}
	for _, n := range slices.Concat(slices.Collect(maps.Keys(q.To)), slices.Collect(maps.Keys(q.State))) {
		if l.listeners[n] == nil {
			http.Error(w, "no route "+n, http.StatusBadRequest)
			return
		}
	}
	for _, s := range q.State {
		if !slices.Contains([]LinkState{LinkUp, LinkCut, LinkSilent, LinkSilentAway, LinkSilentBack}, s) {
			http.Error(w, "no state "+string(s), http.StatusBadRequest)
			return
		}
	}
	l.control.update(func(c *LinkControl) { c.To, c.State = merged(c.To, q.To), merged(c.State, q.State) })
	for n, s := range q.State {
		l.awaitListening(r.Context(), n, s) // the answer says that the state is in force
	}
	answer(w, http.StatusOK, l.control.get())
}

// merged returns a with what b sets; readers may still hold a.
func merged[V any](a, b map[string]V) map[string]V {
	m := map[string]V{}
	maps.Copy(m, a)
	maps.Copy(m, b)
	return m
}

func (l *Link) counts(w http.ResponseWriter, _ *http.Request) {
	n := map[string][2]int64{}
	for r, b := range l.bytes {
		n[r] = [2]int64{b.Away.Load(), b.Back.Load()}
	}
	answer(w, http.StatusOK, n)
}
