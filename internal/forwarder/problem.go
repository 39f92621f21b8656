package forwarder

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/router"
)

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
	refuser.Write(w, &refuser.ProblemError{
		Status: statusOf(e.Code), Code: string(e.Code), Outcome: string(e.Outcome),
		Detail: detail(e), RetryAfter: e.RetryAfter,
	})
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
