package scheduler

import (
	"cmp"
	"time"
)

const (
	slowClockPercent = 98                      // percent: the platform lets a worker's clock be 2 % slow
	roundTrip        = 100 * time.Millisecond  // of a call to a worker, generously
	gangMargin       = 500 * time.Millisecond  // between the last moment for a start and the gang timeout
	gangDefault      = 3 * time.Second         // the platform's gang timeout on the milestone's sites
	stopDefault      = 200 * time.Millisecond  // the platform's stop time there
	holdWait         = 1000 * time.Millisecond // a look without news; runs that stand still are found after two
	holdPause        = 400 * time.Millisecond  // before the next hold of a worker that did not answer
	recoveryPause    = 100 * time.Millisecond  // the same while old jobs wait for its answer
	storePause       = 800 * time.Millisecond  // before a look at a worker whose ends wait to be stored
	ackFresh         = 100 * time.Millisecond  // since an answer was asked for; a worker needs longer to start anew and end a task
	stopPause        = 600 * time.Millisecond  // before a stop without an answer is sent again
	faultyRuns       = 2                       // failed runs of different jobs that shun a worker
	shunTime         = 4 * time.Second         // half of the shortest time that workers fail on bad days
	retention        = 150 * time.Second       // states are asked for at least 120 s after the end
	progressPause    = 300 * time.Millisecond  // between stores of progress that nobody waits for
	hurryPause       = 40 * time.Millisecond   // between stores of ends; all VMs read each of them
	runsPerEpoch     = 1_000_000               // run numbers of one leader; later leaders use higher ones
)

// Settings are the bounds of the platform that scheduling depends on.
type Settings struct {
	Lease       time.Duration // longest lease that workers grant
	GangTimeout time.Duration // after which a member of a gang that did not come together ends; 0 for 3 s
	StopTime    time.Duration // that a worker takes to stop a run; 0 for 200 ms
	Machines    bool          // the platform lists machines
}

// startWindow returns after which time a start that arrives is refused.
func (s Settings) startWindow() time.Duration {
	return max(cmp.Or(s.GangTimeout, gangDefault)-gangMargin, gangMargin)
}

// lapseSlack returns for how long a run may go on after its lease.
func (s Settings) lapseSlack() time.Duration { return cmp.Or(s.StopTime, stopDefault) + roundTrip }
