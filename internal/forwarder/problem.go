package forwarder

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// Problem is the body of a refusal (RFC 9457).
type Problem struct {
	Type         string         `json:"type"`
	Title        string         `json:"title"`
	Status       int            `json:"status"`
	Code         router.Code    `json:"code"`
	Outcome      router.Outcome `json:"outcome"`
	Detail       string         `json:"detail,omitempty"`
	RetryAfterMS int64          `json:"retry-after-ms,omitempty"`
}

const typePrefix = "urn:lacewingdoor:problem:"

const statusCallerGone = 499 // nobody reads it; for the counts

// statusOf returns the HTTP status of a refusal.
func statusOf(c router.Code) int {
	switch c {
	case router.CodeUnknownService, router.CodeUnknownRoute:
		return http.StatusNotFound
	case router.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case router.CodeMalformedKey, router.CodeExpiredKey, router.CodeFutureKey,
		CodeMalformedPath, CodeIncompleteBody, CodeBadDeadline:
		return http.StatusBadRequest
	case CodeUnauthorised:
		return http.StatusUnauthorized
	case router.CodeClaimed:
		return http.StatusConflict
	case router.CodeDeadlinePassed:
		return http.StatusGatewayTimeout
	case router.CodeConnectionLost, router.CodeBadAnswer, router.CodeAnswerTooLarge:
		return http.StatusBadGateway
	case router.CodeCallerGone:
		return statusCallerGone
	default:
		return http.StatusServiceUnavailable
	}
}

// writeRefusal writes a refusal as application/problem+json.
func writeRefusal(w http.ResponseWriter, err error) {
	var e *router.Refusal
	if !errors.As(err, &e) {
		e = &router.Refusal{Code: router.CodeConnectionLost, Outcome: router.Unknown, Err: err}
	}
	p := Problem{
		Type: typePrefix + string(e.Code), Title: strings.ReplaceAll(string(e.Code), "-", " "), Status: statusOf(e.Code),
		Code: e.Code, Outcome: e.Outcome, Detail: detail(e), RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
	b, err := json.Marshal(&p)
	if err != nil {
		http.Error(w, string(e.Code), p.Status)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(connector.HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(b) // a caller that is gone reads nothing
}

// detail tells the caller the step and the reason, without the addresses of
// executors.
func detail(e *router.Refusal) string {
	if e.Detail != "" {
		return e.Step + ": " + e.Detail
	}
	if e.Err != nil && e.Peer == "" {
		return e.Step + ": " + e.Err.Error()
	}
	return e.Step
}

// writeAnswer writes an executor's answer.
func writeAnswer(w http.ResponseWriter, r *http.Request, a *router.Answer) {
	h := w.Header()
	copyHeader(h, a.Header)
	if r.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) //nolint:gosec // the executor's answer, with its own content type
}
