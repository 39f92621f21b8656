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
	dialTimeout       = 1 * time.Second // round trips to the platform take 1 to 3 ms
	defaultTimeout    = 3 * time.Second // of one exchange, in addition to the wait of a long poll
	maxResponseBytes  = 32 << 20        // fits a page of 1000 records of 16 KiB
	idleConnTimeout   = 30 * time.Second
	maxIdlePerHost    = 8
	maxErrorTextBytes = 200 // length of the response excerpt in an error
)

// StatusError is the error for a response with an unexpected status.
type StatusError struct {
	Status int
	Text   string // start of the response body
	NotRun bool   // the peer reports that the request had no effect

	body []byte
}

// Error returns the status and the start of the response body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s: %s", e.Status, http.StatusText(e.Status), e.Text)
}

// Uncertain reports whether the request that failed with err may have taken effect
// nevertheless. It returns false only if the request certainly had no effect.
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

// errNotSent is wrapped by the errors of requests of which no byte was sent.
var errNotSent = errors.New("not sent")

// NewHTTPClient returns a client for requests to the platform and the workers. Dialling
// times out after 1 second. The client does not ping silent connections: the deadline
// of each exchange detects them.
func NewHTTPClient() *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:           d.DialContext,
		MaxIdleConnsPerHost:   maxIdlePerHost,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: 0, // bounded by the deadline of the exchange
		DisableCompression:    true,
	}}
}

var sharedClient = NewHTTPClient()

// exchange is one HTTP request and its JSON response.
type exchange struct {
	client   *http.Client
	method   string
	url      string
	query    map[string]string
	body     any
	response any // pointer to the decoded response
	timeout  time.Duration
	knownTag string  // entity tag of the response that the caller has; "" for none
	tag      *string // set to the entity tag of the response; may be nil
}

// errNotModified means that the caller already has the current response.
var errNotModified = errors.New("not modified")

// run sends the request and decodes the response. Failed connections are not reused:
// the transport closes a connection on an error or a passed deadline. After a passed
// deadline, run also closes the idle connections.
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
	r := resty.NewWithClient(h).SetResponseBodyLimit(maxResponseBytes).R().SetContext(ctx).SetQueryParams(e.query)
	if e.body != nil {
		b, err := json.Marshal(e.body)
		if err != nil {
			return fmt.Errorf("%w: encode request: %w", errNotSent, err)
		}
		r.SetHeader("Content-Type", "application/json").SetBody(b)
	}
	if e.knownTag != "" {
		r.SetHeader("If-None-Match", e.knownTag)
	}
	a, err := r.Execute(e.method, e.url)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			h.CloseIdleConnections() // they may be dead for the same reason
		}
		return err
	}
	if e.knownTag != "" && a.StatusCode() == http.StatusNotModified {
		return errNotModified
	}
	if a.StatusCode() != http.StatusOK {
		return newStatusError(a)
	}
	if err := json.Unmarshal(a.Body(), e.response); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if e.tag != nil {
		*e.tag = a.Header().Get("ETag")
	}
	return nil
}

// newStatusError returns the StatusError for a response.
func newStatusError(a *resty.Response) error {
	b := a.Body()
	return &StatusError{
		Status: a.StatusCode(),
		Text:   string(bytes.TrimSpace(b[:min(len(b), maxErrorTextBytes)])),
		NotRun: a.Header().Get(HeaderOutcome) == outcomeNotRun,
		body:   b,
	}
}

const outcomeNotRun = "not-run"
