package standin

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
)

const (
	listenBacklog = 128      // connections waiting to be accepted
	relayBuffer   = 64 << 10 // bytes buffered per direction of a connection
)

// acceptConns accepts and relays the connections of a route until ctx ends. While the
// route is cut, its socket keeps the port but does not listen, so connections are refused.
func (l *Link) acceptConns(ctx context.Context, route string) error {
	t := l.listeners[route]
	defer func() { _ = t.Close() }()
	defer context.AfterFunc(ctx, func() { _ = t.Close() })()
	for ctx.Err() == nil {
		uncutCtx, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			l.awaitState(uncutCtx, route, LinkCut)
		}()
		shutdownDone := make(chan struct{})
		context.AfterFunc(uncutCtx, func() {
			defer close(shutdownDone)
			_ = controlSocket(t, func(fd int) error { return syscall.Shutdown(fd, syscall.SHUT_RD) })
		})
		for uncutCtx.Err() == nil {
			c, err := t.AcceptTCP()
			if err == nil {
				go l.relayConn(uncutCtx, route, c)
			}
		}
		<-shutdownDone // a later shutdown would stop the next listen
		l.setListening(route, false)
		l.awaitState(ctx, route, LinkUp, LinkSilent, LinkSilentAway, LinkSilentBack)
		if ctx.Err() != nil {
			break
		}
		if err := controlSocket(t, func(fd int) error { return syscall.Listen(fd, listenBacklog) }); err != nil {
			return err
		}
		l.setListening(route, true)
	}
	return nil
}

// setListening records whether a route's socket is listening.
func (l *Link) setListening(route string, listening bool) {
	l.listening.update(func(m *map[string]bool) { *m = mergeMaps(*m, map[string]bool{route: listening}) })
}

// awaitListening waits until a route's socket listens, or has stopped listening, as
// state s requires.
func (l *Link) awaitListening(ctx context.Context, route string, s LinkState) {
	l.listening.wait(ctx, func(m map[string]bool) bool { return m[route] == (s != LinkCut) })
}

// awaitState waits until the route has one of the states or ctx ends.
func (l *Link) awaitState(ctx context.Context, route string, states ...LinkState) {
	l.control.wait(ctx, func(c LinkControl) bool {
		s, ok := c.State[route]
		if !ok {
			s = LinkUp
		}
		return slices.Contains(states, s)
	})
}

// controlSocket calls f with the file descriptor of a listener.
func controlSocket(t *net.TCPListener, f func(fd int) error) error {
	c, err := t.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach the socket of %s: %w", t.Addr(), err)
	}
	var failed error
	if err := c.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return fmt.Errorf("reach the socket of %s: %w", t.Addr(), err)
	}
	return failed
}

// relayConn relays one connection in both directions until both have ended or ctx ends.
func (l *Link) relayConn(ctx context.Context, route string, from *net.TCPConn) {
	defer func() { _ = from.Close() }()
	var d net.Dialer
	x, err := d.DialContext(ctx, "tcp", l.control.get().To[route])
	if err != nil {
		_ = from.SetLinger(0) // send a reset, so that the caller fails at once
		return
	}
	to, ok := x.(*net.TCPConn)
	if !ok {
		return
	}
	defer func() { _ = to.Close() }()
	defer context.AfterFunc(ctx, func() {
		for _, c := range []*net.TCPConn{from, to} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})()
	done := make(chan struct{}, 2)
	go func() {
		defer func() { done <- struct{}{} }()
		l.relayBytes(ctx, route, from, to, &l.bytes[route].ToTarget, LinkUp, LinkSilentBack)
	}()
	go func() {
		defer func() { done <- struct{}{} }()
		l.relayBytes(ctx, route, to, from, &l.bytes[route].ToCaller, LinkUp, LinkSilentAway)
	}()
	<-done
	<-done
}

// relayBytes relays bytes and the end of the stream in one direction while the route
// has one of the states, and holds them back otherwise.
func (l *Link) relayBytes(ctx context.Context, route string, from, to *net.TCPConn, n *atomic.Int64, states ...LinkState) {
	b := make([]byte, relayBuffer)
	for {
		k, err := from.Read(b)
		l.awaitState(ctx, route, states...)
		if ctx.Err() != nil {
			return
		}
		w, werr := to.Write(b[:k])
		n.Add(int64(w))
		switch {
		case werr != nil:
			_ = from.CloseRead()
			return
		case err != nil:
			_ = to.CloseWrite()
			return
		}
	}
}
