package forwarder_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// tcpProxy forwards TCP connections to an executor. It can blackhole the open ones, like a
// middlebox that has lost their state: it goes on reading, so that the data is
// acknowledged, but discards it. New connections work.
type tcpProxy struct {
	target   string
	listener net.Listener
	opened   atomic.Int64

	mu    sync.Mutex
	conns []*proxiedConn
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	executor, client net.Conn
	dropToExecutor   atomic.Bool
	dropToClient     atomic.Bool
	clientClosed     atomic.Bool
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	r := &tcpProxy{target: target, listener: newListener(t)}
	t.Cleanup(func() {
		_ = r.listener.Close()
		r.each(func(c *proxiedConn) { _ = c.executor.Close(); _ = c.client.Close() })
	})
	go r.accept()
	return r
}

func (r *tcpProxy) address() string { return r.listener.Addr().String() }

func (r *tcpProxy) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		executor, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxiedConn{executor: executor, client: client}
		r.opened.Add(1)
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go func() {
			copyData(executor, client, &c.dropToExecutor)
			c.clientClosed.Store(true)
			_ = executor.Close()
		}()
		go func() {
			copyData(client, executor, &c.dropToClient)
			if !c.dropToClient.Load() {
				_ = client.Close()
			}
		}()
	}
}

// copyData copies from one connection to the other, and discards the data while drop
// is set.
func copyData(to, from net.Conn, drop *atomic.Bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if drop.Load() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (r *tcpProxy) each(f func(c *proxiedConn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		f(c)
	}
}

// blackhole discards the data on the open connections in the given directions.
func (r *tcpProxy) blackhole(toExecutor, toClient bool) {
	r.each(func(c *proxiedConn) {
		c.dropToExecutor.Store(toExecutor)
		c.dropToClient.Store(toClient)
	})
}
