package reducer

import (
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// applyRecord applies the next record of the control stream. Records that were
// already read are ignored.
func (t *transition) applyRecord(e RecordRead) {
	if e.Offset < t.nextOffset {
		return
	}
	if e.Offset == 1 {
		t.termVerified = true
	}
	t.nextOffset = e.Offset + 1
	switch r := e.Record.(type) {
	case JobAccepted:
		t.jobAccepted(e, r)
	case JobCancelled:
		t.jobCancelled(e, r)
	case LeaderClaimed:
		t.leaderClaimed(e, r)
	case TermConfirmed:
		t.termConfirmed(r)
	case StartRecorded:
		t.startRecorded(e, r)
	case JobEnded:
		t.jobEnded(e, r)
	}
}

func (t *transition) caughtUp(e CaughtUp) {
	if e.Next == 1 {
		t.termVerified = true
	}
	t.caughtUpAt = t.now
	t.logChanged(LogChanged{Up: true})
}

func (t *transition) logChanged(e LogChanged) {
	if e.Up && !t.logUp {
		t.logUpSince = t.now
		t.retryPendingAppends()
		t.placementNeeded = true
	}
	t.logUp = e.Up
}

func (t *transition) setJob(j *job) { t.jobs = t.jobs.Set(j.ID, j) }

// liveJob returns a job that is known and not finished.
func (t *transition) liveJob(id string) (*job, bool) {
	j, ok := t.jobs.Get(id)
	return j, ok && !j.finished()
}

func (t *transition) jobAccepted(e RecordRead, r JobAccepted) {
	old, ok := t.jobs.Get(r.Job.ID)
	if ok {
		n := *old
		n.lastAppended = e.Appended
		t.setJob(&n)
		t.scheduleReappend(&n)
		return
	}
	j := &job{Job: r.Job, accepted: r.Accepted, acceptOffset: e.Offset, lastAppended: e.Appended}
	if t.Leading() {
		j.rank = t.rankOf(t.now, j) // so that admit does not need to store the job again
	}
	t.setJob(j)
	t.scheduleReappend(j)
	if t.Leading() {
		t.admit(j)
	}
}

func (t *transition) jobCancelled(e RecordRead, r JobCancelled) {
	j, ok := t.jobs.Get(r.Job)
	if !ok || j.Organisation != r.Organisation || j.cancelOffset != 0 || j.end != nil {
		return
	}
	n := *j
	n.cancelOffset = e.Offset
	t.setJob(&n)
	if t.Leading() {
		t.cancelJob(&n)
	}
}

// startRecorded applies a start record. A void record is ignored, as its writer read
// the newer claim first and starts nothing. While the term is not verified every
// record counts, because the job may have started.
func (t *transition) startRecorded(e RecordRead, r StartRecorded) {
	j, ok := t.jobs.Get(r.Job)
	if !ok || t.termVerified && r.Epoch.Term != t.term {
		return
	}
	n := *j
	n.start = jobStart{offset: e.Offset, record: r, at: e.Appended}
	t.setJob(&n)
	if t.hasEpoch() && r.Epoch == t.epoch {
		t.outbox = t.outbox.Delete(outboxStart + r.Job)
		t.startPermitted(r)
	}
}

func (t *transition) jobEnded(e RecordRead, r JobEnded) {
	j, ok := t.jobs.Get(r.Job)
	if !ok || j.end != nil {
		return
	}
	n := *j
	n.endPending = false
	n.end = &jobEnd{offset: e.Offset, record: r, at: e.Appended}
	t.setJob(&n)
	t.learnRunTime(&n)
	if t.settings.Retention > 0 {
		t.endedJobs = t.endedJobs.Set(endedKey(t.now, n.ID), n.ID)
	}
	t.outbox = t.outbox.Delete(outboxJob + n.ID)
	t.dequeue(&n)
	if g, ok := t.gangs.Get(n.ID); ok && g.stage != stageStopping {
		t.stopGang(g, ending{}, "job has ended")
	}
}

// learnRunTime adds a run to the estimates. Every VM does so from the log, so that a
// new leader has the same estimates as the previous one.
func (t *transition) learnRunTime(j *job) {
	if j.end.record.Outcome != OutcomeSucceeded || j.end.record.RunMS <= 0 {
		return
	}
	run := time.Duration(j.end.record.RunMS) * time.Millisecond
	t.estimates = t.estimates.With(j.estimateKey(), run)
}

// endedKey orders ended jobs by the time at which their end was read.
func endedKey(now time.Time, id string) string {
	return fmt.Sprintf("%019d %s", now.UnixNano(), id)
}

// dropExpiredJobs drops the jobs whose end is older than the retention of the log.
func (t *transition) dropExpiredJobs() {
	for {
		k, id, ok := firstEntry(t.endedJobs)
		if !ok || k >= endedKey(t.now.Add(-t.settings.Retention), "") {
			return
		}
		t.endedJobs = t.endedJobs.Delete(k)
		t.jobs = t.jobs.Delete(id)
	}
}

// leaderClaimed applies a claim, which takes effect if it replaces the term in force.
// A VM that does not know the term, because the log has dropped its record, accepts
// the first claim that it reads until a leader confirms its term.
func (t *transition) leaderClaimed(e RecordRead, r LeaderClaimed) {
	termUnknown := t.term == 0 && !t.termVerified
	if r.Previous != t.term && !termUnknown {
		return
	}
	ownClaim := r.VM == t.self && t.claim.sent && t.claim.previous == r.Previous
	t.setTerm(e.Offset, r.VM)
	if ownClaim {
		t.becomeLeader(leaser.Epoch{Term: e.Offset})
		t.confirmTerm()
	}
}

func (t *transition) termConfirmed(r TermConfirmed) {
	if r.Term > t.term || !t.termVerified {
		t.setTerm(r.Term, r.VM)
	}
	t.termVerified = true
}

// setTerm puts a new term into force and steps down from an older one.
func (t *transition) setTerm(term int64, leader string) {
	if term == t.term && leader == t.leader {
		return
	}
	t.term = term
	t.leader = leader
	t.claim = claim{}
	t.leaderMissingSince = time.Time{}
	if t.hasEpoch() {
		t.stepDown()
	}
}
