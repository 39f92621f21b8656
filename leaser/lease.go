// Package leaser implements worker leases: which leader may command a worker,
// which leases a worker grants, and which leases are renewed.
//
// It performs no I/O and reads no clock.
package leaser

import (
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Epoch is the fencing token of a leader: the offset of its claim in the
// control stream, and a sub-term for provisional leaders within that term.
type Epoch struct {
	Term    int64 `json:"term"`     // offset of the claim in the log; 0 if no claim was made
	SubTerm int64 `json:"sub-term"` // number of provisional leaders since the claim
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

// State is the state of a task under a lease.
type State string

// The states of a task under a lease.
const (
	StatePrepared     State = "prepared"     // resources allocated and task staged, not running; never renewed
	StateRunning      State = "running"      // task is running; renewed while its gang is complete
	StateCheckpointed State = "checkpointed" // task was checkpointed and stopped by command
	StateSucceeded    State = "succeeded"    // task completed on its own
	StateFailed       State = "failed"       // task exited with an error
	StateStopped      State = "stopped"      // task was stopped by command
	StateExpired      State = "lapsed"       // lease expired; the worker stopped the task
)

// Ended reports whether the task no longer holds resources.
func (s State) Ended() bool { return s != StatePrepared && s != StateRunning }

// ID identifies a task of one attempt of a job.
type ID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"` // starts at 1
	Task    int    `json:"task"`    // starts at 0
}

// String returns the id as JOB/ATTEMPT/TASK.
func (i ID) String() string { return fmt.Sprintf("%s/%d/%d", i.Job, i.Attempt, i.Task) }

// Lease grants a task resources of a worker for a limited time.
type Lease struct {
	ID             ID               `json:"id"`
	Epoch          Epoch            `json:"epoch"`     // epoch of the leader that prepared the lease
	GangSize       int              `json:"gang-size"` // number of tasks in the gang
	Organisation   string           `json:"organisation"`
	Service        string           `json:"service"`
	Resources      placer.Resources `json:"resources"`
	State          State            `json:"state"`
	Checkpointable bool             `json:"checkpointable"`
	Payload        string           `json:"payload"`    // opaque to lacewingdoor
	ExpiresMS      int64            `json:"expires-ms"` // milliseconds until expiry, by the clock of the worker
	RunMS          int64            `json:"run-ms"`     // milliseconds since the task started
	Reason         string           `json:"reason"`     // why the task ended; empty until then
}

// TTL is the lifetime of a lease after it is granted or renewed. It exceeds the
// time to elect a new leader, so that a change of leader stops no running task.
const TTL = 15 * time.Second

// Inventory is the state that a worker reports.
type Inventory struct {
	Worker   string           `json:"worker"`
	Rack     string           `json:"rack"`
	Zone     string           `json:"zone"`
	Epoch    Epoch            `json:"epoch"` // highest epoch seen by the worker
	Capacity placer.Resources `json:"capacity"`
	Leases   []Lease          `json:"leases"` // sorted by id; ended leases are listed until acknowledged

	Mark      string `json:"mark,omitempty"`      // hash of epoch, capacity and lease states; see WithMark
	Unchanged bool   `json:"unchanged,omitempty"` // leases omitted because the requester already has them
}
