// Package registrar keeps the jobs that are recorded in the store in memory. Every entry
// VM feeds it from the store and answers callers from it.
package registrar

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/admitter"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

// The topics of jobs in the store.
const (
	TopicJobs     = "jobs"     // submissions and cancellations, written by any VM
	TopicProgress = "progress" // written by the leader only
)

const (
	jobPrefix    = "job/"
	cancelPrefix = "cancel/"
)

// Entry is the recorded state of a job.
type Entry struct {
	Job       scheduler.Job
	Part      int   // partition of the submission record that was read first
	Offset    int64 // of that record
	Progress  scheduler.Progress
	Cancelled bool

	Occurrences map[int]scheduler.Progress // of a scheduled job, by index; set only in entries that Submitted and Entries give out

	zeroOffset     int64 // of the submission record in partition 0, -1 if it holds none
	progressOffset int64 // offset of the last progress record
	hasProgress    bool  // it has progress in the store
	stored         int64 // bytes of its submission record
}

// State returns the state of the job.
func (e Entry) State() scheduler.State {
	switch {
	case e.Progress.State.Ended():
		return e.Progress.State
	case e.Cancelled:
		return scheduler.StateCancelled
	case e.Progress.State == "":
		return scheduler.StateQueued
	default:
		return e.Progress.State
	}
}

// unmatched is the progress of an id without a submission of its own.
type unmatched struct {
	progress scheduler.Progress
	offset   int64
}

// Registrar holds the jobs. Records may arrive more than once and out of order; the
// newest one counts. It is safe for concurrent use. Its exported fields must be set before
// it gets records.
type Registrar struct {
	Malformed func(key string, offset int64, err error) // called for each record that can't be decoded
	Submitted func(Entry)                               // called for each new job, in the order of its partition
	Cancelled func(id string)                           // called for each new cancellation

	// Kept is called for each job that is kept, with what it takes, and Removed once it is not
	// kept any more. They must not call the registrar.
	Kept    func(id, organisation string, s admitter.Size)
	Removed func(id string)

	order            sync.Mutex // held while jobs and cancellations are applied and reported; never taken after mu
	mu               sync.Mutex
	jobs             map[string]*Entry
	unmatched        map[string]unmatched // progress of occurrences, and of jobs whose submission was not read yet
	unmatchedCancels map[string]bool      // of jobs whose submission was not read yet
	malformed        map[string]bool      // jobs whose submission can't be decoded
	leftovers        map[string]bool      // deleted jobs whose progress is still stored
	next             map[string]int64     // by topic or partition of one, offset of the next record
	elsewhere        map[string][]int     // by job, partitions other than 0 that hold records of it
	ended            []string             // jobs that have ended and whose steps are kept, in the order in which their end was read
}

// New returns an empty registrar.
func New() *Registrar {
	return &Registrar{
		Malformed:        func(string, int64, error) {},
		Submitted:        func(Entry) {},
		Cancelled:        func(string) {},
		Kept:             func(string, string, admitter.Size) {},
		Removed:          func(string) {},
		jobs:             map[string]*Entry{},
		unmatched:        map[string]unmatched{},
		unmatchedCancels: map[string]bool{},
		malformed:        map[string]bool{},
		leftovers:        map[string]bool{},
		next:             map[string]int64{},
		elsewhere:        map[string][]int{},
	}
}

// ApplyJobs applies records of partition 0 of TopicJobs. A cancellation is reported after its
// job, even if another goroutine has applied the record of the job.
func (r *Registrar) ApplyJobs(b tailer.Batch) { r.ApplyJobsOf(0, b) }

