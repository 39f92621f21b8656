package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Class is the scheduling class of a job.
type Class string

// The classes of jobs.
const (
	ClassUrgent Class = "urgent" // starts within a second if covered by its guarantee
	ClassBatch  Class = "batch"  // the default
)

// Job is a request to run a gang of tasks. It is immutable once accepted.
type Job struct {
	ID             string         `json:"id"` // ORGANISATION:SUBMISSION; two submissions with the same id are one job
	Organisation   string         `json:"organisation"`
	Team           string         `json:"team"`
	Service        string         `json:"service"`
	Class          Class          `json:"class"`
	Gang           placer.Request `json:"gang"`
	DeclaredRun    time.Duration  `json:"declared-run"` // nanoseconds; only a prior for the estimate
	Deadline       time.Time      `json:"deadline"`     // zero if there is none
	Checkpointable bool           `json:"checkpointable"`
	NonIdempotent  bool           `json:"non-idempotent"` // runs at most once
	Payload        string         `json:"payload"`
}

// SameRequest reports whether j and o are the same request.
func (j Job) SameRequest(o Job) bool {
	if !j.Deadline.Equal(o.Deadline) {
		return false
	}
	j.Deadline = o.Deadline
	return j == o
}

// Outcome is the result of a job.
type Outcome string

// The outcomes of a job.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"    // fails regardless of the worker
	OutcomeCancelled Outcome = "cancelled" // by its organisation
	OutcomeRefused   Outcome = "refused"   // can never be placed
	OutcomeUnknown   Outcome = "unknown"   // non-idempotent, started, and its end was not observed
)

// Record is an entry of the control stream.
type Record interface{ isRecord() }

// JobAccepted accepts a job. From then on the job is never lost.
type JobAccepted struct {
	Job      Job       `json:"job"`
	Accepted time.Time `json:"accepted"`
}

// JobCancelled cancels a job.
type JobCancelled struct {
	Job          string `json:"job"`
	Organisation string `json:"organisation"` // that requests it; must own the job
}

// LeaderClaimed claims leadership. It takes effect if Previous is the term in force
// at its position in the log; its own offset is then the new term.
type LeaderClaimed struct {
	VM       string `json:"vm"`
	Previous int64  `json:"previous"` // term that the claim replaces
}

// TermConfirmed states the term in force, for readers that start after the claim was
// dropped from the log. The leader appends it when it takes leadership, and again
// before the log drops it.
type TermConfirmed struct {
	VM   string `json:"vm"`
	Term int64  `json:"term"`
}

// StartRecorded permits one attempt of a non-idempotent job to start. It is void if
// Epoch is not in force at its position in the log.
type StartRecorded struct {
	Job     string       `json:"job"`
	Attempt int          `json:"attempt"`
	Epoch   leaser.Epoch `json:"epoch"`
}

// JobEnded ends a job. Only the first one in the log counts.
type JobEnded struct {
	Job     string  `json:"job"`
	Attempt int     `json:"attempt"`
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	RunMS   int64   `json:"run-ms"` // milliseconds that the longest task ran
}

func (JobAccepted) isRecord()   {}
func (JobCancelled) isRecord()  {}
func (LeaderClaimed) isRecord() {}
func (TermConfirmed) isRecord() {}
func (StartRecorded) isRecord() {}
func (JobEnded) isRecord()      {}
