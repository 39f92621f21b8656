package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Class says how a job is treated while it waits.
type Class string

// The classes of jobs.
const (
	ClassUrgent Class = "urgent" // starts within a second when its guarantee covers it
	ClassBatch  Class = "batch"  // the default
)

// Job is what an organisation asked to be run. It never changes once accepted.
type Job struct {
	ID             string         `json:"id"` // ORGANISATION:SUBMISSION; the same id twice is one job
	Organisation   string         `json:"organisation"`
	Team           string         `json:"team"`
	Service        string         `json:"service"`
	Class          Class          `json:"class"`
	Gang           placer.Request `json:"gang"`
	DeclaredRun    time.Duration  `json:"declared-run"` // nanoseconds; only a prior
	Deadline       time.Time      `json:"deadline"`     // zero when none
	Checkpointable bool           `json:"checkpointable"`
	NonIdempotent  bool           `json:"non-idempotent"` // runs at most once
	Payload        string         `json:"payload"`
}

// Same reports whether j and o ask for the same thing.
func (j Job) Same(o Job) bool {
	if !j.Deadline.Equal(o.Deadline) {
		return false
	}
	j.Deadline = o.Deadline
	return j == o
}

// Outcome is how a job ended.
type Outcome string

// The outcomes of a job.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"    // it fails wherever it runs
	OutcomeCancelled Outcome = "cancelled" // by its organisation
	OutcomeRefused   Outcome = "refused"   // it can never fit
	OutcomeUnknown   Outcome = "unknown"   // non-idempotent, started, and its end was not seen
)

// Record is an entry of the control stream.
type Record interface{ isRecord() }

// JobAccepted makes a job known; from then on it is never lost.
type JobAccepted struct {
	Job      Job       `json:"job"`
	Accepted time.Time `json:"accepted"`
}

// JobCancelled withdraws a job.
type JobCancelled struct {
	Job          string `json:"job"`
	Organisation string `json:"organisation"` // who asks; must own the job
}

// LeaderClaimed asks for leadership. It takes force when Previous is the term in
// force at its place in the log; its own offset is then the new term.
type LeaderClaimed struct {
	VM       string `json:"vm"`
	Previous int64  `json:"previous"` // term that the claim replaces
}

// LeaderVouched says which term is in force, for readers that start where the log
// no longer keeps the claim. The leader appends it when it takes leadership and
// again before the log would drop it.
type LeaderVouched struct {
	VM   string `json:"vm"`
	Term int64  `json:"term"`
}

// StartRecorded allows one attempt of a non-idempotent job to start. It is void
// when Epoch is not the epoch in force at its place in the log.
type StartRecorded struct {
	Job     string       `json:"job"`
	Attempt int          `json:"attempt"`
	Epoch   leaser.Epoch `json:"epoch"`
}

// JobEnded is the end of a job. The first one in the log counts.
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
func (LeaderVouched) isRecord() {}
func (StartRecorded) isRecord() {}
func (JobEnded) isRecord()      {}
