package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Effect is something that the reducer wants done. The runner does it and
// brings the result back as an event.
type Effect interface{ isEffect() }

// AppendRecord appends a record to the control stream; AppendEnded follows.
type AppendRecord struct{ Record Record }

// Fence raises the epoch on a worker and reads its inventory; InventoryRead
// follows, or CommandEnded with CommandFence.
type Fence struct {
	Worker string
	Epoch  leaser.Epoch
	Asked  time.Time // brought back by InventoryRead
}

// CommandKind is what a worker is told to do with a lease.
type CommandKind string

// The commands to a worker. Each is idempotent.
const (
	CommandFence      CommandKind = "fence"
	CommandPrepare    CommandKind = "prepare"    // hold the resources and stage the task
	CommandStart      CommandKind = "start"      // run the staged task
	CommandCheckpoint CommandKind = "checkpoint" // checkpoint the task, then stop it
	CommandThrottle   CommandKind = "throttle"   // hold the task to its lease's resources
	CommandStop       CommandKind = "stop"       // stop the task and free its resources
)

// Command sends a command to a worker; CommandEnded follows.
type Command struct {
	Kind   CommandKind
	Worker string
	Epoch  leaser.Epoch
	Lease  leaser.Lease // whole for CommandPrepare, else only its ID counts
}

func (AppendRecord) isEffect() {}
func (Fence) isEffect()        {}
func (Command) isEffect()      {}