// ApplyJobsOf applies records of a partition of TopicJobs like ApplyJobs.
func (r *Registrar) ApplyJobsOf(part int, b tailer.Batch) {
	r.order.Lock()
	defer r.order.Unlock()
	r.mu.Lock()
	var submitted, cancelled []string
	slices.SortStableFunc(b.Records, func(a, b accessor.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	name := accessor.Partition(TopicJobs, part)
	applied := r.next[name]
	for _, v := range newestOfKeys(b.Records) {
		if v.Offset < applied {
			continue // a late reader's: the job may have been deleted since
		}
		id, isJob := strings.CutPrefix(v.Key, jobPrefix)
		if isJob {
			if r.applyJob(id, part, v) {
				submitted = append(submitted, id)
			}
			continue
		}
		if id, ok := strings.CutPrefix(v.Key, cancelPrefix); ok && r.applyCancel(id, part, v) {
			cancelled = append(cancelled, id)
		}
	}
	if b.Snapshot && b.Next >= applied {
		r.forgetMissing(part, b)
	}
	r.advanceNext(name, b.Next)
	entries := r.entriesOf(submitted)
	r.mu.Unlock()
	for _, e := range entries {
		r.Submitted(e)
	}
	for _, id := range cancelled {
		r.Cancelled(id)
	}
}

// newestOfKeys returns the newest record of each key, in the order of records. What a reader
// finds deleted since must not be reported: its progress is deleted too.
func newestOfKeys(records []accessor.Record) []accessor.Record {
	last := make(map[string]int, len(records))
	for i, v := range records {
		last[v.Key] = i
	}
	if len(last) == len(records) {
		return records
	}
	newest := make([]accessor.Record, 0, len(last))
	for i, v := range records {
		if last[v.Key] == i {
			newest = append(newest, v)
		}
	}
	return newest
}

// entriesOf returns the entries of those of the given jobs that are known, with the progress of
// their occurrences.
func (r *Registrar) entriesOf(ids []string) []Entry {
	all := make([]Entry, 0, len(ids))
	for _, id := range ids {
		if e, ok := r.jobs[id]; ok {
			all = append(all, r.withOccurrences(e))
		}
	}
	return all
}

// applyJob applies the record of a job and reports whether the job is new.
func (r *Registrar) applyJob(id string, part int, v accessor.Record) bool {
	if len(v.Value) == 0 {
		r.deleteJob(id, part)
		return false
	}
	r.noteElsewhere(id, part)
	if e, ok := r.jobs[id]; ok {
		if part == 0 {
			e.zeroOffset = v.Offset
		}
		return false
	}
	e := &Entry{Part: part, Offset: v.Offset, zeroOffset: -1}
	if part == 0 {
		e.zeroOffset = v.Offset
	}
	err := json.Unmarshal(v.Value, &e.Job)
	if err == nil {
		err = e.Job.Validate() // a leader relies on it
	}
	if err != nil {
		r.malformed[id] = true
		r.Malformed(v.Key, v.Offset, err)
		return false
	}
	delete(r.malformed, id)
	delete(r.leftovers, id)
	u, ok := r.unmatched[id]
	e.Progress, e.progressOffset, e.hasProgress = u.progress, u.offset, ok
	e.Cancelled = r.unmatchedCancels[id]
	delete(r.unmatched, id)
	delete(r.unmatchedCancels, id)
	r.jobs[id] = e
	e.stored = SizeOf(e.Job, v).Stored
	r.Kept(id, e.Job.Organisation, e.size())
	if e.Progress.State.Ended() {
		r.ended = append(r.ended, id)
	}
	return true
}

// noteElsewhere records that a partition other than 0 holds a record of a job.
func (r *Registrar) noteElsewhere(id string, part int) {
	if part != 0 && !slices.Contains(r.elsewhere[id], part) {
		r.elsewhere[id] = append(r.elsewhere[id], part)
	}
}

// deleteJob applies the deletion of a job from a partition. The leader deletes a job from
// partition 0 last, so it is gone then; another VM may not read that from the others.
func (r *Registrar) deleteJob(id string, part int) {
	if part != 0 {
		r.forgetElsewhere(id, part)
		return
	}
	delete(r.elsewhere, id)
	r.removeJob(id)
}

// forgetElsewhere records that a partition other than 0 holds no record of a job any more. The
// job is gone if no other partition holds it.
func (r *Registrar) forgetElsewhere(id string, part int) {
	r.elsewhere[id] = slices.DeleteFunc(r.elsewhere[id], func(p int) bool { return p == part })
	if len(r.elsewhere[id]) > 0 {
		return
	}
	delete(r.elsewhere, id)
	if e, ok := r.jobs[id]; !ok || e.zeroOffset < 0 {
		delete(r.unmatchedCancels, id)
		r.removeJob(id)
	}
}

// forgetMissing applies the deletions that a snapshot of a partition shows by the absence of
// keys: a VM that has not read the partition for long may have missed their records.
func (r *Registrar) forgetMissing(part int, b tailer.Batch) {
	present := make(map[string]bool, len(b.Records))
	for _, v := range b.Records {
		id, ok := strings.CutPrefix(v.Key, jobPrefix)
		if !ok {
			id = strings.TrimPrefix(v.Key, cancelPrefix)
		}
		present[id] = true
	}
	if part != 0 {
		for id, parts := range r.elsewhere {
			if !present[id] && slices.Contains(parts, part) {
				r.forgetElsewhere(id, part)
			}
		}
		return
	}
	for id, e := range r.jobs {
		if present[id] || e.zeroOffset < 0 || e.zeroOffset >= b.Next {
			continue
		}
		e.zeroOffset = -1
		if len(r.elsewhere[id]) == 0 {
			r.removeJob(id)
		}
	}
}

// Elsewhere returns the partitions other than 0 that hold records of any of the given jobs, with
// these jobs.
func (r *Registrar) Elsewhere(ids []string) map[int][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[int][]string{}
	for _, id := range ids {
		for _, part := range r.elsewhere[id] {
			all[part] = append(all[part], id)
		}
	}
	return all
}

// removeJob removes a job. Its progress is left until that is deleted too.
func (r *Registrar) removeJob(id string) {
	if e, ok := r.jobs[id]; ok && e.hasProgress {
		r.leftovers[id] = true
	}
	delete(r.jobs, id)
	delete(r.malformed, id)
	r.Removed(id)
}

// withOccurrences returns an entry with the progress of its occurrences.
func (r *Registrar) withOccurrences(e *Entry) Entry {
	n := *e
	for k := range e.Job.Times {
		p, ok := r.unmatched[scheduler.OccurrenceID(e.Job.ID, k)]
		if !ok {
			continue
		}
		if n.Occurrences == nil {
			n.Occurrences = map[int]scheduler.Progress{}
		}
		n.Occurrences[k] = p.progress
	}
	return n
}

// applyCancel applies the record of a cancellation and reports whether it is new and of a known
// job. A cancellation counts whatever partition holds it.
func (r *Registrar) applyCancel(id string, part int, v accessor.Record) bool {
	if len(v.Value) == 0 {
		delete(r.unmatchedCancels, id)
		return false
	}
	r.noteElsewhere(id, part)
	e, ok := r.jobs[id]
	if !ok {
		r.unmatchedCancels[id] = true
		return false
	}
	isNew := !e.Cancelled
	e.Cancelled = true
	return isNew
}

// ApplyProgress applies records of TopicProgress.
func (r *Registrar) ApplyProgress(b tailer.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range b.Records {
		if len(v.Value) == 0 {
			r.deleteProgress(v)
			continue
		}
		var p scheduler.Progress
		if err := json.Unmarshal(v.Value, &p); err != nil {
			r.Malformed(v.Key, v.Offset, err)
			continue
		}
		if e, ok := r.jobs[v.Key]; ok {
			if v.Offset >= e.progressOffset {
				if p.State.Ended() && !e.Progress.State.Ended() {
					r.ended = append(r.ended, v.Key)
				}
				e.Progress, e.progressOffset, e.hasProgress = p, v.Offset, true
			}
			continue
		}
		if old, ok := r.unmatched[v.Key]; !ok || v.Offset >= old.offset {
			r.unmatched[v.Key] = unmatched{p, v.Offset}
		}
	}
	r.advanceNext(TopicProgress, b.Next)
}

// ForgetSteps forgets the steps of jobs that ended so long ago that nothing needs them.
func (r *Registrar) ForgetSteps(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.ended) > 0 {
		e, ok := r.jobs[r.ended[0]]
		if ok && e.Progress.StepsNeeded(now) {
			return
		}
		if ok {
			e.Job = e.Job.WithoutSteps()
			r.Kept(e.Job.ID, e.Job.Organisation, e.size())
		}
		r.ended = r.ended[1:]
	}
}

// size returns what a job takes.
func (e *Entry) size() admitter.Size {
	return admitter.Size{Memory: e.Job.Footprint(), Stored: e.stored}
}

// deleteProgress applies the deletion of progress. A job that is still known keeps its state:
// the record that deletes it was not read yet.
func (r *Registrar) deleteProgress(v accessor.Record) {
	delete(r.leftovers, v.Key)
	if e, ok := r.jobs[v.Key]; ok && v.Offset >= e.progressOffset {
		e.hasProgress = false
	}
	if u, ok := r.unmatched[v.Key]; ok && v.Offset >= u.offset {
		delete(r.unmatched, v.Key)
	}
}

func (r *Registrar) advanceNext(topic string, next int64) {
	r.next[topic] = max(r.next[topic], next)
}

// RemoveLeftovers returns the IDs of progress whose ended jobs have been deleted, and forgets
// it. It must be called only when all jobs are read that have progress.
func (r *Registrar) RemoveLeftovers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := slices.Collect(maps.Keys(r.leftovers))
	clear(r.leftovers)
	for id, v := range r.unmatched {
		job, _ := scheduler.SplitOccurrence(id)
		if _, ok := r.jobs[job]; ok || r.malformed[job] || !v.progress.State.Ended() {
			continue
		}
		left = append(left, id)
		delete(r.unmatched, id)
	}
	slices.Sort(left)
	return left
}

