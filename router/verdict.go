package router

import (
	"errors"
	"net/http"
)

// verdict is what is known after an attempt.
type verdict struct {
	answer  Answer
	refusal *Refusal // nil when answer is the caller's
	retry   bool     // a further attempt is safe and may help
	free    bool     // the retry costs no budget
}

// judge says what an attempt amounts to.
func (c *call) judge(x Executor, id string, a *Answer, err error) verdict {
	if err != nil {
		return c.judgeError(x, err)
	}
	if err := checkAnswer(id, a); err != nil {
		c.handed = true
		refusal := &Refusal{Code: CodeBadAnswer, Step: "check answer", Peer: x.ID, Err: err}
		return verdict{refusal: refusal, retry: !c.route.NonIdempotent}
	}
	leaving := saysLeaving(a)
	if leaving {
		c.dispatcher.leave(x.ID)
		if c.router.Leaving != nil {
			c.router.Leaving(x.ID)
		}
	}
	if saysNotRun(a) {
		// An executor that leaves gets no more work, so its refusals end by
		// themselves and need no budget.
		refusal := &Refusal{Code: CodeRefused, Step: "send", Peer: x.ID, RetryAfter: minRetryAfter, Detail: "the executor refused it"}
		return verdict{refusal: refusal, retry: true, free: leaving}
	}
	return verdict{answer: *a}
}

// judgeError says what an attempt without an answer amounts to.
func (c *call) judgeError(x Executor, err error) verdict {
	var e *SendError
	if !errors.As(err, &e) {
		e = &SendError{Code: CodeConnectionLost, Handed: true, Step: "send", Peer: x.ID, Err: err}
	}
	c.handed = c.handed || e.Handed
	refusal := &Refusal{Code: e.Code, Step: e.Step, Peer: x.ID, Err: e.Err}
	if e.Code == CodeUnreachable {
		refusal.RetryAfter = minRetryAfter
	}
	safe := !e.Handed || !c.route.NonIdempotent
	return verdict{refusal: refusal, retry: safe && !e.Final}
}

// healthy reports whether an attempt speaks for its executor, if it says
// anything of it.
func healthy(v verdict) (ok, known bool) {
	if v.refusal == nil {
		return v.answer.Status < http.StatusInternalServerError, true
	}
	switch v.refusal.Code {
	case CodeUnreachable, CodeConnectionLost, CodeBadAnswer, CodeDeadlinePassed:
		return false, true
	default:
		return false, false
	}
}
