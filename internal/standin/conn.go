package standin

import (
	"net"
	"sync"
)

// listener tracks accepted connections so that faults can be injected into them.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &conn{Conn: c, listener: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[k] = struct{}{}
	return k, nil
}

// silence makes all open connections except one silent and returns how many it changed.
func (l *listener) silence(except *conn) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if c != except {
			c.silenceOnce.Do(func() { close(c.silent); n++ })
		}
	}
	return n
}

// closeAll closes all connections, including silent ones.
func (l *listener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

// conn is a connection that can go silent: writes are then discarded, reads block,
// and the peer is not notified.
type conn struct {
	net.Conn

	listener    *listener
	silenceOnce sync.Once
	silent      chan struct{} // closed when the connection goes silent
	closeOnce   sync.Once
	closed      chan struct{} // closed by Close
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read reads from the connection; on a silent one it blocks until Close.
func (c *conn) Read(b []byte) (int, error) {
	if !c.isSilent() {
		n, err := c.Conn.Read(b)
		if !c.isSilent() {
			return n, err
		}
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the connection; on a silent one the bytes are discarded.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silent connection stays open towards the peer until
// the stand-in terminates.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if c.isSilent() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
