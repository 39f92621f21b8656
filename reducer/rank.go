package reducer

import (
	"fmt"
	"time"
)

// Due times of jobs without a deadline, and their limit.
const (
	// A job without a deadline is due this long after it was accepted, and a late job
	// this long after its latest start. At 120 percent of the capacity, 30 min made
	// jobs without a deadline cost others their deadlines, and 4 h made them wait for
	// hours.
	defaultDueAfter = 2 * time.Hour
	// Due times are limited to a whole night after acceptance, so that no job is
	// overtaken by one that is accepted later than this after it.
	maxDueAfter = 12 * time.Hour
)

// rank is the position of a job among those of its organisation and class: the
// earliest due time comes first. It is fixed while the job waits, unless the job
// becomes late. No job is due before it was accepted, so a job is overtaken only by
// jobs that are accepted before its own due time.
type rank struct {
	due         time.Time
	latestStart time.Time // latest start that meets the deadline at the median run time, zero without a deadline
	late        bool      // latestStart had passed when the job was ranked
}

// missedStart reports whether the latest start has passed since the job was ranked.
func (r rank) missedStart(now time.Time) bool {
	return !r.latestStart.IsZero() && !r.late && now.After(r.latestStart)
}

// rankOf ranks a job by the current estimate of its run time.
func (s State) rankOf(now time.Time, j *job) rank {
	if j.Deadline.IsZero() {
		return rank{due: j.accepted.Add(defaultDueAfter)}
	}
	r := rank{latestStart: j.Deadline.Add(-s.estimates.Quantile(j.estimateKey(), deadlineQuantile, j.DeclaredRun))}
	r.due = r.latestStart
	if now.After(r.latestStart) {
		r.late = true
		if r.due.Before(j.accepted) {
			r.due = j.accepted
		}
		r.due = r.due.Add(defaultDueAfter)
	}
	if furthest := j.accepted.Add(maxDueAfter); r.due.After(furthest) {
		r.due = furthest
	}
	return r
}

// requeue ranks a job again after its latest start has passed, and requests another
// placement pass.
func (t *transition) requeue(j *job) {
	t.dequeue(j)
	t.enqueue(j)
	t.placementNeeded = true
}

// explainDeadline describes the effect of a waiting job's deadline. It returns ""
// without a deadline.
func (j *job) explainDeadline() string {
	if j.Deadline.IsZero() || j.rank.due.IsZero() {
		return ""
	}
	deadline := j.Deadline.UTC().Format(time.DateTime)
	if j.rank.late {
		return fmt.Sprintf("; it can hardly meet its deadline %s and goes behind jobs that are due by %s",
			deadline, j.rank.due.UTC().Format(time.DateTime))
	}
	return fmt.Sprintf("; to meet its deadline %s it has to start by %s", deadline, j.rank.latestStart.UTC().Format(time.DateTime))
}
