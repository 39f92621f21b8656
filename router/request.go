package router

import (
	"fmt"
	"net/http"
	"time"
)

// Request is one request of a caller.
type Request struct {
	ID           string // unique; each attempt gets one of its own made from it
	Organisation string
	Service      string
	Path         string // below the service's name, with a leading slash
	Method       string
	Query        string // raw, without the question mark
	Header       http.Header
	Body         []byte
	Key          string // idempotency key, "" for none
	Arrived      time.Time
	Deadline     time.Time // zero for that of the route
}

// Answer is what an executor answered, whole.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome says what is known of a refused request.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not-run" // no executor was handed any of it, or the executor itself said that it did not run it
	Unknown Outcome = "unknown" // it may have run
)

// Code names the reason of a refusal. Codes are stable.
type Code string

// The codes.
const (
	CodeUnknownService   Code = "unknown-service"
	CodeUnknownRoute     Code = "unknown-route"
	CodeBodyTooLarge     Code = "body-too-large"
	CodeMalformedKey     Code = "malformed-key"
	CodeExpiredKey       Code = "expired-key"
	CodeFutureKey        Code = "future-key"
	CodeClaimed          Code = "already-claimed"
	CodeClaimUnavailable Code = "claim-unavailable"
	CodeQueueFull        Code = "queue-full"
	CodeDeadlineNear     Code = "deadline-too-near"
	CodeDeadlinePassed   Code = "deadline-passed"
	CodeNoExecutor       Code = "no-executor"
	CodeRefused          Code = "executor-refused"
	CodeReclaimed        Code = "slot-reclaimed" // it ran too long in a guaranteed slot
	CodeUnreachable      Code = "executor-unreachable"
	CodeConnectionLost   Code = "connection-lost"
	CodeBadAnswer        Code = "bad-answer"
	CodeAnswerTooLarge   Code = "answer-too-large"
	CodeDraining         Code = "draining"
	CodeCallerGone       Code = "caller-gone"
)

// Refusal is the error that a caller gets in place of an answer.
type Refusal struct { //nolint:errname // the term of the protocol; callers see it as such
	Code       Code
	Outcome    Outcome
	RetryAfter time.Duration // 0 when trying again would not help, or nothing is known
	Detail     string
	Step       string // at which it arose
	Peer       string // executor, "" for none
	Err        error  // cause, nil for none
}

// Error returns the code, the outcome, the step and the peer.
func (r *Refusal) Error() string {
	s := fmt.Sprintf("%s: %s (%s)", r.Step, r.Code, r.Outcome)
	if r.Peer != "" {
		s += " at " + r.Peer
	}
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	if r.Err != nil {
		s += ": " + r.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// SendError is how Router.Send reports an attempt that brought no answer.
type SendError struct {
	Code   Code
	Handed bool // the executor may have got some of the request
	Final  bool // a further attempt would end alike
	Step   string
	Peer   string
	Err    error
}

// Error returns the step, the peer and the cause.
func (e *SendError) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Claim is what became of the claim of an idempotency key.
type Claim string

// The claims.
const (
	Granted     Claim = "granted"     // the request may be sent
	Taken       Claim = "taken"       // the key was claimed before
	Rejected    Claim = "rejected"    // the key has a wrong form or is out of its time
	Unavailable Claim = "unavailable" // it could not be found out
)

// Observation is what is counted of one finished request.
type Observation struct {
	Organisation string
	Service      string
	Route        string // its path
	Class        string // "short" or "long", as learned
	Wait         time.Duration
	Run          time.Duration // of the last attempt
	Attempts     int
	Status       int     // of the answer, 0 for a refusal
	Code         Code    // of the refusal, "" for an answer
	Outcome      Outcome // of the refusal
}
