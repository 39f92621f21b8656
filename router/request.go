package router

import (
	"fmt"
	"net/http"
	"time"
)

// Request is one request of a caller.
type Request struct {
	ID           string // unique; the ids of later attempts are derived from it
	Organisation string
	Service      string
	Path         string // after the name of the service, with a leading slash
	Method       string
	Query        string // raw, without the question mark
	Header       http.Header
	Body         []byte
	Key          string // idempotency key, "" for none
	Arrived      time.Time
	Deadline     time.Time // zero for the deadline of the route
}

// Answer is the complete answer of an executor.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome says whether a refused request may have run.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not-run" // no executor received any part of it, or the executor states that it did not run it
	Unknown Outcome = "unknown" // the request may have run
)

// Code is the reason of a refusal. Codes are stable.
type Code string

// The codes.
const (
	CodeUnknownService      Code = "unknown-service"
	CodeUnknownRoute        Code = "unknown-route"
	CodeBodyTooLarge        Code = "body-too-large"
	CodeMalformedKey        Code = "malformed-key"
	CodeExpiredKey          Code = "expired-key"
	CodeFutureKey           Code = "future-key"
	CodeAlreadyClaimed      Code = "already-claimed"
	CodeClaimUnavailable    Code = "claim-unavailable"
	CodeQueueFull           Code = "queue-full"
	CodeDeadlineTooNear     Code = "deadline-too-near"
	CodeDeadlinePassed      Code = "deadline-passed"
	CodeNoExecutor          Code = "no-executor"
	CodeExecutorRefused     Code = "executor-refused"
	CodeSlotReclaimed       Code = "slot-reclaimed" // a borrower ran too long in a guaranteed slot
	CodeExecutorUnreachable Code = "executor-unreachable"
	CodeConnectionLost      Code = "connection-lost"
	CodeBadAnswer           Code = "bad-answer"
	CodeAnswerTooLarge      Code = "answer-too-large"
	CodeDraining            Code = "draining"
	CodeCallerGone          Code = "caller-gone"
)

// Refusal is the error that a caller gets instead of an answer.
type Refusal struct { //nolint:errname // the term of the protocol
	Code       Code
	Outcome    Outcome
	RetryAfter time.Duration // 0 if a retry would not help, or the delay is not known
	Detail     string
	Step       string // that failed
	Peer       string // executor, "" for none
	Err        error  // cause, nil for none
}

// Error returns the step, the code, the outcome, the peer, the detail and the
// cause.
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

// SendError is the error of Router.Send for an attempt without an answer.
type SendError struct {
	Code       Code
	MayHaveRun bool // the executor may have received part of the request
	Final      bool // a retry would fail the same way
	Step       string
	Peer       string
	Err        error
}

// Error returns the step, the peer and the cause.
func (e *SendError) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Claim is the result of claiming an idempotency key.
type Claim string

// The results of a claim.
const (
	Granted        Claim = "granted"     // the request may be sent
	AlreadyClaimed Claim = "taken"       // the key is already claimed
	Rejected       Claim = "rejected"    // the key is malformed, expired or from the future
	Unavailable    Claim = "unavailable" // the claim could not be made or checked
)

// Observation holds the metrics of one finished request.
type Observation struct {
	Organisation string
	Service      string
	Route        string // path of the route
	Class        string // "short" or "long", as the request was last queued
	Wait         time.Duration
	Run          time.Duration // of the last attempt
	Attempts     int
	Status       int     // of the answer, 0 for a refusal
	Code         Code    // of the refusal, "" for an answer
	Outcome      Outcome // of the refusal
}
