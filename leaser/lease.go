// Package leaser holds the rules of leases on workers: who may give a worker
// commands, what a worker grants, and which leases are renewed.
//
// It decides only: it does no I/O and reads no clock.
package leaser

import (
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Epoch is the fencing token of a leader: the offset of its claim in the
// control stream, and the number of a provisional sub-term within it.
type Epoch struct {
	Term    int64 `json:"term"`     // offset of the claim in the log, 0 when none was made
	SubTerm int64 `json:"sub-term"` // counts provisional leaders since the claim
}

// Less reports whether e is older than o.
func (e Epoch) Less(o Epoch) bool {
	if e.Term != o.Term {
		return e.Term < o.Term
	}
	return e.SubTerm < o.SubTerm
}

// String returns the epoch as TERM.SUBTERM.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Term, e.SubTerm) }

// State is where a task under a lease stands.
type State string

// The states of a task under a lease.
const (
	StatePrepared     State = "prepared"     // resources held, task staged, not running; never renewed
	StateRunning      State = "running"      // task runs; renewed while its gang is whole
	StateCheckpointed State = "checkpointed" // task was checkpointed and stopped by command
	StateSucceeded    State = "succeeded"    // task ended by itself
	StateFailed       State = "failed"       // task ended with an error
	StateStopped      State = "stopped"      // task was stopped by command
	StateLapsed       State = "lapsed"       // lease ran out; the worker stopped the task
)

// Ended reports whether the task no longer holds resources.
func (s State) Ended() bool { return s != StatePrepared && s != StateRunning }

// ID names one task of one attempt of a job.
type ID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"` // counts from 1
	Task    int    `json:"task"`    // counts from 0
}

// String returns the id as JOB/ATTEMPT/TASK.
func (i ID) String() string { return fmt.Sprintf("%s/%d/%d", i.Job, i.Attempt, i.Task) }

// Lease is the right of one task to use resources of one worker for a time.
type Lease struct {
	ID             ID               `json:"id"`
	Epoch          Epoch            `json:"epoch"`     // epoch of the leader that prepared it
	GangSize       int              `json:"gang-size"` // number of tasks in the gang
	Organisation   string           `json:"organisation"`
	Service        string           `json:"service"`
	Resources      placer.Resources `json:"resources"`
	State          State            `json:"state"`
	Checkpointable bool             `json:"checkpointable"`
	Payload        string           `json:"payload"`    // opaque to lacewingdoor
	ExpiresMS      int64            `json:"expires-ms"` // milliseconds until it lapses, as the worker sees it
	RunMS          int64            `json:"run-ms"`     // milliseconds since the task started
	Reason         string           `json:"reason"`     // why the task ended, when it did
}

// TTL is how long a lease lasts unless it is renewed. It exceeds the time in
// which a new leader is found, so that a change of leader costs no running task.
const TTL = 15 * time.Second

// Inventory is what one worker says of itself.
type Inventory struct {
	Worker   string           `json:"worker"`
	Rack     string           `json:"rack"`
	Zone     string           `json:"zone"`
	Epoch    Epoch            `json:"epoch"` // highest epoch that the worker has seen
	Capacity placer.Resources `json:"capacity"`
	Leases   []Lease          `json:"leases"` // sorted by id; ended ones until acknowledged

	Mark      string `json:"mark,omitempty"`      // stands for all of it but times; see WithMark
	Unchanged bool   `json:"unchanged,omitempty"` // a brief answer: the asker has the leases
}
