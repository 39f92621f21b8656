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
	defaultMaxAnswer   = 16 << 20 // bytes
	defaultConnections = 7        // 60 for an executor, divided over 8 entry VMs
	ownHeaders         = 3        // that outgoing adds
)

// Sender sends requests to executors, over HTTP/2 where they speak it and over
// HTTP/1.1 otherwise. It never sends a request twice by itself. Its fields are
// set before the first call of Send.
type Sender struct {
	MaxAnswer   int64           // longest body of an answer in bytes; 0 for 16 MiB
	Connections int             // bound of HTTP/1.1 connections to one executor; 0 for 7
	Protocol    prober.Protocol // of all executors; prober.Unknown to find out

	mu    sync.Mutex
	links map[string]*link // by address
}

// Send makes one attempt. Errors are of type *router.SendError.
func (s *Sender) Send(ctx context.Context, x router.Executor, q router.Request) (router.Answer, error) {
	l := s.link(x.Address)
	t, err := l.open(ctx)
	if err != nil {
		return router.Answer{}, failure(ctx, err, false, x)
	}
	var handed atomic.Bool
	var connection atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		connection.Store(&i)
		handed.Store(true)
	}}
	p, err := t.RoundTrip(outgoing(httptrace.WithClientTrace(ctx, trace), x, &q, t.Protocols.HTTP1()))
	if err != nil {
		l.suspect(ctx, t, err)
		return router.Answer{}, failure(ctx, err, handed.Load(), x)
	}
	defer func() { _ = p.Body.Close() }()
	if p.Header.Get(connector.HeaderRequestID) != q.ID {
		drop(p, connection.Load())
		return router.Answer{Status: p.StatusCode, Header: p.Header}, nil
	}
	body, err := read(p, s.maxAnswer())
	if err != nil {
		drop(p, connection.Load())
		return router.Answer{}, failure(ctx, err, true, x)
	}
	return router.Answer{Status: p.StatusCode, Header: p.Header, Body: body}, nil
}

// Keep closes the connections to all executors but those at the addresses.
func (s *Sender) Keep(addresses []string) {
	kept := make(map[string]*link, len(addresses))
	s.mu.Lock()
	for _, a := range addresses {
		if l, ok := s.links[a]; ok {
			kept[a] = l
			delete(s.links, a)
		}
	}
	gone := s.links
	s.links = kept
	s.mu.Unlock()
	for _, l := range gone {
		l.close()
	}
}

// Close closes all idle connections.
func (s *Sender) Close() { s.Keep(nil) }

func (s *Sender) link(address string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.links[address]
	if !ok {
		n := s.Connections
		if n <= 0 {
			n = defaultConnections
		}
		l = &link{address: address, fixed: s.Protocol, connections: n}
		if s.links == nil {
			s.links = make(map[string]*link)
		}
		s.links[address] = l
	}
	return l
}

func (s *Sender) maxAnswer() int64 {
	if s.MaxAnswer > 0 {
		return s.MaxAnswer
	}
	return defaultMaxAnswer
}

// drop closes an HTTP/1.1 connection whose answers are out of step, so that no
// later request is sent over it. An HTTP/2 stream ends by itself.
func drop(p *http.Response, i *httptrace.GotConnInfo) {
	if p.ProtoMajor == 1 && i != nil {
		_ = i.Conn.Close()
	}
}

// outgoing builds the request to an executor. The body has no GetBody, and is
// http.NoBody only where that is safe, because net/http sends requests again by
// itself otherwise.
func outgoing(ctx context.Context, x router.Executor, q *router.Request, http1 bool) *http.Request {
	h := make(http.Header, len(q.Header)+ownHeaders)
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
		Body:          &body{rest: q.Body},
		ContentLength: int64(len(q.Body)),
	}
	if http1 && len(q.Body) == 0 && q.Key == "" && !replayed[q.Method] {
		r.Body = http.NoBody // without it net/http sends an empty body in chunks
	}
	return r.WithContext(ctx)
}

// The methods whose requests without a body net/http sends again over HTTP/1.1.
// Over HTTP/2 it does so with any method.
var replayed = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true,
}

// failure reports an attempt that brought no answer.
func failure(ctx context.Context, err error, handed bool, x router.Executor) error {
	e := &router.SendError{Code: router.CodeConnectionLost, Handed: handed, Step: "send", Peer: x.ID, Err: err}
	var bad *answerError
	switch {
	case errors.As(err, &bad):
		e.Code = bad.code
		e.Step = "read answer"
		e.Final = bad.code == router.CodeAnswerTooLarge
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Code = router.CodeDeadlinePassed
		e.Final = true
	case ctx.Err() != nil:
		e.Code = router.CodeCallerGone
		e.Final = true
	case !handed:
		e.Code = router.CodeUnreachable
		e.Step = "connect"
	}
	e.Err = fmt.Errorf("executor at %s: %w", x.Address, err)
	return e
}
