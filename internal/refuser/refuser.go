// Package refuser writes refusals as problem+json (RFC 9457), each with a stable
// code and what is known of the outcome.
package refuser

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The parts of an answer that is a refusal.
const (
	ContentType = "application/problem+json"
	TypePrefix  = "urn:lacewingdoor:problem:" // of the type, before the code

	headerOutcome = "Lacewingdoor-Outcome" // repeats the outcome for callers that read no body
)

// The outcomes of a refused request or job.
const (
	OutcomeNotRun  = "not-run" // certainly nothing ran
	OutcomeUnknown = "unknown" // it may have run
)

// ProblemError is the body of a refusal.
type ProblemError struct {
	Type         string        `json:"type"`
	Title        string        `json:"title"`
	Status       int           `json:"status"`
	Code         string        `json:"code"`    // stable, kebab-case
	Outcome      string        `json:"outcome"` // "not-run" or "unknown"
	Detail       string        `json:"detail,omitempty"`
	RetryAfterMS int64         `json:"retry-after-ms,omitempty"` // filled in from RetryAfter
	RetryAfter   time.Duration `json:"-"`                        // sent as a header too, in whole seconds
}

// Error returns the code and the detail.
func (p *ProblemError) Error() string {
	if p.Detail == "" {
		return p.Code
	}
	return p.Code + ": " + p.Detail
}

// New returns a refusal of which it is certain that nothing ran.
func New(status int, code, detail string) *ProblemError {
	return &ProblemError{Status: status, Code: code, Outcome: OutcomeNotRun, Detail: detail}
}

// WithOutcome returns p with another outcome.
func (p ProblemError) WithOutcome(outcome string) *ProblemError {
	p.Outcome = outcome
	return &p
}

// WithRetryAfter returns p with the time after which to try again.
func (p ProblemError) WithRetryAfter(d time.Duration) *ProblemError {
	p.RetryAfter = d
	return &p
}

// Write sends p as the whole answer. Type and title are made from the code.
func Write(w http.ResponseWriter, p *ProblemError) {
	q := *p
	q.Type = TypePrefix + q.Code
	q.Title = strings.ReplaceAll(q.Code, "-", " ")
	q.RetryAfterMS = q.RetryAfter.Milliseconds()
	b, err := json.Marshal(q)
	if err != nil { // no field of it can fail
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
	_, _ = w.Write(b) // a caller that is gone reads nothing
}
