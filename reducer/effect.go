package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Effect is an action requested by the reducer. The runner carries it out and returns
// the result as an event.
type Effect interface{ isEffect() }

// AppendRecord appends a record to the control stream. Its result is AppendEnded.
type AppendRecord struct{ Record Record }

// Fence raises the epoch on a worker and reads its inventory. Its result is
// InventoryRead, or CommandEnded with CommandFence on failure.
type Fence struct {
	Worker string
	Epoch  leaser.Epoch
	SentAt time.Time // returned in InventoryRead
}

// CommandKind is the kind of a command to a worker.
type CommandKind string

// The commands to a worker. All are idempotent.
const (
	CommandFence      CommandKind = "fence"
	CommandPrepare    CommandKind = "prepare"    // reserve the resources and stage the task
	CommandStart      CommandKind = "start"      // run the staged task
	CommandCheckpoint CommandKind = "checkpoint" // checkpoint the task, then stop it
	CommandThrottle   CommandKind = "throttle"   // limit the task to the resources of its lease
	CommandStop       CommandKind = "stop"       // stop the task and free its resources
)

// Command sends a command to a worker. Its result is CommandEnded.
type Command struct {
	Kind   CommandKind
	Worker string
	Epoch  leaser.Epoch
	Lease  leaser.Lease // complete for CommandPrepare; otherwise only its ID is used
}

func (AppendRecord) isEffect() {}
func (Fence) isEffect()        {}
func (Command) isEffect()      {}
