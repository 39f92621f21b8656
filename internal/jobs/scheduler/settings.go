package scheduler

import (
	"cmp"
	"time"
)

const (
	minClockRatePercent = 98                      // a worker's clock may run up to 2 % slow by the platform's terms
	maxRoundTrip        = 100 * time.Millisecond  // of a call to a worker
	gangStartMargin     = 500 * time.Millisecond  // between the start deadline and the gang timeout
	defaultGangTimeout  = 3 * time.Second         // the platform's default
	defaultStopTime     = 200 * time.Millisecond  // the platform's default
	holdWait            = 1000 * time.Millisecond // long-poll time of a hold; stalls are detected after two holds
	longHoldWait        = 1900 * time.Millisecond // the same with many busy workers, whose holds would take most of the leader's processor; the platform allows 2 s
	manyBusyWorkers     = 256                     // more take longHoldWait
	holdRetryDelay      = 400 * time.Millisecond  // before the next hold of a worker that did not answer
	recoveryRetryDelay  = 100 * time.Millisecond  // the same while recovery waits for its answer
	departedRetryDelay  = 2 * time.Second         // the same of one that is still listed although its instance has ended
	unstoredHoldDelay   = 800 * time.Millisecond  // before the next hold of a worker whose ends are not stored yet
	stopRetryDelay      = 600 * time.Millisecond  // before a stop without an answer is sent again
	maxStopRetryDelay   = 2400 * time.Millisecond // the same after several
	maxStopDoublings    = 2                       // of stopRetryDelay
	exclusionFailures   = 2                       // failed runs of different jobs after which a worker is excluded
	exclusionTime       = 4 * time.Second         // half of the shortest period for which workers fail on bad days
	endedTaskRetention  = 30 * time.Second        // after the end of a job its steps are forgotten: no lease of its runs lasts as long
	endedJobRetention   = 150 * time.Second       // callers query states for at least 120 s after the end
	oldJobsInterval     = time.Second             // between searches for such jobs
	storeInterval       = 300 * time.Millisecond  // between stores of progress that nobody waits for
	urgentStoreInterval = 40 * time.Millisecond   // between stores of ends; every VM reads each store
	runsPerEpoch        = 1_000_000               // run numbers of one epoch; later leaders use higher ones
)

// Settings are the limits of the platform that scheduling depends on.
type Settings struct {
	Lease       time.Duration // longest lease that workers grant
	GangTimeout time.Duration // after which the members of an incomplete gang end; 0 for 3 s
	StopTime    time.Duration // within which a worker stops a run; 0 for 200 ms
	Machines    bool          // the platform lists machines
	Evacuate    time.Duration // after which nothing may start in an evacuated zone; 0 for no limit
}

// EvacuateStartPercent is the share of Evacuate in which a start that was decided before the
// evacuation was known may still arrive; the rest is for reading the record. With 5 s it is
// 3.5 s, the start window of a gang time-out of 4 s.
const EvacuateStartPercent = 70

// startWindow returns the time within which a start must arrive to be accepted.
func (s Settings) startWindow() time.Duration {
	d := cmp.Or(s.GangTimeout, defaultGangTimeout) - gangStartMargin
	if s.Evacuate > 0 {
		d = min(d, s.Evacuate*EvacuateStartPercent/100)
	}
	return max(d, gangStartMargin)
}

// leaseEndSlack returns for how long a run may continue after its lease expires.
func (s Settings) leaseEndSlack() time.Duration {
	return cmp.Or(s.StopTime, defaultStopTime) + maxRoundTrip
}
