package scheduler

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Event is something that happened, seen by the leading VM.
type Event interface{ isEvent() }

// Ticked says that time has passed.
type Ticked struct{}

// Submitted brings an accepted job, in log order, with the progress that is
// stored of it.
type Submitted struct {
	Job       Job
	Offset    int64
	Progress  Progress
	Cancelled bool

	Occurrences map[int]Progress // of a scheduled job
}

// Cancelled says that a caller has cancelled a job.
type Cancelled struct{ Job string }

// Listed is one worker as the platform lists it.
type Listed struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity placer.Resources
	Draining bool
	Left     time.Duration // that a draining worker stays at least
	Born     int64         // Unix time in milliseconds at which this life of it began
	Lapsed   bool          // it was on the list a moment ago: nothing is started there, but it may run what an earlier leader started
}

// WorkersListed brings the platform's list of workers, sorted by id.
type WorkersListed struct{ Workers []Listed }

// Terms is the part of the configuration that scheduling depends on.
type Terms struct {
	Queues     map[string]Queue
	Guaranteed map[string]int  // accelerators of an organisation for urgent jobs
	Pools      map[string]bool // services by name, true for one whose machines are switched off
}

// ConfigChanged brings a configuration into force.
type ConfigChanged struct{ Terms Terms }

// Outcome is how a call to a worker went.
type Outcome string

// The outcomes of a call.
const (
	OutcomeDone      Outcome = "done"
	OutcomeFenced    Outcome = "fenced"    // the worker obeys a newer leader
	OutcomeObsolete  Outcome = "obsolete"  // the run, or a later one, was stopped or ended there
	OutcomeLate      Outcome = "late"      // the call's deadline had passed
	OutcomeFull      Outcome = "full"      // no room
	OutcomeUnhealthy Outcome = "unhealthy" // the worker does nothing at present
	OutcomeInvalid   Outcome = "invalid"   // the worker can't read the call
	OutcomeTicket    Outcome = "ticket"    // the ticket is missing or has run out
	OutcomeReplaced  Outcome = "replaced"  // another life of the worker answered
	OutcomeUnknown   Outcome = "unknown"   // no answer: it may have been carried out, or still be
	OutcomeUnsent    Outcome = "unsent"    // no connection: it has not been carried out
)

// Running is a run that a worker lists as running.
type Running struct {
	Task    TaskID
	Run     int64
	Saved   string // newest checkpoint
	Percent int    // of its work
	Measure int    // over the last half second: the tail of its answers in milliseconds for a task that serves, else the thousandths of a core in use
}

// How is how a run has ended.
type How string

// The ends of a run.
const (
	HowDone    How = "done"
	HowFailed  How = "failed"
	HowStopped How = "stopped"
	HowLapsed  How = "lapsed" // its lease ran out
	HowBroken  How = "broken" // another member of the gang ended
	HowAlone   How = "alone"  // the gang did not come together in time
)

// End is a run that a worker lists as ended.
type End struct {
	Number int64 // rises from 1 in each life of the worker
	Task   TaskID
	Run    int64
	How    How
	Saved  string
}

// Held is the result of a Hold effect.
type Held struct {
	Worker  string
	Sent    time.Time
	Outcome Outcome
	ClockMS int64 // the worker's steady clock
	Born    int64
	Ack     int64 // that was sent
	Running []Running
	Ends    []End
}

// Started is the result of a Start effect.
type Started struct {
	Start   Start
	Outcome Outcome
	ClockMS int64
}

// Stopped is the result of a Stop effect.
type Stopped struct {
	Stop    Stop
	Outcome Outcome
}

// Stored says that a Store effect is done; one that fails is tried until it is,
// or until another VM leads.
type Stored struct{}

func (Ticked) isEvent()        {}
func (Submitted) isEvent()     {}
func (Cancelled) isEvent()     {}
func (WorkersListed) isEvent() {}
func (ConfigChanged) isEvent() {}
func (Held) isEvent()          {}
func (Started) isEvent()       {}
func (Stopped) isEvent()       {}
func (Stored) isEvent()        {}

// Effect is something that the scheduler wants done. Its result comes back as
// an event.
type Effect interface{ isEffect() }

// Hold extends the leases on a worker, acknowledges ends and asks for both lists.
type Hold struct {
	Worker     string
	Address    string
	Epoch      int64
	DeadlineMS int64 // on the worker's clock, 0 for none
	Ack        int64 // ends up to this number are stored
	Wait       time.Duration
	Decided    time.Time
}

// At returns the hold as it is to be sent now. An acknowledgement that was decided
// too long ago is left out, as this VM may have been paused: the worker may have begun
// a new life, in which the number stands for another end.
func (h Hold) At(now time.Time) Hold {
	if elapsed(now, h.Decided) > ackFresh {
		h.Ack = 0
	}
	return h
}

// Start starts a run.
type Start struct {
	Worker     string
	Address    string
	Epoch      int64
	Task       TaskID
	Run        int64
	Spec       string
	DeadlineMS int64 // on the worker's clock
	Checkpoint string
	Ticket     string // of a queue with advice
}

// Stop stops a run, or keeps it from starting.
type Stop struct {
	Worker  string
	Address string
	Epoch   int64
	Task    TaskID
	Run     int64
}

// Store stores the progress of jobs; one is in flight at a time.
type Store struct{ Progress map[string]Progress }

// Forget drops what is stored of jobs that ended long ago.
type Forget struct{ Jobs []string }

// Noted is a decision for the log.
type Noted struct {
	Message string
	Job     string
	Worker  string
	Task    TaskID // counts where Run does
	Run     int64  // 0 where it is about no run
	Details Details
}

// Details are the inputs of a decision, for the log.
type Details map[string]any

// The details that several decisions have.
const (
	detailMachine = "machine"
	detailOutcome = "outcome"
	detailRuns    = "runs"
	detailWave    = "wave"
)

func (Hold) isEffect()   {}
func (Start) isEffect()  {}
func (Stop) isEffect()   {}
func (Store) isEffect()  {}
func (Forget) isEffect() {}
func (Noted) isEffect()  {}