// NextOffset returns the offset of the next record of a topic or a partition of it, and whether
// it has been read at all.
func (r *Registrar) NextOffset(topic string) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.next[topic]
	return n, ok
}

// Get returns the entry of a job, without occurrences.
func (r *Registrar) Get(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.jobs[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns the entries of all jobs in the order of acceptance: offsets of different
// partitions have no order.
func (r *Registrar) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Entry, 0, len(r.jobs))
	for _, e := range r.jobs {
		all = append(all, r.withOccurrences(e))
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Job.AcceptedMS, b.Job.AcceptedMS), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Offset, b.Offset))
	})
	return all
}

// Pending returns the number of jobs in a queue that have not started.
func (r *Registrar) Pending(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.jobs {
		if e.Job.Queue == queue && e.State() == scheduler.StateQueued {
			n++
		}
	}
	return n
}

// JobRecord returns the record of a submission in TopicJobs.
func JobRecord(j scheduler.Job) (accessor.Record, error) {
	b, err := json.Marshal(j)
	if err != nil {
		return accessor.Record{}, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return accessor.Record{Key: jobPrefix + j.ID, Value: b}, nil
}

// SizeOf returns what a job takes whose submission is a given record.
func SizeOf(j scheduler.Job, r accessor.Record) admitter.Size {
	return admitter.Size{Memory: j.Footprint(), Stored: int64(len(r.Key) + len(r.Value))}
}

// CancelRecord returns the record of a cancellation in TopicJobs.
func CancelRecord(id string) accessor.Record {
	return accessor.Record{Key: cancelPrefix + id, Value: []byte("1")}
}

// DeletionRecords returns the records that delete a job from TopicJobs.
func DeletionRecords(id string) []accessor.Record {
	return []accessor.Record{{Key: jobPrefix + id}, {Key: cancelPrefix + id}}
}

// ProgressRecord returns the record of a job's progress in TopicProgress.
func ProgressRecord(id string, p scheduler.Progress) (accessor.Record, error) {
	b, err := json.Marshal(p)
	if err != nil {
		return accessor.Record{}, fmt.Errorf("encode progress of job %s: %w", id, err)
	}
	return accessor.Record{Key: id, Value: b}, nil
}
