package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Settings are the operator's settings for the control state.
type Settings struct {
	// Retention is how long the log keeps a record; zero means indefinitely.
	Retention time.Duration
}

// Timeouts and intervals of the leader.
const (
	commandRetryDelay        = 500 * time.Millisecond // before a command to an unreachable worker is sent again
	commandTimeout           = time.Second            // a command without a result is sent again: five attempts within prepareTimeout and startTimeout
	atMostOncePrepareTimeout = 4 * time.Second        // commandTimeout for the prepare of a non-idempotent job: the runner has given up by then, so no other copy is in flight
	fenceRetryDelay          = time.Second            // before a failed fence is sent again
	prepareTimeout           = 5 * time.Second        // for staging all tasks of a gang
	startTimeout             = 5 * time.Second        // for starting all tasks of a gang; the sum with prepareTimeout stays below leaser.TTL
	startRecordTimeout       = 4 * time.Second        // for reading a start record back from the log
	maxInventoryLag          = 3 * time.Second        // age that a worker's inventory may have
	probeAfterSilence        = 4 * time.Second        // without a report, the leader queries the worker itself
	unusableAfterSilence     = 8 * time.Second        // without a report, the worker gets no new tasks
	// A held lease that the worker does not report has expired after this time:
	// renewal may continue for twice leaser.MaxCountAge before the loss is noticed.
	leaseLostAfterSilence = leaser.TTL + 10*time.Second
	partitionWindow       = 5 * time.Second  // between the silence of a worker and of an entry VM that are cut off together
	partitionLookback     = 30 * time.Second // from the silence of entry VMs to the resulting claim, including the claim stagger and lost appends
	claimStagger          = 3 * time.Second  // extra wait before a claim for each VM ahead in the list of live VMs
	peerDetectionTime     = 4 * time.Second  // for hearing a VM that is reachable again: three heartbeats and a second
	claimRetryDelay       = 5 * time.Second  // before a claim without a result is repeated
	appendRetryDelay      = time.Second      // after a failed append; doubles with each failure
	maxAppendRetryDelay   = 30 * time.Second
	appendTimeout         = 10 * time.Second // an append without a result is sent again
	forgetWorkerAfter     = 24 * time.Hour   // an unlisted worker no longer counts as capacity
)

// Limits on failures.
const (
	quarantineAfterJobs = 3               // different jobs that fail on a worker before it is quarantined
	initialQuarantine   = 5 * time.Minute // before a quarantined worker is tried with a job again; doubles each time
	maxQuarantine       = 2 * time.Hour
	unresponsivePause   = 20 * time.Second // without new tasks for a worker that did not answer
	maxFailedWorkers    = 3                // different healthy workers on which a job fails before the job ends as failed
	maxJobFailures      = 6                // failures on any worker before the job ends as failed
	failureBackoff      = 2 * time.Second  // from a failure to the next attempt; doubles with each failure
	maxFailureBackoff   = 60 * time.Second
	refusalBackoff      = time.Second // from a refused prepare to the next attempt
)

// Limits of a placement pass.
const (
	urgentPassInterval  = 100 * time.Millisecond // between passes for urgent jobs; shorter than a tick
	reservationInterval = 10 * time.Second       // before a reservation is computed again, which visits every gang
	reclaimRetryDelay   = 2 * time.Second        // after a reclaim that found too few borrowers
	maxTriedPerPass     = 64                     // waiting jobs that a pass tries per organisation
	maxScannedPerPass   = 2000                   // waiting jobs that a pass visits per organisation, including skipped ones
	ageingTime          = 30 * time.Minute       // waiting time that weighs as much as using the whole capacity
	reserveAfter        = 5 * time.Second        // waiting time after which a gang gets the reservation
	deadlineQuantile    = 0.5                    // of learned run times, for deadlines; a higher quantile gives up jobs that would finish in time
	runQuantile         = 0.95                   // of learned run times, for backfill and reservations
	reclaimOverrun      = 3 * time.Second        // from the end of the grace time to choosing other victims
)
