// Package refuser writes refusals as problem+json (RFC 9457), each with a stable
// code and what is known of the outcome.
package refuser

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a refusal.
const ContentType = "application/problem+json"

// The outcomes of a refused request or job.
const (
	OutcomeNotRun  = "not-run" // certainly nothing ran
	OutcomeUnknown = "unknown" // it may have run
)

// ProblemError is the body of a refusal.
type ProblemError struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Code       string        `json:"code"`    // stable, kebab-case
	Outcome    string        `json:"outcome"` // "not-run" or "unknown"
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"-"` // sent as a header in whole seconds, when positive
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

// Write sends p as the whole answer.
func Write(w http.ResponseWriter, p *ProblemError) {
	q := *p
	if q.Type == "" {
		q.Type = "about:blank"
	}
	if q.Title == "" {
		q.Title = http.StatusText(q.Status)
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	if q.RetryAfter > 0 {
		seconds := int64((q.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(q.Status)
	_ = json.NewEncoder(w).Encode(q) // the caller went away
}
