package reducer

import "time"

// Keys of records in the outbox.
const (
	outboxTerm   = "term"
	outboxJob    = "job "    // followed by the job's id
	outboxStart  = "start "  // followed by the job's id
	outboxCancel = "cancel " // followed by the job's id
)

// reappendsPerRetention divides the retention of the log into the intervals at which
// a record is appended again. After a failed append there are two more attempts.
const reappendsPerRetention = 4

// appendsPerTick limits retried appends per tick. At four ticks a second it stays
// below the several hundred appends that the log accepts.
const appendsPerTick = 25

// pendingAppend is a record to be appended by the leader. There is at most one for
// each key, and one append of it at a time: the end of a job waits until the append
// of an earlier record of the job has ended.
type pendingAppend struct {
	record   Record
	sentAt   time.Time     // zero while no append is in flight
	inFlight Record        // record of the append in flight
	backoff  time.Duration // before the next attempt
}

// queueAppend puts a record into the outbox, and replaces an earlier one with the
// same key.
func (t *transition) queueAppend(r Record) {
	key := outboxKey(r)
	p := &pendingAppend{record: r, backoff: appendRetryDelay}
	if old, ok := t.outbox.Get(key); ok {
		p.sentAt = old.sentAt
		p.inFlight = old.inFlight
		p.backoff = old.backoff
	}
	t.outbox = t.outbox.Set(key, p)
	if p.sentAt.IsZero() {
		t.startAppend(key, p)
	}
}

func (t *transition) startAppend(key string, p *pendingAppend) {
	t.appends++
	n := *p
	n.sentAt = t.now
	n.inFlight = p.record
	t.outbox = t.outbox.Set(key, &n)
	t.setTimer(timerAppend, key, t.now.Add(appendTimeout))
	t.emit(AppendRecord{Record: p.record})
}

// checkAppend repeats a failed or lost append, at most appendsPerTick in one
// transition.
func (t *transition) checkAppend(key string) {
	p, ok := t.outbox.Get(key)
	if !ok {
		return
	}
	if t.appends >= appendsPerTick {
		t.setTimer(timerAppend, key, t.now.Add(appendRetryDelay))
		return
	}
	if lost := p.sentAt.Add(appendTimeout); !p.sentAt.IsZero() && t.now.Before(lost) {
		t.setTimer(timerAppend, key, lost)
		return
	}
	t.startAppend(key, p)
}

// retryPendingAppends schedules the waiting records at once, when the log answers
// again.
func (t *transition) retryPendingAppends() {
	for i := t.outbox.Iterator(); !i.Done(); {
		key, p, _ := i.Next()
		if p.sentAt.IsZero() {
			t.setTimer(timerAppend, key, t.now)
		}
	}
}

func (t *transition) appendEnded(e AppendEnded) {
	failed := e.Err != ""
	if r, ok := e.Record.(LeaderClaimed); ok {
		t.claimEnded(r, failed)
		return
	}
	key := outboxKey(e.Record)
	p, ok := t.outbox.Get(key)
	if !ok || p.sentAt.IsZero() || p.inFlight != e.Record {
		return
	}
	if failed {
		t.appendFailed(key, p)
		return
	}
	t.appendDone(key, p)
}

// outboxKey returns the key of a record in the outbox.
func outboxKey(r Record) string {
	switch r := r.(type) {
	case TermConfirmed:
		return outboxTerm
	case JobAccepted:
		return outboxJob + r.Job.ID
	case JobEnded:
		return outboxJob + r.Job
	case StartRecorded:
		return outboxStart + r.Job
	case JobCancelled:
		return outboxCancel + r.Job
	default:
		return ""
	}
}

func (t *transition) appendFailed(key string, p *pendingAppend) {
	n := *p
	n.sentAt = time.Time{}
	n.backoff = min(p.backoff*2, maxAppendRetryDelay)
	t.outbox = t.outbox.Set(key, &n)
	t.setTimer(timerAppend, key, t.now.Add(p.backoff))
}

// appendDone removes a record that the log has confirmed, unless it was replaced
// meanwhile. Ends of jobs and start records stay until they are read back.
func (t *transition) appendDone(key string, p *pendingAppend) {
	n := *p
	n.sentAt = time.Time{}
	if p.inFlight != p.record {
		t.startAppend(key, &n)
		return
	}
	switch p.record.(type) {
	case JobEnded, StartRecorded:
		t.setTimer(timerAppend, key, t.now.Add(appendTimeout))
		t.outbox = t.outbox.Set(key, &n)
	default:
		t.outbox = t.outbox.Delete(key)
	}
}

// scheduleReappend sets the time at which a live job is appended again.
func (t *transition) scheduleReappend(j *job) {
	if !t.hasEpoch() || t.settings.Retention <= 0 || j.finished() {
		return
	}
	t.setTimer(timerReappend, j.ID, j.lastAppended.Add(t.settings.Retention/reappendsPerRetention))
}

// reappendJob appends the records of a live job again before the log drops them.
// Reading them twice changes nothing.
func (t *transition) reappendJob(id string) {
	j, ok := t.liveJob(id)
	if !ok {
		return
	}
	interval := t.settings.Retention / reappendsPerRetention
	if due := j.lastAppended.Add(interval); t.now.Before(due) {
		t.setTimer(timerReappend, id, due)
		return
	}
	t.queueAppend(JobAccepted{Job: j.Job, Accepted: j.accepted})
	if j.start.offset != 0 && t.epoch.SubTerm == 0 {
		t.queueAppend(StartRecorded{Job: id, Attempt: j.start.record.Attempt, Epoch: t.epoch})
	}
	if j.cancelOffset != 0 {
		t.queueAppend(JobCancelled{Job: id, Organisation: j.Organisation})
	}
	t.setTimer(timerReappend, id, t.now.Add(interval))
}
