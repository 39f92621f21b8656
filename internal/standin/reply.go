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

// reply is an answer with its headers.
type reply struct {
	id     string
	digest string // Content-Digest
	body   []byte
}

func newReply(a ExecutorAnswer) reply {
	b, _ := json.Marshal(a) //nolint:errchkjson // strings only
	sum := sha256.Sum256(b)
	return reply{
		id:     a.RequestID,
		digest: "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":",
		body:   b,
	}
}

// header sets the headers of an answer of n bytes.
func (y reply) header(h http.Header, n int) {
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(n))
	h.Set(connector.HeaderRequestID, y.id)
	h.Set(connector.HeaderDigest, y.digest)
}

// fault is what goes wrong with an answer.
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

// draw takes one of the faults that were asked for.
func (e *Executor) draw() fault {
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

// reply sends an answer, or what a fault makes of it.
func (e *Executor) reply(w http.ResponseWriter, y reply) {
	switch e.draw() {
	case faultCrossed:
		send(w, e.swap(y))
	case faultTruncated:
		y.header(w.Header(), len(y.body))
		_, _ = w.Write(y.body[:len(y.body)/2])
		_ = http.NewResponseController(w).Flush()
		drop()
	case faultShortened:
		y.header(w.Header(), len(y.body)/2)
		_, _ = w.Write(y.body[:len(y.body)/2])
	case faultDoubled:
		sendTwice(w, y)
	case faultUnanswered:
		drop()
	case faultFailing:
		w.Header().Set(connector.HeaderRequestID, y.id)
		http.Error(w, "failed while it ran", http.StatusInternalServerError)
	default:
		e.swap(y)
		send(w, y)
	}
}

// swap remembers an answer and returns the one before.
func (e *Executor) swap(y reply) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.last
	e.last = y
	return before
}

func send(w http.ResponseWriter, y reply) {
	y.header(w.Header(), len(y.body))
	_, _ = w.Write(y.body)
}

// sendTwice writes an answer twice on its connection.
func sendTwice(w http.ResponseWriter, y reply) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		send(w, y) // HTTP/2 has no way to answer twice
		return
	}
	defer func() { _ = c.Close() }()
	h := http.Header{}
	y.header(h, len(y.body))
	for range 2 {
		_, _ = b.WriteString("HTTP/1.1 200 OK\r\n")
		_ = h.Write(b)
		_, _ = b.WriteString("\r\n")
		_, _ = b.Write(y.body)
	}
	_ = b.Flush()
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxBody)) // until the peer closes it
}
