package standin

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

// encodedResponse is a response body with the values of its headers.
type encodedResponse struct {
	id     string
	digest string // value of Content-Digest
	body   []byte
}

func encodeResponse(a ExecutorResponse) encodedResponse {
	b, _ := json.Marshal(a) //nolint:errchkjson // strings only
	sum := sha256.Sum256(b)
	return encodedResponse{
		id:     a.RequestID,
		digest: "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":",
		body:   b,
	}
}

// setHeaders sets the headers of a response with n bytes of body.
func (y encodedResponse) setHeaders(h http.Header, n int) {
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(n))
	h.Set(connector.HeaderRequestID, y.id)
	h.Set(connector.HeaderDigest, y.digest)
}

// fault is a fault injected into a response.
type fault int

const (
	faultNone fault = iota
	faultCrossed
	faultTruncated
	faultShortened
	faultDoubled
	faultUnanswered
	faultFailing
)

// nextFault consumes one of the requested faults.
func (e *Executor) nextFault() fault {
	f := faultNone
	e.control.update(func(c *ExecutorControl) {
		counts := []*int{nil, &c.Crossed, &c.Truncated, &c.Shortened, &c.Doubled, &c.Unanswered, &c.Failing}
		i := slices.IndexFunc(counts, func(n *int) bool { return n != nil && *n > 0 })
		if i > 0 {
			*counts[i]--
			f = fault(i)
		}
	})
	return f
}

// respond sends a response, or applies an injected fault to it.
func (e *Executor) respond(w http.ResponseWriter, y encodedResponse) {
	switch e.nextFault() {
	case faultCrossed:
		writeResponse(w, e.swapLastResponse(y))
	case faultTruncated:
		y.setHeaders(w.Header(), len(y.body))
		_, _ = w.Write(y.body[:len(y.body)/2])
		_ = http.NewResponseController(w).Flush()
		dropConnection()
	case faultShortened:
		y.setHeaders(w.Header(), len(y.body)/2)
		_, _ = w.Write(y.body[:len(y.body)/2])
	case faultDoubled:
		writeResponseTwice(w, y)
	case faultUnanswered:
		dropConnection()
	case faultFailing:
		w.Header().Set(connector.HeaderRequestID, y.id)
		http.Error(w, "request failed while running", http.StatusInternalServerError)
	default:
		e.swapLastResponse(y)
		writeResponse(w, y)
	}
}

// swapLastResponse stores a response as the last one and returns its
// predecessor.
func (e *Executor) swapLastResponse(y encodedResponse) encodedResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.lastResponse
	e.lastResponse = y
	return previous
}

func writeResponse(w http.ResponseWriter, y encodedResponse) {
	y.setHeaders(w.Header(), len(y.body))
	_, _ = w.Write(y.body)
}

// writeResponseTwice writes a response twice to its connection.
func writeResponseTwice(w http.ResponseWriter, y encodedResponse) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		writeResponse(w, y) // HTTP/2 cannot send two responses to a request
		return
	}
	defer func() { _ = c.Close() }()
	h := http.Header{}
	y.setHeaders(h, len(y.body))
	for range 2 {
		_, _ = b.WriteString("HTTP/1.1 200 OK\r\n")
		_ = h.Write(b)
		_, _ = b.WriteString("\r\n")
		_, _ = b.Write(y.body)
	}
	_ = b.Flush()
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxBody)) // wait until the peer closes the connection
}
