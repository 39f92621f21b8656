// Package refuser writes error responses as problem+json (RFC 9457), each with a
// stable code and the known outcome of the request.
package refuser

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The constant parts of an error response.
const (
	ContentType = "application/problem+json"
	TypePrefix  = "urn:lacewingdoor:problem:" // of the type; the code follows

	headerOutcome = "Lacewingdoor-Outcome" // repeats the outcome for callers that don't read the body
)

// The outcomes of a refused request or job.
const (
	OutcomeNotRun  = "not-run" // it certainly did not run
	OutcomeUnknown = "unknown" // it may have run
)

// ProblemError is the body of an error response.
type ProblemError struct {
	Type         string        `json:"type"`
	Title        string        `json:"title"`
	Status       int           `json:"status"`
	Code         string        `json:"code"`    // stable; kebab-case
	Outcome      string        `json:"outcome"` // "not-run" or "unknown"
	Detail       string        `json:"detail,omitempty"`
	RetryAfterMS int64         `json:"retry-after-ms,omitempty"` // set from RetryAfter
	RetryAfter   time.Duration `json:"-"`                        // also sent as a header, in whole seconds
}

// Error returns the code and the detail.
func (p *ProblemError) Error() string {
	if p.Detail == "" {
		return p.Code
	}
	return p.Code + ": " + p.Detail
}

// NewNotRun returns an error response for a request that certainly did not run.
func NewNotRun(status int, code, detail string) *ProblemError {
	return &ProblemError{Status: status, Code: code, Outcome: OutcomeNotRun, Detail: detail}
}

// WithOutcome returns a copy of p with another outcome.
func (p ProblemError) WithOutcome(outcome string) *ProblemError {
	p.Outcome = outcome
	return &p
}

// WithRetryAfter returns a copy of p that asks the caller to retry after d.
func (p ProblemError) WithRetryAfter(d time.Duration) *ProblemError {
	p.RetryAfter = d
	return &p
}

// Write sends p as the complete response. Type and title are derived from the code.
func Write(w http.ResponseWriter, p *ProblemError) {
	q := *p
	q.Type = TypePrefix + q.Code
	q.Title = strings.ReplaceAll(q.Code, "-", " ")
	q.RetryAfterMS = q.RetryAfter.Milliseconds()
	b, err := json.Marshal(q)
	if err != nil { // unreachable: every field can be encoded
		http.Error(w, q.Code, q.Status)
		return
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(headerOutcome, q.Outcome)
	if q.RetryAfter > 0 {
		seconds := int64((q.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(q.Status)
	_, _ = w.Write(b) // fails only if the caller has disconnected
}
