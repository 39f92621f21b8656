package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Event is something that happened, seen by one entry VM.
type Event interface{ isEvent() }

// Ticked says that time has passed. It comes about four times a second.
type Ticked struct{}

// RecordRead brings the next record of the control stream, in log order.
type RecordRead struct {
	Offset   int64
	Appended time.Time // by the clock of the log
	Record   Record
}

// CaughtUp says that the control stream was read to its end, and when.
type CaughtUp struct {
	Next int64 // offset that the next record will have
}

// LogChanged says whether the log service answers.
type LogChanged struct{ Up bool }

// AppendEnded is the result of an AppendRecord effect. A failed one may have
// taken effect all the same: the record is then read like any other.
type AppendEnded struct {
	Record Record
	Err    string // empty when the log confirmed the append
}

// ConfigChanged brings a configuration into force. An older revision than the
// one in force is ignored.
type ConfigChanged struct{ Config decoder.Config }

// PeersChanged names the entry VMs that are thought to be live, this one
// included, sorted.
type PeersChanged struct {
	Live    []string
	Missing time.Time // when the last listed one was heard that fell silent unannounced, zero for none
}

// WorkerListed is one worker as the platform lists it.
type WorkerListed struct {
	ID      string
	Rack    string
	Zone    string
	Leaving bool
}

// WorkersListed brings the platform's list of workers, sorted by id. It lags.
type WorkersListed struct{ Workers []WorkerListed }

// InventoryRead is the result of a Fence effect that reached its worker.
type InventoryRead struct {
	Epoch     leaser.Epoch // epoch that was sent
	Asked     time.Time    // of the Fence; the inventory shows all that ended before
	Inventory leaser.Inventory
}

// WorkerReported brings what a renewing VM last read from a worker.
type WorkerReported struct {
	Inventory leaser.Inventory
	Age       time.Duration // time since the worker answered
}

// CommandResult is how a command to a worker went.
type CommandResult string

// The results of a command.
const (
	CommandDone        CommandResult = "done"
	CommandFenced      CommandResult = "fenced"      // the worker has seen a higher epoch
	CommandRefused     CommandResult = "refused"     // the worker won't: no room, or no such lease
	CommandUnreachable CommandResult = "unreachable" // no answer; it may have taken effect
)

// CommandEnded is the result of a Command effect.
type CommandEnded struct {
	Command Command
	Result  CommandResult
	Seen    leaser.Epoch // highest epoch that the worker has seen, when it answered
	Reason  string
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
