package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Event is an input of the state machine on one entry VM.
type Event interface{ isEvent() }

// Ticked reports that time has passed. It arrives about four times a second.
type Ticked struct{}

// RecordRead delivers the next record of the control stream, in log order.
type RecordRead struct {
	Offset   int64
	Appended time.Time // by the clock of the log
	Record   Record
}

// CaughtUp reports that the control stream was read to its end.
type CaughtUp struct {
	Next int64 // offset of the next record
}

// LogChanged reports whether the log service answers.
type LogChanged struct{ Up bool }

// AppendEnded is the result of an AppendRecord effect. A failed append may still have
// been written; the record is then read like any other.
type AppendEnded struct {
	Record Record
	Err    string // empty if the log confirmed the append
}

// ConfigChanged puts a configuration into force. A revision older than the one in
// force is ignored.
type ConfigChanged struct{ Config decoder.Config }

// PeersChanged lists the entry VMs that are considered live, including this one,
// sorted.
type PeersChanged struct {
	Live         []string
	MissingSince time.Time // when the listed VM that last went silent without notice was last heard, zero for none
}

// WorkerListed is a worker as listed by the platform.
type WorkerListed struct {
	ID      string
	Rack    string
	Zone    string
	Leaving bool
}

// WorkersListed delivers the platform's list of workers, sorted by id. The list may
// be out of date.
type WorkersListed struct{ Workers []WorkerListed }

// InventoryRead is the result of a Fence effect that reached its worker.
type InventoryRead struct {
	Epoch     leaser.Epoch // epoch that was sent
	SentAt    time.Time    // when the Fence was sent; the inventory includes everything that ended before
	Inventory leaser.Inventory
}

// WorkerReported delivers the inventory that a VM read from a worker when it renewed
// the worker's leases.
type WorkerReported struct {
	Inventory leaser.Inventory
	Age       time.Duration // time since the worker answered
}

// CommandResult is the result of a command to a worker.
type CommandResult string

// The results of a command.
const (
	CommandDone        CommandResult = "done"
	CommandFenced      CommandResult = "fenced"      // the worker has seen a higher epoch
	CommandRefused     CommandResult = "refused"     // the worker rejected it: no room, or no such lease
	CommandUnreachable CommandResult = "unreachable" // no answer; the command may have taken effect
)

// CommandEnded is the result of a Command effect.
type CommandEnded struct {
	Command      Command
	Result       CommandResult
	HighestEpoch leaser.Epoch // highest epoch that the worker has seen, if it answered
	Reason       string
}

func (Ticked) isEvent()         {}
func (RecordRead) isEvent()     {}
func (CaughtUp) isEvent()       {}
func (LogChanged) isEvent()     {}
func (AppendEnded) isEvent()    {}
func (ConfigChanged) isEvent()  {}
func (PeersChanged) isEvent()   {}
func (WorkersListed) isEvent()  {}
func (InventoryRead) isEvent()  {}
func (WorkerReported) isEvent() {}
func (CommandEnded) isEvent()   {}
