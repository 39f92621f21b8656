package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/prober"
	"github.com/lacewingdoor/lacewingdoor/router"
)

const (
	defaultMaxResponseBytes = 16 << 20 // bytes
	defaultMaxConnections   = 7        // 60 connections per executor, divided among 8 entry VMs
	addedHeaders            = 3        // expected number of headers that newRequest adds
)

// Sender sends requests to executors, over HTTP/2 if they support it and HTTP/1.1
// otherwise. It never retries a request. Its exported fields must be set before the
// first call of Send.
type Sender struct {
	MaxResponseBytes int64           // maximum size of a response body; 0 means 16 MiB
	MaxConnections   int             // maximum number of HTTP/1.1 connections per executor; 0 means 7
	Protocol         prober.Protocol // of all executors; prober.Unknown to detect it for each

	mu    sync.Mutex
	pools map[string]*connPool // by address
}

// Send makes one attempt to send q to the executor. Errors are of type
// *router.SendError.
func (s *Sender) Send(ctx context.Context, x router.Executor, q router.Request) (router.Answer, error) {
	c := s.pool(x.Address)
	t, err := c.open(ctx)
	if err != nil {
		return router.Answer{}, sendError(ctx, err, false, x)
	}
	var gotConn atomic.Bool
	var connInfo atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		connInfo.Store(&i)
		gotConn.Store(true)
	}}
	p, err := t.RoundTrip(newRequest(httptrace.WithClientTrace(ctx, trace), x, &q, t.Protocols.HTTP1()))
	if err != nil {
		c.handleFailure(ctx, t, err)
		return router.Answer{}, sendError(ctx, err, gotConn.Load(), x)
	}
	defer func() { _ = p.Body.Close() }()
	if p.Header.Get(connector.HeaderRequestID) != q.ID {
		closeConnection(p, connInfo.Load())
		return router.Answer{Status: p.StatusCode, Header: p.Header}, nil
	}
	body, err := readResponse(p, s.maxResponseBytes())
	if err != nil {
		closeConnection(p, connInfo.Load())
		return router.Answer{}, sendError(ctx, err, true, x)
	}
	return router.Answer{Status: p.StatusCode, Header: p.Header, Body: body}, nil
}

// CloseExcept closes the idle connections to all executors except those at the given
// addresses.
func (s *Sender) CloseExcept(addresses []string) {
	kept := make(map[string]*connPool, len(addresses))
	s.mu.Lock()
	for _, a := range addresses {
		if c, ok := s.pools[a]; ok {
			kept[a] = c
			delete(s.pools, a)
		}
	}
	removed := s.pools
	s.pools = kept
	s.mu.Unlock()
	for _, c := range removed {
		c.close()
	}
}

// Close closes all idle connections.
func (s *Sender) Close() { s.CloseExcept(nil) }

// pool returns the connection pool of an executor, and creates it on first use.
func (s *Sender) pool(address string) *connPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.pools[address]
	if !ok {
		n := s.MaxConnections
		if n <= 0 {
			n = defaultMaxConnections
		}
		c = &connPool{address: address, protocol: s.Protocol, maxConns: n}
		if s.pools == nil {
			s.pools = make(map[string]*connPool)
		}
		s.pools[address] = c
	}
	return c
}

func (s *Sender) maxResponseBytes() int64 {
	if s.MaxResponseBytes > 0 {
		return s.MaxResponseBytes
	}
	return defaultMaxResponseBytes
}

// closeConnection closes an HTTP/1.1 connection on which requests and responses may no
// longer correspond, so that it is not reused. HTTP/2 matches them by stream.
func closeConnection(p *http.Response, i *httptrace.GotConnInfo) {
	if p.ProtoMajor == 1 && i != nil {
		_ = i.Conn.Close()
	}
}

// newRequest returns the HTTP request to an executor. It sets no GetBody, and uses
// http.NoBody only where that is safe, because net/http would otherwise retry the
// request.
func newRequest(ctx context.Context, x router.Executor, q *router.Request, http1 bool) *http.Request {
	h := make(http.Header, len(q.Header)+addedHeaders)
	copyHeader(h, q.Header)
	h[connector.HeaderRequestID] = []string{q.ID}
	h[connector.HeaderOrganisation] = []string{q.Organisation}
	if q.Key != "" {
		h[connector.HeaderIdempotencyKey] = []string{q.Key}
	}
	if d, ok := ctx.Deadline(); ok {
		h[connector.HeaderDeadlineMS] = []string{strconv.FormatInt(max(time.Until(d).Milliseconds(), 0), 10)}
	}
	r := &http.Request{
		Method: q.Method,
		URL:    &url.URL{Scheme: "http", Host: x.Address, Path: q.Path, RawQuery: q.Query},
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        h,
		Host:          x.Address,
		Body:          &requestBody{unread: q.Body},
		ContentLength: int64(len(q.Body)),
	}
	if http1 && len(q.Body) == 0 && q.Key == "" && !retriedByTransport[q.Method] {
		r.Body = http.NoBody // otherwise net/http sends the empty body with chunked encoding
	}
	return r.WithContext(ctx)
}

// retriedByTransport lists the methods whose requests without a body net/http retries
// over HTTP/1.1. Over HTTP/2 it retries any method.
var retriedByTransport = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true,
}

// sendError returns the error for an attempt without a valid response. gotConn tells
// whether the attempt got a connection, so that the request may have reached the
// executor.
func sendError(ctx context.Context, err error, gotConn bool, x router.Executor) error {
	e := &router.SendError{Code: router.CodeConnectionLost, MayHaveRun: gotConn, Step: "send", Peer: x.ID, Err: err}
	var respErr *responseError
	switch {
	case errors.As(err, &respErr):
		e.Code = respErr.code
		e.Step = "read response"
		e.Final = respErr.code == router.CodeAnswerTooLarge
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Code = router.CodeDeadlinePassed
		e.Final = true
	case ctx.Err() != nil:
		e.Code = router.CodeCallerGone
		e.Final = true
	case !gotConn:
		e.Code = router.CodeExecutorUnreachable
		e.Step = "connect"
	}
	e.Err = fmt.Errorf("executor at %s: %w", x.Address, err)
	return e
}
