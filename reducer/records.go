package reducer

import (
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// record takes the next record of the control stream. One that was read before
// changes nothing.
func (t *turn) record(e RecordRead) {
	if e.Offset < t.next {
		return
	}
	if e.Offset == 1 {
		t.verified = true
	}
	t.next = e.Offset + 1
	switch r := e.Record.(type) {
	case JobAccepted:
		t.jobAccepted(e, r)
	case JobCancelled:
		t.jobCancelled(e, r)
	case LeaderClaimed:
		t.leaderClaimed(e, r)
	case LeaderVouched:
		t.leaderVouched(r)
	case StartRecorded:
		t.startRecorded(e, r)
	case JobEnded:
		t.jobEnded(e, r)
	}
}

func (t *turn) caughtUp(e CaughtUp) {
	if e.Next == 1 {
		t.verified = true
	}
	t.caughtAt = t.now
	t.logChanged(LogChanged{Up: true})
}

func (t *turn) logChanged(e LogChanged) {
	if e.Up && !t.logUp {
		t.upAt = t.now
		t.retryAppends()
		t.placeable = true
	}
	t.logUp = e.Up
}

func (t *turn) setJob(j *job) { t.jobs = t.jobs.Set(j.ID, j) }

// liveJob returns a job that is known and not over.
func (t *turn) liveJob(id string) (*job, bool) {
	j, ok := t.jobs.Get(id)
	return j, ok && !j.over()
}

func (t *turn) jobAccepted(e RecordRead, r JobAccepted) {
	old, ok := t.jobs.Get(r.Job.ID)
	if ok {
		n := *old
		n.recorded = e.Appended
		t.setJob(&n)
		t.armKeep(&n)
		return
	}
	j := &job{Job: r.Job, accepted: r.Accepted, offset: e.Offset, recorded: e.Appended}
	if t.Leading() {
		j.rank = t.rankOf(t.now, j) // so that admit need not set the job again
	}
	t.setJob(j)
	t.armKeep(j)
	if t.Leading() {
		t.admit(j)
	}
}

func (t *turn) jobCancelled(e RecordRead, r JobCancelled) {
	j, ok := t.jobs.Get(r.Job)
	if !ok || j.Organisation != r.Organisation || j.cancelled != 0 || j.end != nil {
		return
	}
	n := *j
	n.cancelled = e.Offset
	t.setJob(&n)
	if t.Leading() {
		t.cancel(&n)
	}
}

// startRecorded takes a start record. A void one counts for nothing, for its
// writer has read the newer claim before it and starts nothing. While the term is
// not verified every record counts, as the job may have been started.
func (t *turn) startRecorded(e RecordRead, r StartRecorded) {
	j, ok := t.jobs.Get(r.Job)
	if !ok || t.verified && r.Epoch.Term != t.term {
		return
	}
	n := *j
	n.start = started{offset: e.Offset, record: r, at: e.Appended}
	t.setJob(&n)
	if t.holding() && r.Epoch == t.epoch {
		t.outbox = t.outbox.Delete(outboxStart + r.Job)
		t.startAllowed(r)
	}
}

func (t *turn) jobEnded(e RecordRead, r JobEnded) {
	j, ok := t.jobs.Get(r.Job)
	if !ok || j.end != nil {
		return
	}
	n := *j
	n.closing = false
	n.end = &ended{offset: e.Offset, record: r, at: e.Appended}
	t.setJob(&n)
	t.learn(&n)
	if t.settings.Retention > 0 {
		t.endings = t.endings.Set(endingKey(t.now, n.ID), n.ID)
	}
	t.outbox = t.outbox.Delete(outboxJob + n.ID)
	t.unqueue(&n)
	if g, ok := t.gangs.Get(n.ID); ok && g.stage != stageStopping {
		t.stopGang(g, ending{}, "job has ended")
	}
}

// learn counts a run in the estimates. Each VM does it from the log, so that a
// new leader knows what the old one knew.
func (t *turn) learn(j *job) {
	if j.end.record.Outcome != OutcomeSucceeded || j.end.record.RunMS <= 0 {
		return
	}
	run := time.Duration(j.end.record.RunMS) * time.Millisecond
	t.estimates = t.estimates.With(j.estimateKey(), run)
}

// endingKey orders ended jobs by the time at which their end was read.
func endingKey(now time.Time, id string) string {
	return fmt.Sprintf("%019d %s", now.UnixNano(), id)
}

// forgetEnded drops the jobs whose end the log has dropped too.
func (t *turn) forgetEnded() {
	for {
		k, id, ok := first(t.endings)
		if !ok || k >= endingKey(t.now.Add(-t.settings.Retention), "") {
			return
		}
		t.endings = t.endings.Delete(k)
		t.jobs = t.jobs.Delete(id)
	}
}

// leaderClaimed takes a claim: it takes force if it replaces the term in force. A
// VM that does not know the term, as the log has dropped its record, believes the
// first claim that it reads until a leader vouches for its term.
func (t *turn) leaderClaimed(e RecordRead, r LeaderClaimed) {
	unknown := t.term == 0 && !t.verified
	if r.Previous != t.term && !unknown {
		return
	}
	own := r.VM == t.self && t.claim.sent && t.claim.previous == r.Previous
	t.setTerm(e.Offset, r.VM)
	if own {
		t.lead(leaser.Epoch{Term: e.Offset})
		t.vouch()
	}
}

func (t *turn) leaderVouched(r LeaderVouched) {
	if r.Term > t.term || !t.verified {
		t.setTerm(r.Term, r.VM)
	}
	t.verified = true
}

// setTerm takes a new term into force and ends all that was decided in an older
// one.
func (t *turn) setTerm(term int64, leader string) {
	if term == t.term && leader == t.leader {
		return
	}
	t.term = term
	t.leader = leader
	t.claim = claim{}
	t.goneAt = time.Time{}
	if t.holding() {
		t.resign()
	}
}
