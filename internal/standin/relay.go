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
	linkBacklog = 128      // connections that wait to be accepted
	linkBuffer  = 64 << 10 // bytes that one direction of a connection holds
)

// accept passes the connections of a route on until ctx ends. While the route is
// cut its socket keeps the port and does not listen, so that callers are refused.
func (l *Link) accept(ctx context.Context, route string) error {
	t := l.listeners[route]
	defer func() { _ = t.Close() }()
	defer context.AfterFunc(ctx, func() { _ = t.Close() })()
	for ctx.Err() == nil {
		up, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			l.await(up, route, LinkCut)
		}()
		shut := make(chan struct{})
		context.AfterFunc(up, func() {
			defer close(shut)
			_ = onSocket(t, func(fd int) error { return syscall.Shutdown(fd, syscall.SHUT_RD) })
		})
		for up.Err() == nil {
			c, err := t.AcceptTCP()
			if err == nil {
				go l.pass(up, route, c)
			}
		}
		<-shut // a later one would end the listening that comes next
		l.setListening(route, false)
		l.await(ctx, route, LinkUp, LinkSilent, LinkSilentAway, LinkSilentBack)
		if ctx.Err() != nil {
			break
		}
		if err := onSocket(t, func(fd int) error { return syscall.Listen(fd, linkBacklog) }); err != nil {
			return err
		}
		l.setListening(route, true)
	}
	return nil
}

// setListening says whether a route takes connections.
func (l *Link) setListening(route string, listening bool) {
	l.listening.update(func(m *map[string]bool) { *m = merged(*m, map[string]bool{route: listening}) })
}

// awaitListening waits until a route takes connections or refuses them, as its
// state says.
func (l *Link) awaitListening(ctx context.Context, route string, s LinkState) {
	l.listening.wait(ctx, func(m map[string]bool) bool { return m[route] == (s != LinkCut) })
}

// await waits until the route has one of the states, or ctx ends.
func (l *Link) await(ctx context.Context, route string, states ...LinkState) {
	l.control.wait(ctx, func(c LinkControl) bool {
		s, ok := c.State[route]
		if !ok {
			s = LinkUp
		}
		return slices.Contains(states, s)
	})
}

// onSocket runs f on the file descriptor of a listener.
func onSocket(t *net.TCPListener, f func(fd int) error) error {
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

// pass passes one connection on, both ways, until both have ended or ctx ends.
func (l *Link) pass(ctx context.Context, route string, from *net.TCPConn) {
	defer func() { _ = from.Close() }()
	var d net.Dialer
	x, err := d.DialContext(ctx, "tcp", l.control.get().To[route])
	if err != nil {
		_ = from.SetLinger(0) // the caller is told at once
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
	ended := make(chan struct{}, 2)
	go func() {
		defer func() { ended <- struct{}{} }()
		l.copy(ctx, route, from, to, &l.bytes[route].Away, LinkUp, LinkSilentBack)
	}()
	go func() {
		defer func() { ended <- struct{}{} }()
		l.copy(ctx, route, to, from, &l.bytes[route].Back, LinkUp, LinkSilentAway)
	}()
	<-ended
	<-ended
}

// copy passes bytes, and their end, on while the route has one of the states, and
// holds them back while it does not.
func (l *Link) copy(ctx context.Context, route string, from, to *net.TCPConn, n *atomic.Int64, states ...LinkState) {
	b := make([]byte, linkBuffer)
	for {
		k, err := from.Read(b)
		l.await(ctx, route, states...)
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
