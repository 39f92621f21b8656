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
	idleConnTimeout     = 30 * time.Second // below the usual idle timeouts of servers
	maxAnswerHeader     = 64 << 10         // bytes
	connectionReadSize  = 4 << 10          // bytes
	connectionWriteSize = 4 << 10          // bytes
)

// link holds the connections to one executor.
type link struct {
	address     string
	fixed       prober.Protocol
	connections int

	current atomic.Pointer[http.Transport] // nil until the protocol is known
	opening sync.Mutex
}

// open returns the transport to the executor, and finds out its protocol first
// when it is not known.
func (l *link) open(ctx context.Context) (*http.Transport, error) {
	if t := l.current.Load(); t != nil {
		return t, nil
	}
	l.opening.Lock()
	defer l.opening.Unlock()
	if t := l.current.Load(); t != nil {
		return t, nil
	}
	p := l.fixed
	if p == prober.Unknown {
		var err error
		if p, err = prober.Detect(ctx, l.address); err != nil {
			return nil, err
		}
	}
	t := l.transport(p)
	l.current.Store(t)
	return t, nil
}

// suspect is called when a request over t brought no answer. Idle connections are
// closed rather than trusted, and the protocol is found out again; connections
// in use test themselves. A caller that went away, or a single HTTP/2 stream
// that the executor ended, says nothing about the connection.
func (l *link) suspect(ctx context.Context, t *http.Transport, err error) {
	var stream http2.StreamError
	if errors.Is(ctx.Err(), context.Canceled) || errors.As(err, &stream) {
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// Over HTTP/2 the pings went on being answered meanwhile.
		if t.Protocols.HTTP1() {
			t.CloseIdleConnections()
		}
		return
	}
	l.current.CompareAndSwap(t, nil)
	t.CloseIdleConnections()
}

func (l *link) close() {
	if t := l.current.Swap(nil); t != nil {
		t.CloseIdleConnections()
	}
}

func (l *link) transport(p prober.Protocol) *http.Transport {
	t := &http.Transport{
		DialContext:            prober.Dialer().DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        l.connections,
		MaxIdleConnsPerHost:    l.connections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ReadBufferSize:         connectionReadSize,
		WriteBufferSize:        connectionWriteSize,
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
