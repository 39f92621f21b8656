package reducer

import (
	"fmt"
	"slices"
	"time"
)

// job is what is known of a job. It is never changed in place.
type job struct {
	Job

	accepted  time.Time
	offset    int64     // of its JobAccepted
	recorded  time.Time // when the log last took its JobAccepted
	cancelled int64     // offset of its JobCancelled, 0 when there is none
	start     started   // last valid StartRecorded
	end       *ended

	// What only a leader knows.
	attempt   int
	failedOn  []string // workers on which it failed, each once
	failures  int
	notBefore time.Time
	callAfter time.Time // when it may call its guarantee back again
	closing   bool      // its JobEnded is being appended
	rank      rank      // in its queue
}

// started is a start record.
type started struct {
	offset int64 // 0 when there is none
	record StartRecorded
	at     time.Time
}

// ended is the end of a job.
type ended struct {
	offset int64
	record JobEnded
	at     time.Time
}

// over reports whether the job needs no more decisions.
func (j *job) over() bool { return j.end != nil || j.closing }

// queueKey orders the waiting jobs of an organisation: urgent ones first, then by
// when they are due.
func (j *job) queueKey() string {
	class := "1"
	if j.Class == ClassUrgent {
		class = "0"
	}
	return fmt.Sprintf("%s %019d %s", class, j.rank.due.UnixNano(), j.ID)
}

// withFailure returns the job after it failed on a worker.
func (j *job) withFailure(now time.Time, worker string) *job {
	n := *j
	n.failures++
	if !slices.Contains(n.failedOn, worker) {
		n.failedOn = append(slices.Clone(n.failedOn), worker)
	}
	pause := failurePauseMax
	if n.failures < brokenFailures {
		pause = min(pause, failurePause<<(n.failures-1))
	}
	n.notBefore = now.Add(pause)
	return &n
}
