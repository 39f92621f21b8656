package forwarder

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/router"
)

const statusCallerGone = 499 // for metrics only; the caller has disconnected

// httpStatus returns the HTTP status for the code of a refusal.
func httpStatus(c router.Code) int {
	switch c {
	case router.CodeUnknownService, router.CodeUnknownRoute:
		return http.StatusNotFound
	case router.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case router.CodeMalformedKey, router.CodeExpiredKey, router.CodeFutureKey,
		CodeMalformedPath, CodeIncompleteBody, CodeMalformedDeadline:
		return http.StatusBadRequest
	case CodeUnauthorised:
		return http.StatusUnauthorized
	case router.CodeAlreadyClaimed:
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
		Status: httpStatus(e.Code), Code: string(e.Code), Outcome: string(e.Outcome),
		Detail: detail(e), RetryAfter: e.RetryAfter,
	})
}

// detail returns the failed step and the reason. The addresses of executors are not
// disclosed to callers.
func detail(e *router.Refusal) string {
	if e.Detail != "" {
		return e.Step + ": " + e.Detail
	}
	if e.Err != nil && e.Peer == "" {
		return e.Step + ": " + e.Err.Error()
	}
	return e.Step
}

// writeResponse writes the response of an executor to the caller.
func writeResponse(w http.ResponseWriter, r *http.Request, a *router.Answer) {
	h := w.Header()
	copyHeader(h, a.Header)
	if r.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) //nolint:gosec // the executor's response, with its own content type
}
