package acceptor

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
)

// http2Preface begins connections of HTTP/2.
const http2Preface = "PRI * HTTP/2"

// HTTP2ReceiveBuffer is the flow-control window of an HTTP/2 connection, which its clients
// can fill at any time. It is charged while the connection has streams.
const HTTP2ReceiveBuffer = 256 << 10 // bytes

// streamBytes is what a request of an HTTP/2 connection takes while it is handled and its response
// is sent: goroutines, buffers and headers.
const streamBytes = 32 << 10

const waitingStreams = 10 // requests of one HTTP/2 connection that may wait for room

// conn is a connection whose requests are charged to the budgeter.
type conn struct {
	net.Conn
	acceptor *Acceptor
	id       uint64
	begun    bool         // a byte was read; used by the reading goroutine only
	http2    atomic.Bool  // the connection carries many requests, whose bodies are charged by the handler
	body     atomic.Bool  // the head of the present request was read
	express  bool         // see openExpress
	left     int          // bytes that may still be read of an express connection; used by the reading goroutine only
	closed   bool         // guarded by the acceptor's lock
	streams  atomic.Int32 // requests of an HTTP/2 connection that are being handled
}

// Read reads into net/http's buffer, which is charged with the connection. What it read of
// a head is charged before net/http parses it.
func (c *conn) Read(p []byte) (int, error) {
	if c.express {
		return c.readExpress(p)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.begun {
		c.begun = true
		c.http2.Store(bytes.HasPrefix(p[:n], []byte(http2Preface)))
	}
	head := false
	c.acceptor.with(func(now time.Time, b *budgeter.Budgeter) {
		if b.Phase(c.id) == budgeter.PhaseIdle && !c.http2.Load() {
			b.Enter(now, c.id, budgeter.PhaseReceive)
		}
		b.Progress(now, c.id, n)
		head = b.Phase(c.id) == budgeter.PhaseReceive && !c.body.Load()
	})
	if head && !c.http2.Load() {
		if chargeErr := c.acceptor.charge(c.id, headCharge(p[:n])); chargeErr != nil {
			c.acceptor.recordClosed(ReasonNoRoom)
			_ = c.Close()
			return 0, chargeErr
		}
	}
	return n, err
}

// Close closes the connection and ends its charges.
func (c *conn) Close() error {
	c.acceptor.mu.Lock()
	c.acceptor.budgeter.Close(c.id)
	delete(c.acceptor.conns, c.id)
	if c.express && !c.closed {
		c.acceptor.express--
	}
	c.closed = true
	c.acceptor.mu.Unlock()
	return c.Conn.Close()
}

// beginStream records that an HTTP/2 connection begins to handle a request. It returns what it
// charges for that, besides the receive buffer of the connection.
func (c *conn) beginStream() (charged int64, err error) {
	n, wait := int64(streamBytes), roomWait
	switch streams := c.streams.Add(1); {
	case streams > waitingStreams:
		wait = 0 // requests that wait take memory as well
	case streams == 1:
		c.acceptor.with(func(now time.Time, b *budgeter.Budgeter) { b.Enter(now, c.id, budgeter.PhaseHandle) })
		n += HTTP2ReceiveBuffer
	}
	if err := c.acceptor.chargeWithin(c.id, n, wait); err != nil {
		return 0, err
	}
	return streamBytes, nil
}

// endStream records that the response to a request was sent.
func (c *conn) endStream(charged int64) {
	last := c.streams.Add(-1) == 0
	c.acceptor.with(func(now time.Time, b *budgeter.Budgeter) {
		b.Refund(c.id, charged)
		if last {
			b.Enter(now, c.id, budgeter.PhaseIdle)
		}
	})
}

func headCharge(p []byte) int64 {
	return int64(len(p)*budgeter.HeadFactor + bytes.Count(p, []byte{'\n'})*budgeter.LineBytes)
}

// Write writes in pieces. A client that does not read a piece in time loses the connection.
func (c *conn) Write(p []byte) (int, error) {
	before := budgeter.PhaseHandle
	c.acceptor.with(func(now time.Time, b *budgeter.Budgeter) {
		before = b.Phase(c.id)
		if !c.http2.Load() {
			b.Enter(now, c.id, budgeter.PhaseRespond)
		}
	})
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+budgeter.Piece)])
		written += n
		if err != nil {
			return written, err
		}
		c.acceptor.with(func(now time.Time, b *budgeter.Budgeter) { b.Progress(now, c.id, n) })
	}
	if !c.http2.Load() {
		c.acceptor.with(func(now time.Time, b *budgeter.Budgeter) { b.Enter(now, c.id, before) })
	}
	return written, nil
}

// stateChanged follows the state that net/http gives to a connection of HTTP/1.
func (c *conn) stateChanged(s http.ConnState) {
	if s == http.StateIdle && !c.http2.Load() {
		c.body.Store(false)
		c.acceptor.with(func(now time.Time, b *budgeter.Budgeter) { b.Enter(now, c.id, budgeter.PhaseIdle) })
	}
}
