package scheduler

import "time"

const (
	slowClockPercent = 98                      // percent: the platform lets a worker's clock be 2 % slow
	lapseSlack       = 300 * time.Millisecond  // the platform's stop time of 200 ms and a round trip
	startWindow      = 2500 * time.Millisecond // a start that arrives later is refused; under the gang timeout of 3 s
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
	Lease time.Duration // longest lease that workers grant
}
