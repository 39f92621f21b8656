package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-resty/resty/v2"
)

const (
	dialTimeout    = 1 * time.Second // the platform is 1 to 3 ms away
	defaultTimeout = 3 * time.Second // of one exchange, the wait of a long poll not counted
	maxAnswer      = 32 << 20        // bytes of one answer; a page of 1000 records of 16 KiB fits
	idleTimeout    = 30 * time.Second
	idlePerHost    = 8
	maxErrorText   = 200 // bytes of an answer that are quoted in an error
)

// StatusError is an answer with a status that isn't the expected one.
type StatusError struct {
	Status int
	Text   string // start of the answer
	NotRun bool   // the peer says that nothing of the request took effect

	body []byte
}

// Error returns the status and the start of the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s: %s", e.Status, http.StatusText(e.Status), e.Text)
}

// Uncertain reports whether the exchange that returned err may have taken effect
// all the same. It is false only when the request surely had no effect.
func Uncertain(err error) bool {
	if err == nil {
		return false
	}
	var s *StatusError
	if errors.As(err, &s) {
		return !s.NotRun && s.Status >= http.StatusInternalServerError
	}
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return false
	}
	return !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, errNotSent)
}

// errNotSent marks requests that failed before a byte was sent.
var errNotSent = errors.New("not sent")

// NewHTTPClient returns a client for exchanges with the platform and the
// workers. Connections are dialled within a second and pinged when silent by
// the deadline of each exchange, not by the client.
func NewHTTPClient() *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:           d.DialContext,
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: 0, // the deadline of the exchange bounds it
		DisableCompression:    true,
	}}
}

var sharedClient = NewHTTPClient()

// exchange is one request and its JSON answer.
type exchange struct {
	client  *http.Client
	method  string
	url     string
	query   map[string]string
	body    any
	answer  any
	timeout time.Duration
	known   string  // entity tag of the answer that the caller has, "" for none
	tag     *string // takes the entity tag of the answer; nil when it is not wanted
}

// errNotModified says that the answer is the one that the caller has.
var errNotModified = errors.New("not modified")

// run sends the request and decodes the answer. A connection that failed once is
// not used again: the transport closes it, and so does a deadline that passes, which
// also closes the idle ones.
func (e exchange) run(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	h := e.client
	if h == nil {
		h = sharedClient
	}
	r := resty.NewWithClient(h).SetResponseBodyLimit(maxAnswer).R().SetContext(ctx).SetQueryParams(e.query)
	if e.body != nil {
		b, err := json.Marshal(e.body)
		if err != nil {
			return fmt.Errorf("%w: encode request: %w", errNotSent, err)
		}
		r.SetHeader("Content-Type", "application/json").SetBody(b)
	}
	if e.known != "" {
		r.SetHeader("If-None-Match", e.known)
	}
	a, err := r.Execute(e.method, e.url)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			h.CloseIdleConnections() // what silenced this one may have silenced them all
		}
		return err
	}
	if e.known != "" && a.StatusCode() == http.StatusNotModified {
		return errNotModified
	}
	if a.StatusCode() != http.StatusOK {
		return statusError(a)
	}
	if err := json.Unmarshal(a.Body(), e.answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	if e.tag != nil {
		*e.tag = a.Header().Get("ETag")
	}
	return nil
}

func statusError(a *resty.Response) error {
	b := a.Body()
	return &StatusError{
		Status: a.StatusCode(),
		Text:   string(bytes.TrimSpace(b[:min(len(b), maxErrorText)])),
		NotRun: a.Header().Get(HeaderOutcome) == outcomeNotRun,
		body:   b,
	}
}

const outcomeNotRun = "not-run"
