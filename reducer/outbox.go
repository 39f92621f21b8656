package reducer

import "time"

// The names of records in the outbox.
const (
	outboxTerm   = "term"
	outboxJob    = "job "    // followed by the job's id
	outboxStart  = "start "  // followed by the job's id
	outboxCancel = "cancel " // followed by the job's id
)

// keepParts is into how many parts the retention of the log is divided for the
// times at which a record is appended again: there are two more tries after a
// failed one.
const keepParts = 4

// appendsPerTick bounds the appends that are tried again at each tick; with four
// ticks a second it stays below the several hundred that the log takes.
const appendsPerTick = 25

// pending is a record that the leader wants in the log. There is at most one for
// each name, and one append of it at a time: the end of a job waits until the
// append of an earlier record of the job has ended.
type pending struct {
	record Record
	sent   time.Time // zero while no append is under way
	flying Record    // record of the append under way
	pause  time.Duration
}

// send puts a record into the outbox in place of an earlier one of the name.
func (t *turn) send(r Record) {
	name := outboxName(r)
	p := &pending{record: r, pause: appendRetry}
	if old, ok := t.outbox.Get(name); ok {
		p.sent = old.sent
		p.flying = old.flying
		p.pause = old.pause
	}
	t.outbox = t.outbox.Set(name, p)
	if p.sent.IsZero() {
		t.append(name, p)
	}
}

func (t *turn) append(name string, p *pending) {
	t.appends++
	n := *p
	n.sent = t.now
	n.flying = p.record
	t.outbox = t.outbox.Set(name, &n)
	t.arm(timerAppend, name, t.now.Add(appendLost))
	t.emit(AppendRecord{Record: p.record})
}

// pokeAppend sends a record again whose append has failed or got lost, within a
// budget.
func (t *turn) pokeAppend(name string) {
	p, ok := t.outbox.Get(name)
	if !ok {
		return
	}
	if t.appends >= appendsPerTick {
		t.arm(timerAppend, name, t.now.Add(appendRetry))
		return
	}
	if lost := p.sent.Add(appendLost); !p.sent.IsZero() && t.now.Before(lost) {
		t.arm(timerAppend, name, lost)
		return
	}
	t.append(name, p)
}

// retryAppends sends the records that wait for their next try as soon as the log
// answers again.
func (t *turn) retryAppends() {
	for i := t.outbox.Iterator(); !i.Done(); {
		name, p, _ := i.Next()
		if p.sent.IsZero() {
			t.arm(timerAppend, name, t.now)
		}
	}
}

func (t *turn) appendEnded(e AppendEnded) {
	failed := e.Err != ""
	if r, ok := e.Record.(LeaderClaimed); ok {
		t.claimEnded(r, failed)
		return
	}
	name := outboxName(e.Record)
	p, ok := t.outbox.Get(name)
	if !ok || p.sent.IsZero() || p.flying != e.Record {
		return
	}
	if failed {
		t.appendFailed(name, p)
		return
	}
	t.appendDone(name, p)
}

// outboxName returns the name under which a record waits in the outbox.
func outboxName(r Record) string {
	switch r := r.(type) {
	case LeaderVouched:
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

func (t *turn) appendFailed(name string, p *pending) {
	n := *p
	n.sent = time.Time{}
	n.pause = min(p.pause*2, appendPause)
	t.outbox = t.outbox.Set(name, &n)
	t.arm(timerAppend, name, t.now.Add(p.pause))
}

// appendDone drops a record that the log has confirmed, unless another has taken
// its place. The end of a job and a start record stay until they are read back.
func (t *turn) appendDone(name string, p *pending) {
	n := *p
	n.sent = time.Time{}
	if p.flying != p.record {
		t.append(name, &n)
		return
	}
	switch p.record.(type) {
	case JobEnded, StartRecorded:
		t.arm(timerAppend, name, t.now.Add(appendLost))
		t.outbox = t.outbox.Set(name, &n)
	default:
		t.outbox = t.outbox.Delete(name)
	}
}

// armKeep sets the time at which a live job is appended again.
func (t *turn) armKeep(j *job) {
	if !t.holding() || t.settings.Retention <= 0 || j.over() {
		return
	}
	t.arm(timerKeep, j.ID, j.recorded.Add(t.settings.Retention/keepParts))
}

// keepJob appends a live job again, and its start record, before the log drops
// them. Reading them twice changes nothing.
func (t *turn) keepJob(id string) {
	j, ok := t.liveJob(id)
	if !ok {
		return
	}
	part := t.settings.Retention / keepParts
	if due := j.recorded.Add(part); t.now.Before(due) {
		t.arm(timerKeep, id, due)
		return
	}
	t.send(JobAccepted{Job: j.Job, Accepted: j.accepted})
	if j.start.offset != 0 && t.epoch.SubTerm == 0 {
		t.send(StartRecorded{Job: id, Attempt: j.start.record.Attempt, Epoch: t.epoch})
	}
	if j.cancelled != 0 {
		t.send(JobCancelled{Job: id, Organisation: j.Organisation})
	}
	t.arm(timerKeep, id, t.now.Add(part))
}
