package forwarder_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay carries TCP connections to an executor, and can lose track of those
// that are open: it goes on reading and acknowledging, and passes nothing on.
// New connections work.
type relay struct {
	target   string
	listener net.Listener
	opened   atomic.Int64

	mu    sync.Mutex
	lines []*line
}

// line is one connection through the relay.
type line struct {
	up, down     net.Conn // to the executor, to the client
	muteUp       atomic.Bool
	muteDown     atomic.Bool
	clientClosed atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	r := &relay{target: target, listener: newListener(t)}
	t.Cleanup(func() {
		_ = r.listener.Close()
		r.each(func(l *line) { _ = l.up.Close(); _ = l.down.Close() })
	})
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		down, err := r.listener.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = down.Close()
			continue
		}
		l := &line{up: up, down: down}
		r.opened.Add(1)
		r.mu.Lock()
		r.lines = append(r.lines, l)
		r.mu.Unlock()
		go func() {
			pass(up, down, &l.muteUp)
			l.clientClosed.Store(true)
			_ = up.Close()
		}()
		go func() {
			pass(down, up, &l.muteDown)
			if !l.muteDown.Load() {
				_ = down.Close()
			}
		}()
	}
}

func pass(to, from net.Conn, mute *atomic.Bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if mute.Load() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (r *relay) each(f func(l *line)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		f(l)
	}
}

// lose makes the open connections silent, one way or both.
func (r *relay) lose(up, down bool) {
	r.each(func(l *line) {
		l.muteUp.Store(up)
		l.muteDown.Store(down)
	})
}
