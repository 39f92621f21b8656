package reducer

import (
	"fmt"
	"slices"
	"time"
)

// job is the state of a job. It is immutable; changes are made on copies.
type job struct {
	Job

	accepted     time.Time
	acceptOffset int64     // of its JobAccepted
	lastAppended time.Time // when its JobAccepted was last appended to the log
	cancelOffset int64     // of its JobCancelled, 0 if there is none
	start        jobStart  // last valid StartRecorded
	end          *jobEnd

	// Leader state.
	attempt      int
	failedOn     []string // distinct workers on which it failed
	failures     int
	notBefore    time.Time // earliest time of the next attempt
	reclaimAfter time.Time // earliest time of the next reclaim for it
	endPending   bool      // its JobEnded is being appended
	rank         rank      // position in its queue
}

// jobStart is a start record and where it was read.
type jobStart struct {
	offset int64 // 0 if there is none
	record StartRecorded
	at     time.Time
}

// jobEnd is an end record and where it was read.
type jobEnd struct {
	offset int64
	record JobEnded
	at     time.Time
}

// finished reports whether the job needs no further decisions.
func (j *job) finished() bool { return j.end != nil || j.endPending }

// queueKey orders the waiting jobs of an organisation: urgent jobs first, then by due
// time.
func (j *job) queueKey() string {
	class := "1"
	if j.Class == ClassUrgent {
		class = "0"
	}
	return fmt.Sprintf("%s %019d %s", class, j.rank.due.UnixNano(), j.ID)
}

// withFailure returns a copy of the job after a failure on a worker, with the next
// attempt delayed.
func (j *job) withFailure(now time.Time, worker string) *job {
	n := *j
	n.failures++
	if !slices.Contains(n.failedOn, worker) {
		n.failedOn = append(slices.Clone(n.failedOn), worker)
	}
	backoff := maxFailureBackoff
	if n.failures < maxJobFailures {
		backoff = min(backoff, failureBackoff<<(n.failures-1))
	}
	n.notBefore = now.Add(backoff)
	return &n
}
