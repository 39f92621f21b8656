package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"github.com/lacewingdoor/lacewingdoor/prober"
)

const (
	idleConnTimeout        = 30 * time.Second // below the usual idle timeouts of servers, so that the client closes first
	maxResponseHeaderBytes = 64 << 10
	readBufferBytes        = 4 << 10
	writeBufferBytes       = 4 << 10
)

// connPool is the connection pool of one executor.
type connPool struct {
	address  string
	protocol prober.Protocol // prober.Unknown to detect it
	maxConns int

	transport atomic.Pointer[http.Transport] // nil until the protocol is known, and after a connection failure
	openMu    sync.Mutex                     // held while the protocol is detected
}

// open returns the transport to the executor. It detects the protocol first if that
// is not known.
func (c *connPool) open(ctx context.Context) (*http.Transport, error) {
	if t := c.transport.Load(); t != nil {
		return t, nil
	}
	c.openMu.Lock()
	defer c.openMu.Unlock()
	if t := c.transport.Load(); t != nil {
		return t, nil
	}
	p := c.protocol
	if p == prober.Unknown {
		var err error
		if p, err = prober.Detect(ctx, c.address); err != nil {
			return nil, err
		}
	}
	t := c.newTransport(p)
	c.transport.Store(t)
	return t, nil
}

// handleFailure is called when a request over t got no response. It closes the idle
// connections, which may be dead too, and has the protocol detected again; connections
// in use detect failures themselves. A disconnected caller, or an HTTP/2 stream reset
// by the executor, does not mean that the connection has failed.
func (c *connPool) handleFailure(ctx context.Context, t *http.Transport, err error) {
	var streamErr http2.StreamError
	if errors.Is(ctx.Err(), context.Canceled) || errors.As(err, &streamErr) {
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// HTTP/2 connections are kept: their pings were answered in the meantime.
		if t.Protocols.HTTP1() {
			t.CloseIdleConnections()
		}
		return
	}
	c.transport.CompareAndSwap(t, nil)
	t.CloseIdleConnections()
}

// close closes the idle connections.
func (c *connPool) close() {
	if t := c.transport.Swap(nil); t != nil {
		t.CloseIdleConnections()
	}
}

// newTransport returns a transport for protocol p.
func (c *connPool) newTransport(p prober.Protocol) *http.Transport {
	t := &http.Transport{
		DialContext:            prober.Dialer().DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        c.maxConns,
		MaxIdleConnsPerHost:    c.maxConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
		Protocols:              new(http.Protocols),
	}
	if p == prober.HTTP2C {
		t.Protocols.SetUnencryptedHTTP2(true)
		t.HTTP2 = prober.HTTP2()
	} else {
		t.Protocols.SetHTTP1(true)
	}
	return t
}
