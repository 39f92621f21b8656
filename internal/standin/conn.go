package standin

import (
	"net"
	"sync"
)

// listener keeps the connections that it accepted, so that they can fail.
type listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*conn]struct{}
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
	l.open[k] = struct{}{}
	return k, nil
}

// silence silences the open connections but one, and returns their number.
func (l *listener) silence(but *conn) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.open {
		if c != but {
			c.silence.Do(func() { close(c.silent); n++ })
		}
	}
	return n
}

// cut closes all connections, the silent ones too.
func (l *listener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Conn.Close()
	}
}

// conn is a connection that can go silent: it then takes what is written to it
// and passes nothing on, and reads nothing. The peer is never told.
type conn struct {
	net.Conn

	listener *listener
	silence  sync.Once
	silent   chan struct{} // closed when silent
	closing  sync.Once
	closed   chan struct{} // closed when our side has closed it
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read reads; on a silent connection it waits until our side closes it.
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

// Write writes; on a silent connection the bytes are lost.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silent one stays open towards the peer until
// the stand-in ends.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	if c.isSilent() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
