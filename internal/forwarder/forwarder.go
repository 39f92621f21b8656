// Package forwarder proxies HTTP requests: it receives them from callers for the
// router, and sends them to executors on behalf of the router.
package forwarder

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
	"github.com/lacewingdoor/lacewingdoor/router"
)

const (
	defaultMaxRequests = 4096 // bounds the memory that request bodies take
	idPrefixBytes      = 8    // length of the random prefix of request IDs
)

// The codes of requests that are refused before they reach the router.
const (
	CodeUnauthorised      router.Code = "unauthorised"
	CodeMalformedPath     router.Code = "malformed-path"
	CodeIncompleteBody    router.Code = "incomplete-body"
	CodeMalformedDeadline router.Code = "malformed-deadline"
	CodeTooManyRequests   router.Code = "too-many-requests"
)

// Forwarder is the HTTP handler for callers. Its exported fields must be set before
// it serves requests.
type Forwarder struct {
	Router *router.Router
	// Organisation authenticates a request and returns the caller's organisation.
	Organisation func(r *http.Request) (string, error)
	// MaxRequests is the maximum number of concurrent requests, whose bodies are
	// buffered; 0 means 4096.
	MaxRequests int
	// Now returns the current time; nil means the system clock.
	Now func() time.Time

	inFlight atomic.Int64
	initOnce sync.Once
	idPrefix string // of request IDs, unique to this process
	lastID   atomic.Uint64
}

// ServeHTTP forwards a request with path /SERVICE/REST to an executor of the service.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.initOnce.Do(f.initIDPrefix)
	id := f.idPrefix + strconv.FormatUint(f.lastID.Add(1), 16)
	defer f.inFlight.Add(-1)
	var a router.Answer
	var err error
	if f.inFlight.Add(1) > f.maxRequests() {
		err = tooManyRequests(r)
	} else {
		a, err = f.forward(id, r)
	}
	w.Header()[connector.HeaderRequestID] = []string{id}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeResponse(w, r, &a)
}

func (f *Forwarder) initIDPrefix() {
	b := make([]byte, idPrefixBytes)
	_, _ = rand.Read(b) // Read never fails
	f.idPrefix = hex.EncodeToString(b) + "-"
}

// forward converts the HTTP request to a router request and returns the response.
func (f *Forwarder) forward(id string, r *http.Request) (router.Answer, error) {
	q := router.Request{
		ID: id, Method: r.Method, Query: r.URL.RawQuery, Header: r.Header,
		Key: r.Header.Get(connector.HeaderIdempotencyKey), Arrived: f.now(),
	}
	var err error
	if q.Organisation, err = f.Organisation(r); err != nil {
		return router.Answer{}, refusal(CodeUnauthorised, "authenticate", err)
	}
	if q.Service, q.Path, err = splitPath(r.URL.Path); err != nil {
		return router.Answer{}, refusal(CodeMalformedPath, "find route", err)
	}
	if q.Deadline, err = callerDeadline(q.Arrived, r.Header); err != nil {
		return router.Answer{}, refusal(CodeMalformedDeadline, "read deadline", err)
	}
	if q.Body, err = f.readBody(r, &q); err != nil {
		return router.Answer{}, err
	}
	return f.Router.Do(r.Context(), q)
}

// readBody reads the request body, up to the limit of its route.
func (f *Forwarder) readBody(r *http.Request, q *router.Request) ([]byte, error) {
	limit, ok := f.Router.MaxBody(q.Service, q.Path)
	if !ok || r.Body == nil || r.Body == http.NoBody {
		return nil, nil // the router refuses requests with an unknown route
	}
	if r.ContentLength > limit {
		return nil, refusal(router.CodeBodyTooLarge, "read body", fmt.Errorf("body is larger than the limit of %d bytes for the route", limit))
	}
	var b []byte
	var err error
	if r.ContentLength >= 0 && r.ContentLength <= budgeter.Piece { // larger bodies get memory as they arrive
		b = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, b)
	} else {
		b, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	if errors.Is(err, budgeter.ErrNoRoom) {
		return nil, tooManyRequests(r)
	}
	if err != nil {
		return nil, refusal(CodeIncompleteBody, "read body", err)
	}
	if int64(len(b)) > limit {
		return nil, refusal(router.CodeBodyTooLarge, "read body", fmt.Errorf("body is larger than the limit of %d bytes for the route", limit))
	}
	return b, nil
}

func (f *Forwarder) maxRequests() int64 {
	if f.MaxRequests > 0 {
		return int64(f.MaxRequests)
	}
	return defaultMaxRequests
}

func (f *Forwarder) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

// splitPath splits a path into the service and the rest. Paths that are not in
// canonical form are refused: an executor could resolve them to a different path,
// which would bypass the rules of the route.
func splitPath(p string) (service, rest string, err error) {
	clean := path.Clean(p)
	if clean != p && clean+"/" != p {
		return "", "", errors.New("path has empty, \".\" or \"..\" segments")
	}
	service, rest, found := strings.Cut(strings.TrimPrefix(p, "/"), "/")
	if !found || service == "" {
		return "", "", errors.New("path is not of the form /SERVICE/REST")
	}
	return service, "/" + rest, nil
}

// callerDeadline returns the deadline from the request header, or zero if there is none.
func callerDeadline(now time.Time, h http.Header) (time.Time, error) {
	v := h.Get(connector.HeaderDeadlineMS)
	if v == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseUint(v, 10, 31)
	if err != nil {
		return time.Time{}, fmt.Errorf("%s: %w", connector.HeaderDeadlineMS, err)
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// tooManyRequests returns the refusal of a request above MaxRequests. If the request
// has an idempotency key, an earlier attempt of the caller may have run, so that the
// outcome is unknown.
func tooManyRequests(r *http.Request) error {
	f := &router.Refusal{
		Code: CodeTooManyRequests, Outcome: router.NotRun, RetryAfter: time.Second, Step: "accept",
		Detail: "entry VM has reached its limit of concurrent requests",
	}
	if r.Header.Get(connector.HeaderIdempotencyKey) != "" {
		f.Outcome = router.Unknown
	}
	return f
}

// refusal returns the refusal of a request that did not run.
func refusal(c router.Code, step string, err error) error {
	return &router.Refusal{Code: c, Outcome: router.NotRun, Step: step, Err: err}
}
