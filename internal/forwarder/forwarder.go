// Package forwarder carries requests over HTTP: from callers to the router, and
// from the router to executors.
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
	"github.com/lacewingdoor/lacewingdoor/router"
)

const (
	defaultMaxRequests = 4096 // bounds the bodies held in memory
	idPrefixBytes      = 8    // of the random part of request ids
)

// The codes of refusals that arise before the router has the request.
const (
	CodeUnauthorised   router.Code = "unauthorised"
	CodeMalformedPath  router.Code = "malformed-path"
	CodeIncompleteBody router.Code = "incomplete-body"
	CodeBadDeadline    router.Code = "malformed-deadline"
	CodeBusy           router.Code = "too-many-requests"
)

// Forwarder is the handler for callers. Its fields are set before it serves.
type Forwarder struct {
	Router *router.Router
	// Organisation authenticates a request.
	Organisation func(r *http.Request) (string, error)
	// MaxRequests bounds the requests in hand, with their bodies; 0 for 4096.
	MaxRequests int
	// Now returns the present time; nil for the system's clock.
	Now func() time.Time

	inHand atomic.Int64
	once   sync.Once
	prefix string // of request ids, unique to this process
	number atomic.Uint64
}

// ServeHTTP takes a request /SERVICE/REST to an executor of the service.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.once.Do(f.start)
	id := f.prefix + strconv.FormatUint(f.number.Add(1), 16)
	defer f.inHand.Add(-1)
	var a router.Answer
	var err error
	if f.inHand.Add(1) > f.maxRequests() {
		err = busy(r)
	} else {
		a, err = f.forward(id, r)
	}
	w.Header()[connector.HeaderRequestID] = []string{id}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeAnswer(w, r, &a)
}

func (f *Forwarder) start() {
	b := make([]byte, idPrefixBytes)
	_, _ = rand.Read(b) // never fails
	f.prefix = hex.EncodeToString(b) + "-"
}

// forward turns a caller's request into a router's, and gets its answer.
func (f *Forwarder) forward(id string, r *http.Request) (router.Answer, error) {
	q := router.Request{
		ID: id, Method: r.Method, Query: r.URL.RawQuery, Header: r.Header,
		Key: r.Header.Get(connector.HeaderIdempotencyKey), Arrived: f.now(),
	}
	var err error
	if q.Organisation, err = f.Organisation(r); err != nil {
		return router.Answer{}, refuse(CodeUnauthorised, "authenticate", err)
	}
	if q.Service, q.Path, err = split(r.URL.Path); err != nil {
		return router.Answer{}, refuse(CodeMalformedPath, "find route", err)
	}
	if q.Deadline, err = callerDeadline(q.Arrived, r.Header); err != nil {
		return router.Answer{}, refuse(CodeBadDeadline, "read deadline", err)
	}
	if q.Body, err = f.readBody(r, &q); err != nil {
		return router.Answer{}, err
	}
	return f.Router.Do(r.Context(), q)
}

func (f *Forwarder) readBody(r *http.Request, q *router.Request) ([]byte, error) {
	limit, ok := f.Router.MaxBody(q.Service, q.Path)
	if !ok || r.Body == nil || r.Body == http.NoBody {
		return nil, nil // the router refuses unknown routes
	}
	if r.ContentLength > limit {
		return nil, refuse(router.CodeBodyTooLarge, "read body", fmt.Errorf("the route allows %d bytes", limit))
	}
	var b []byte
	var err error
	if r.ContentLength >= 0 {
		b = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, b)
	} else {
		b, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	if err != nil {
		return nil, refuse(CodeIncompleteBody, "read body", err)
	}
	if int64(len(b)) > limit {
		return nil, refuse(router.CodeBodyTooLarge, "read body", fmt.Errorf("the route allows %d bytes", limit))
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

// split divides a path into the service and the rest. A path that an executor
// could read as another one is refused, for it might get round a route's rules.
func split(p string) (service, rest string, err error) {
	clean := path.Clean(p)
	if clean != p && clean+"/" != p {
		return "", "", errors.New("the path has empty or dotted parts")
	}
	service, rest, found := strings.Cut(strings.TrimPrefix(p, "/"), "/")
	if !found || service == "" {
		return "", "", errors.New("the path reads /SERVICE/REST")
	}
	return service, "/" + rest, nil
}

// callerDeadline returns the deadline that a caller asks for, or zero.
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

// busy refuses a request that is one too many. With a key it is not certain that
// no earlier sending of it ran.
func busy(r *http.Request) error {
	f := &router.Refusal{
		Code: CodeBusy, Outcome: router.NotRun, RetryAfter: time.Second, Step: "accept",
		Detail: "this entry VM has too many requests in hand",
	}
	if r.Header.Get(connector.HeaderIdempotencyKey) != "" {
		f.Outcome = router.Unknown
	}
	return f
}

func refuse(c router.Code, step string, err error) error {
	return &router.Refusal{Code: c, Outcome: router.NotRun, Step: step, Err: err}
}
