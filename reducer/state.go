// Package reducer decides which jobs run, where and when, and who leads.
//
// Each entry VM feeds every event to Reduce in one goroutine, and carries out
// the effects that come back. Only the leader's effects place jobs.
package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// State is the control state of one entry VM. It is immutable.
type State struct {
	self string
}

// New returns the state of an entry VM that knows nothing yet.
func New(self string) State { return State{self: self} }

// Leading reports whether this VM may decide placements now.
func (s State) Leading() bool { return false }

// Leader returns the VM that last took leadership, "" when none is known.
func (s State) Leader() string { return "" }

// Epoch returns the highest epoch that is known to be in force.
func (s State) Epoch() leaser.Epoch { return leaser.Epoch{} }

// Phase is where a job stands.
type Phase string

// The phases of a job.
const (
	PhaseWaiting  Phase = "waiting"
	PhaseStarting Phase = "starting" // prepared in part
	PhaseRunning  Phase = "running"
	PhaseStopping Phase = "stopping" // being reclaimed, cancelled or torn down
	PhaseEnded    Phase = "ended"
)

// JobStatus is what is known of a job.
type JobStatus struct {
	Job      Job
	Phase    Phase
	Attempt  int
	Accepted time.Time
	Started  time.Time // of the running attempt, zero when it does not run
	Ended    time.Time // zero until it ends
	Outcome  Outcome   // once ended
	Reason   string    // why it waits or how it ended
	Workers  []string  // by task number, empty while it waits
}

// Jobs returns the status of every known job, sorted by id.
func (s State) Jobs() []JobStatus { return nil }

// Job returns the status of one job.
func (s State) Job(id string) (JobStatus, bool) { return JobStatus{}, false }

// Why explains why a job waits: which resource, which rack, whose guarantee,
// which reservation, until when.
func (s State) Why(now time.Time, id string) string { return "" }

// Workers returns the last known inventory of every worker, sorted by id.
func (s State) Workers() []leaser.Inventory { return nil }
