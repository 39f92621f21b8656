package router

import (
	"errors"
	"net/http"
)

// attemptResult is the evaluated response of an attempt.
type attemptResult struct {
	answer       Answer
	refusal      *Refusal // nil if answer goes to the caller
	retry        bool     // a retry is safe and may help
	budgetExempt bool     // the retry costs no retry budget
}

// evaluate decides whether an attempt yields an answer, a retry or a refusal.
func (c *call) evaluate(x Executor, id string, a *Answer, err error) attemptResult {
	if err != nil {
		return c.evaluateError(x, err)
	}
	if err := checkAnswer(id, a); err != nil {
		c.mayHaveRun = true
		refusal := &Refusal{Code: CodeBadAnswer, Step: "check answer", Peer: x.ID, Err: err}
		return attemptResult{refusal: refusal, retry: !c.route.NonIdempotent}
	}
	leaving := reportsLeaving(a)
	if leaving {
		c.dispatcher.markLeaving(x.ID)
		if c.router.Leaving != nil {
			c.router.Leaving(x.ID)
		}
	}
	if reportsNotRun(a) {
		// A leaving executor gets no more work, so its refusals are few and
		// their retries need no budget.
		refusal := &Refusal{Code: CodeExecutorRefused, Step: "send", Peer: x.ID, RetryAfter: minRetryAfter, Detail: "the executor refused the request"}
		return attemptResult{refusal: refusal, retry: true, budgetExempt: leaving}
	}
	return attemptResult{answer: *a}
}

// evaluateError evaluates an attempt without an answer.
func (c *call) evaluateError(x Executor, err error) attemptResult {
	var e *SendError
	if !errors.As(err, &e) {
		e = &SendError{Code: CodeConnectionLost, MayHaveRun: true, Step: "send", Peer: x.ID, Err: err}
	}
	c.mayHaveRun = c.mayHaveRun || e.MayHaveRun
	if e.Code == CodeConnectionLost && e.MayHaveRun {
		c.lost++
	}
	refusal := &Refusal{Code: e.Code, Step: e.Step, Peer: x.ID, Err: e.Err}
	if e.Code == CodeExecutorUnreachable {
		refusal.RetryAfter = minRetryAfter
	}
	safe := !e.MayHaveRun || !c.route.NonIdempotent
	return attemptResult{refusal: refusal, retry: safe && !e.Final}
}

// executorHealth reports whether an attempt shows its executor to be healthy; known
// is false if it shows neither.
func executorHealth(v attemptResult) (ok, known bool) {
	if v.refusal == nil {
		return v.answer.Status < http.StatusInternalServerError, true
	}
	switch v.refusal.Code {
	case CodeExecutorUnreachable, CodeConnectionLost, CodeBadAnswer, CodeDeadlinePassed:
		return false, true
	default:
		return false, false
	}
}
