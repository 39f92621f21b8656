package reducer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Phase is the phase of a job's life cycle.
type Phase string

// The phases of a job.
const (
	PhaseWaiting  Phase = "waiting"
	PhaseStarting Phase = "starting" // tasks are being staged or started
	PhaseRunning  Phase = "running"
	PhaseStopping Phase = "stopping" // being reclaimed, cancelled or cleaned up
	PhaseEnded    Phase = "ended"
)

// JobStatus is the status of a job. Only the leader knows which jobs are starting,
// running or being stopped.
type JobStatus struct {
	Job      Job
	Phase    Phase
	Attempt  int
	Accepted time.Time
	Started  time.Time // of the current attempt, zero while it does not run
	Ended    time.Time // zero until it ends
	Outcome  Outcome   // set once it has ended
	Reason   string    // why it is being stopped, or how it ended
	Workers  []string  // by task number, empty while it waits
}

// Jobs returns the status of every known job, sorted by id. Ended jobs are kept for
// the retention of the log.
func (s State) Jobs() []JobStatus {
	all := make([]JobStatus, 0, s.jobs.Len())
	for i := s.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		all = append(all, s.status(j))
	}
	return all
}

// Job returns the status of one job.
func (s State) Job(id string) (JobStatus, bool) {
	j, ok := s.jobs.Get(id)
	if !ok {
		return JobStatus{}, false
	}
	return s.status(j), true
}

func (s State) status(j *job) JobStatus {
	v := JobStatus{Job: j.Job, Phase: PhaseWaiting, Attempt: j.attempt, Accepted: j.accepted}
	switch {
	case j.end != nil:
		v.Phase = PhaseEnded
		v.Attempt = j.end.record.Attempt
		v.Ended = j.end.at
		v.Outcome = j.end.record.Outcome
		v.Reason = j.end.record.Reason
	case j.endPending:
		v.Phase = PhaseStopping
		v.Reason = "its end is being recorded"
	default:
		if g, ok := s.gangs.Get(j.ID); ok {
			v.Phase = phaseOf(g)
			v.Started = g.started
			v.Workers = g.workers()
			v.Reason = g.stopReason
		}
	}
	return v
}

func phaseOf(g *gang) Phase {
	switch g.stage {
	case stageRunning:
		return PhaseRunning
	case stageStopping:
		return PhaseStopping
	default:
		return PhaseStarting
	}
}

// Waiting reports whether jobs wait to be placed. Only the leader knows.
func (s State) Waiting() bool { return s.queues.Len() > 0 }

// AttemptEnded reports whether ended leases of an attempt no longer need to be
// listed: the log contains the end of the job, or does not know the job. It is used
// with leaser.Acknowledgements.
func (s State) AttemptEnded(id string, _ int) bool {
	if s.caughtUpAt.IsZero() {
		return false
	}
	j, ok := s.jobs.Get(id)
	return !ok || j.end != nil
}

// Workers returns the last known inventory of every worker, sorted by id.
func (s State) Workers() []leaser.Inventory {
	all := make([]leaser.Inventory, 0, s.workers.Len())
	for i := s.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		if w.inventoryKnown {
			all = append(all, w.inventory)
		}
	}
	return all
}

// Snapshot returns the records from which a new VM restores the state, in log order,
// and the offset at which it continues to read.
func (s State) Snapshot() ([]RecordRead, int64) {
	var all []RecordRead
	if s.term != 0 {
		all = append(all, RecordRead{Offset: s.term, Record: LeaderClaimed{VM: s.leader}})
	}
	for i := s.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		all = append(all, j.records()...)
	}
	slices.SortStableFunc(all, func(a, b RecordRead) int { return cmp.Compare(a.Offset, b.Offset) })
	return all, s.nextOffset
}

