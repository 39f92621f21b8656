package reducer

import (
	"fmt"
	"time"
)

// How deadlines order the jobs of one organisation and class.
const (
	// A job without a deadline counts as due so long after it was accepted, and a late
	// one so long after it became late. At 120 percent of the capacity 30 min let work
	// without a deadline cost others theirs, and 4 h made it wait for hours.
	dueWithout = 2 * time.Hour
	// A due time that is further away than a whole night counts as this far, so that
	// no job is overtaken by one that is accepted later than this after it.
	dueFurthest = 12 * time.Hour
)

// rank is where a job stands among those of its organisation and class. The one
// that is due first comes first. It is fixed while the job waits, but for one that
// becomes late. No job is due before it was accepted, so a job is overtaken only by
// those that are accepted before it is due itself.
type rank struct {
	due    time.Time
	latest time.Time // start that keeps the deadline by the median run time, zero without a deadline
	late   bool      // latest had passed
}

// passed reports whether the latest start has passed since the job was ranked.
func (r rank) passed(now time.Time) bool { return !r.latest.IsZero() && !r.late && now.After(r.latest) }

// rankOf ranks a job by what is known now of the run times of its like.
func (s State) rankOf(now time.Time, j *job) rank {
	if j.Deadline.IsZero() {
		return rank{due: j.accepted.Add(dueWithout)}
	}
	r := rank{latest: j.Deadline.Add(-s.estimates.Quantile(j.estimateKey(), deadlineQuantile, j.DeclaredRun))}
	r.due = r.latest
	if now.After(r.latest) {
		r.late = true
		if r.due.Before(j.accepted) {
			r.due = j.accepted
		}
		r.due = r.due.Add(dueWithout)
	}
	if furthest := j.accepted.Add(dueFurthest); r.due.After(furthest) {
		r.due = furthest
	}
	return r
}

// rankAgain moves a job whose latest start has passed. It is looked at again in
// the next pass.
func (t *turn) rankAgain(j *job) {
	t.unqueue(j)
	t.enqueue(j)
	t.placeable = true
}

// whyRanked says what the deadline of a waiting job does, "" without one.
func (j *job) whyRanked() string {
	if j.Deadline.IsZero() || j.rank.due.IsZero() {
		return ""
	}
	deadline := j.Deadline.UTC().Format(time.DateTime)
	if j.rank.late {
		return fmt.Sprintf("; it can hardly meet its deadline %s and goes behind jobs that are due by %s",
			deadline, j.rank.due.UTC().Format(time.DateTime))
	}
	return fmt.Sprintf("; to meet its deadline %s it has to start by %s", deadline, j.rank.latest.UTC().Format(time.DateTime))
}
