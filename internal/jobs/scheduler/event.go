package scheduler

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Event is an input of the scheduler on the leading VM.
type Event interface{ isEvent() }

// Ticked reports that time has passed.
type Ticked struct{}

// Submitted adds an accepted job, in the order of acceptance, with its stored progress.
type Submitted struct {
	Job       Job
	Offset    int64 // in its partition
	Inherited bool  // an earlier leader may have started it
	Progress  Progress
	Cancelled bool

	Occurrences map[int]Progress // of a scheduled job
}

// JobsRead reports that all jobs have been read that an earlier leader may have started. Until
// then, runs and ends of unknown jobs are kept.
type JobsRead struct{}

// Cancelled reports that a caller has cancelled a job.
type Cancelled struct{ Job string }

// WorkerInfo is the entry of a worker in the platform's list.
type WorkerInfo struct {
	ID           string
	Address      string
	Service      string
	Zone         string
	Rack         string
	Labels       []string
	Capacity     placer.Resources
	Draining     bool
	MinRemaining time.Duration // minimum remaining time of a draining worker
	StartedMS    int64         // Unix time in milliseconds of its last start
	Expired      bool          // its entry has expired recently: it gets no new runs, but may have runs of an earlier leader

	ColdRemaining time.Duration // for which it is still slow after its start or after an evacuation, as its entry says
	ColdUntil     time.Time     // when that ends, given the time at which the entry was read; zero if it is not slow
}

// WorkersListed brings the platform's list of workers, sorted by ID.
type WorkersListed struct{ Workers []WorkerInfo }

// Config is the part of the configuration that the scheduler uses.
type Config struct {
	Queues     map[string]Queue
	Guaranteed map[string]int  // accelerators of an organisation for urgent jobs
	Pools      map[string]bool // services by name, true for one whose machines are switched off
}

// ConfigChanged puts a configuration into force.
type ConfigChanged struct{ Config Config }

// Outcome is the result of a call to a worker.
type Outcome string

// The outcomes of a call.
const (
	OutcomeDone      Outcome = "done"
	OutcomeFenced    Outcome = "fenced"    // the worker has accepted a newer leader
	OutcomeObsolete  Outcome = "obsolete"  // this run or a later one has been stopped or has ended there
	OutcomeLate      Outcome = "late"      // the call's deadline had passed
	OutcomeFull      Outcome = "full"      // too few free resources
	OutcomeUnhealthy Outcome = "unhealthy" // the worker rejects all work at present
	OutcomeInvalid   Outcome = "invalid"   // the worker can't parse the call
	OutcomeTicket    Outcome = "ticket"    // the ticket is missing or has expired
	OutcomeReplaced  Outcome = "replaced"  // another instance of the worker answered
	OutcomeUnknown   Outcome = "unknown"   // no answer: the call may have been executed, or may still be
	OutcomeUnsent    Outcome = "unsent"    // no connection: the call has not been executed
	OutcomeDropped   Outcome = "dropped"   // the call was not made, as it was late
)

// Running is a current run in the report of a worker.
type Running struct {
	Task       TaskID
	Run        int64
	Checkpoint string // newest checkpoint
	Percent    int    // work completed
	Measure    int    // over the last half second: tail latency in milliseconds for a serving task, else CPU use in millicores
}

// EndReason is the reason why a run ended.
type EndReason string

// The reasons why a run ends.
const (
	EndReasonDone         EndReason = "done"
	EndReasonFailed       EndReason = "failed"
	EndReasonStopped      EndReason = "stopped"
	EndReasonLeaseExpired EndReason = "lapsed"
	EndReasonGangBroken   EndReason = "broken" // another member of the gang ended
	EndReasonGangTimeout  EndReason = "alone"  // the gang was not complete in time
)

// End is an ended run in the report of a worker.
type End struct {
	Number     int64 // counts from 1 after each restart of the worker
	Task       TaskID
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// HoldResult is the result of a Hold effect.
type HoldResult struct {
	Worker    string
	Sent      time.Time
	Outcome   Outcome
	ClockMS   int64 // the worker's monotonic clock
	StartedMS int64 // Unix time in milliseconds of the last start of the worker
	Ack       int64 // that was sent
	Running   []Running
	Ends      []End

	Incomplete bool // the worker may have further ends
}

// StartResult is the result of a Start effect.
type StartResult struct {
	Start   Start
	Outcome Outcome
	ClockMS int64

	Unanswered bool // an earlier try got no answer: it may still be carried out
}

// StopResult is the result of a Stop effect.
type StopResult struct {
	Stop    Stop
	Outcome Outcome
}

// Stored reports that a Store effect is complete. A failed one is retried until it
// succeeds or another VM leads.
type Stored struct{}

func (Ticked) isEvent()        {}
func (Submitted) isEvent()     {}
func (Cancelled) isEvent()     {}
func (JobsRead) isEvent()      {}
func (WorkersListed) isEvent() {}
func (ConfigChanged) isEvent() {}
func (HoldResult) isEvent()    {}
func (StartResult) isEvent()   {}
func (StopResult) isEvent()    {}
func (Stored) isEvent()        {}

// Effect is an action that the scheduler requests. Its result comes back as an
// event.
type Effect interface{ isEffect() }

// Hold extends the leases on a worker, acknowledges ends and asks for its runs and
// ends.
type Hold struct {
	Worker     string
	Address    string
	Epoch      int64
	DeadlineMS int64 // on the worker's clock, 0 for none
	Ack        int64 // ends up to this number are stored
	Wait       time.Duration
	DecidedAt  time.Time
	Unheard    bool // the worker has not answered yet, or not the last call

	MaxAckDelay time.Duration // after DecidedAt, in which Ack may be sent
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
	DecidedAt  time.Time
	MaxDelay   time.Duration // after DecidedAt, in which the start may reach its worker; 0 for no limit
	Zone       string        // of the worker
}

// Stop stops a run, or prevents its start.
type Stop struct {
	Worker  string
	Address string
	Epoch   int64
	Task    TaskID
	Run     int64
}

// Store stores the progress of jobs; at most one is in flight.
type Store struct{ Progress map[string]Progress }

// DeleteJobs deletes the stored records of jobs that ended long ago. Each job precedes its
// occurrences.
type DeleteJobs struct{ Jobs []string }

// Decision is a decision to be logged.
type Decision struct {
	Message string
	Counter string // metric that counts such decisions, empty for none
	Amount  int64  // by which the metric grows, 0 for 1
	Job     string
	Worker  string
	Task    TaskID // valid where Run is not 0
	Run     int64  // 0 for a decision about no run
	Details Details
}

// Details are the inputs of a decision.
type Details map[string]any

// Keys of details that several decisions share.
const (
	detailAfterMS     = "after-ms"
	detailCoreSeconds = "core-seconds"
	detailMachine     = "machine"
	detailOutcome     = "outcome"
	detailRuns        = "runs"
	detailStep        = "job-step" // "step" is the step of the program that logs
	detailWave        = "wave"
	detailZone        = "zone"
)

func (Hold) isEffect()       {}
func (Start) isEffect()      {}
func (Stop) isEffect()       {}
func (Store) isEffect()      {}
func (DeleteJobs) isEffect() {}
func (Decision) isEffect()   {}
