package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Settings are what an operator may choose of the control state.
type Settings struct {
	// Retention is how long the log keeps a record; zero means for ever.
	Retention time.Duration
}

// The times that the leader works with.
const (
	commandRetry  = 500 * time.Millisecond // from an unreachable worker to the next try
	commandLost   = time.Second            // a command without a result is sent again: five tries within prepareLimit and startLimit
	onceLost      = 4 * time.Second        // the same for a prepare of a non-idempotent job: the runner has given up by then, so no other copy is under way
	fenceRetry    = time.Second            // from a failed fence to the next
	prepareLimit  = 5 * time.Second        // for all tasks of a gang to be staged
	startLimit    = 5 * time.Second        // for all to start; with prepareLimit it stays below leaser.TTL
	recordLimit   = 4 * time.Second        // for a start record to be read back
	inventoryLag  = 3 * time.Second        // by which the inventory of a worker may lag
	silenceProbe  = 4 * time.Second        // without a report, after which the leader asks the worker itself
	silenceUsable = 8 * time.Second        // without a report, after which a worker gets no new tasks
	// A lease that a worker holds but does not report has run out after this time:
	// renewal may go on for leaser.MaxCountAge twice before it notices the loss.
	silenceLost  = leaser.TTL + 10*time.Second
	splitWithin  = 5 * time.Second  // between the silence of a worker and of an entry VM that are cut off together
	splitBefore  = 30 * time.Second // from the silence of entry VMs to a claim because of it, ranks and lost appends included
	claimPause   = 3 * time.Second  // by which a VM waits longer to claim than the one before it
	disputeTime  = 4 * time.Second  // in which a VM that is reached again is heard: three heartbeats and a second
	claimRetry   = 5 * time.Second  // from a claim without a result to the next
	appendRetry  = time.Second      // from a failed append to the next, doubling
	appendPause  = 30 * time.Second
	appendLost   = 10 * time.Second // an append without a result is sent again
	forgetWorker = 24 * time.Hour   // after which a worker that is gone no longer counts as capacity
)

// The limits on failures.
const (
	quarantineJobs  = 3                // different jobs that fail on a worker before it is quarantined
	quarantineTime  = 5 * time.Minute  // before a quarantined worker is probed by a job, doubling
	quarantineLimit = 2 * time.Hour    // longest quarantine
	shunTime        = 20 * time.Second // without new tasks for a worker that did not answer
	brokenWorkers   = 3                // different sound workers on which a job fails before it is broken
	brokenFailures  = 6                // failures after which a job is broken, wherever they were
	failurePause    = 2 * time.Second  // from a failure to the next attempt, doubling
	failurePauseMax = 60 * time.Second // longest of them
	refusalPause    = time.Second      // from a refused prepare to the next attempt
)

// The limits of one placement pass.
const (
	urgentPause      = 100 * time.Millisecond // between passes for urgent jobs, less than a tick
	reserveEvery     = 10 * time.Second       // from making a reservation to making it anew; that looks at every gang
	callPause        = 2 * time.Second        // from a call for a guarantee that found too few borrowers to the next
	passDepth        = 64                     // waiting jobs that a pass looks at per organisation
	passScan         = 2000                   // waiting jobs that it passes over per organisation
	ageingTime       = 30 * time.Minute       // waiting that weighs as much as the whole capacity in use
	reserveAfter     = 5 * time.Second        // a gang that waits longer gets the reservation
	deadlineQuantile = 0.5                    // of learned run times that a deadline counts on; a higher one gives up jobs that would be in time
	runQuantile      = 0.95                   // of learned run times that backfill and reservations count on
	reclaimOverrun   = 3 * time.Second        // from the end of grace to choosing other victims
)