// records returns the log records of a job.
func (j *job) records() []RecordRead {
	all := []RecordRead{{Offset: j.acceptOffset, Appended: j.lastAppended, Record: JobAccepted{Job: j.Job, Accepted: j.accepted}}}
	if j.cancelOffset != 0 {
		all = append(all, RecordRead{
			Offset: j.cancelOffset, Appended: j.lastAppended,
			Record: JobCancelled{Job: j.ID, Organisation: j.Organisation},
		})
	}
	if j.start.offset != 0 {
		all = append(all, RecordRead{Offset: j.start.offset, Appended: j.start.at, Record: j.start.record})
	}
	if j.end != nil {
		all = append(all, RecordRead{Offset: j.end.offset, Appended: j.end.at, Record: j.end.record})
	}
	return all
}

// ExplainWait explains why a job waits: which resource, rack, guarantee or
// reservation it waits for, and until when.
func (s State) ExplainWait(now time.Time, id string) string {
	j, ok := s.jobs.Get(id)
	if !ok {
		return fmt.Sprintf("job %q is not known", id)
	}
	v := s.status(j)
	switch {
	case v.Phase == PhaseEnded:
		return fmt.Sprintf("it has ended: %s %s", v.Outcome, v.Reason)
	case v.Phase != PhaseWaiting:
		return fmt.Sprintf("it is %s %s", v.Phase, v.Reason)
	case s.leader == "" && !s.hasEpoch():
		return "there is no leader"
	case !s.hasEpoch():
		return fmt.Sprintf("it waits; ask the leader %s for the reason", s.leader)
	case s.recovery.active:
		return s.explainRecovery(now)
	case j.NonIdempotent && !s.canRecordStarts():
		return "its start has to be recorded first, and the log does not answer"
	case j.notBefore.After(now):
		return fmt.Sprintf("its next attempt is at %s, after %d failures", j.notBefore.UTC().Format(time.TimeOnly), j.failures)
	default:
		return s.explainWaiting(now, j) + j.explainDeadline()
	}
}

func (s State) explainRecovery(now time.Time) string {
	for _, l := range s.workerList {
		if w, ok := s.workers.Get(l.ID); ok && !w.fenced {
			return fmt.Sprintf("this VM took leadership and waits for the inventory of worker %s, until %s at the latest",
				l.ID, w.firstFence.Add(leaser.TTL).UTC().Format(time.TimeOnly))
		}
	}
	return fmt.Sprintf("this VM took leadership %s ago and waits for the list of workers", now.Sub(s.recovery.since))
}

func (s State) explainWaiting(now time.Time, j *job) string {
	if r, ok := s.reclaims.Get(j.ID); ok {
		return fmt.Sprintf("guarantee %q is being reclaimed for it on %v, at the latest until %s",
			r.guarantee, slices.Compact(slices.Clone(r.at)), r.until.UTC().Format(time.TimeOnly))
	}
	if s.reserved.job == j.ID {
		return fmt.Sprintf("it holds a reservation on %v for %s",
			slices.Compact(slices.Clone(s.reserved.Placement)), s.reserved.At.UTC().Format(time.TimeOnly))
	}
	if !s.withinQuota(j.Job) {
		return fmt.Sprintf("team %q of its organisation uses its quota in full", j.Team)
	}
	usable := s.placerWorkers(func(w *worker) bool { return w.usable(now) })
	if len(usable) == 0 {
		return "no worker accepts new tasks"
	}
	if _, ok := placer.Place(j.Gang, usable); !ok {
		return s.explainShortage(j, usable)
	}
	if j.NonIdempotent && !s.leavesGuarantees(now, j, s.estimate(j), usable) {
		return "the free capacity is guaranteed to other organisations, and a non-idempotent job may not borrow it"
	}
	if s.reserved.job != "" {
		return fmt.Sprintf("it would delay job %s, which has a reservation for %s",
			s.reserved.job, s.reserved.At.UTC().Format(time.TimeOnly))
	}
	return "jobs ahead of it are placed first"
}

// explainShortage names the missing resource, and the worker or rack that comes
// closest.
func (s State) explainShortage(j *job, usable []placer.Worker) string {
	free := make([]placer.Worker, len(usable))
	for i, w := range usable {
		w.Capacity = w.Free
		free[i] = w
	}
	if err := placer.Feasible(j.Gang, free); err != nil {
		return "not enough free resources: " + err.Error()
	}
	return "not enough free resources"
}
