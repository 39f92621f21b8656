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
	Offset    int64 // of the submission record
	Progress  scheduler.Progress
	Cancelled bool

	Occurrences map[int]scheduler.Progress // of a scheduled job, by index; set only in entries that Submitted and Entries give out

	progressOffset int64 // offset of the last progress record
	hasProgress    bool  // it has progress in the store
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
	Submitted func(Entry)                               // called for each new job, in log order
	Cancelled func(id string)                           // called for each new cancellation

	order            sync.Mutex // held while jobs and cancellations are applied and reported; never taken after mu
	mu               sync.Mutex
	jobs             map[string]*Entry
	unmatched        map[string]unmatched // progress of occurrences, and of jobs whose submission was not read yet
	unmatchedCancels map[string]bool      // of jobs whose submission was not read yet
	malformed        map[string]bool      // jobs whose submission can't be decoded
	leftovers        map[string]bool      // deleted jobs whose progress is still stored
	next             map[string]int64     // by topic, offset of the next record
}

// New returns an empty registrar.
func New() *Registrar {
	return &Registrar{
		Malformed:        func(string, int64, error) {},
		Submitted:        func(Entry) {},
		Cancelled:        func(string) {},
		jobs:             map[string]*Entry{},
		unmatched:        map[string]unmatched{},
		unmatchedCancels: map[string]bool{},
		malformed:        map[string]bool{},
		leftovers:        map[string]bool{},
		next:             map[string]int64{},
	}
}

// ApplyJobs applies records of TopicJobs. A cancellation is reported after its job, even if
// another goroutine has applied the record of the job.
func (r *Registrar) ApplyJobs(b tailer.Batch) {
	r.order.Lock()
	defer r.order.Unlock()
	r.mu.Lock()
	var submitted []Entry
	var cancelled []string
	slices.SortStableFunc(b.Records, func(a, b accessor.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	applied := r.next[TopicJobs]
	for _, v := range b.Records {
		if v.Offset < applied {
			continue // a late reader's: the job may have been deleted since
		}
		id, isJob := strings.CutPrefix(v.Key, jobPrefix)
		if isJob {
			if e, ok := r.applyJob(id, v); ok {
				submitted = append(submitted, e)
			}
			continue
		}
		if id, ok := strings.CutPrefix(v.Key, cancelPrefix); ok && r.applyCancel(id, v) {
			cancelled = append(cancelled, id)
		}
	}
	r.advanceNext(TopicJobs, b.Next)
	r.mu.Unlock()
	for _, e := range submitted {
		r.Submitted(e)
	}
	for _, id := range cancelled {
		r.Cancelled(id)
	}
}

func (r *Registrar) applyJob(id string, v accessor.Record) (Entry, bool) {
	if len(v.Value) == 0 {
		r.deleteJob(id)
		return Entry{}, false
	}
	if _, ok := r.jobs[id]; ok {
		return Entry{}, false
	}
	e := &Entry{Offset: v.Offset}
	err := json.Unmarshal(v.Value, &e.Job)
	if err == nil {
		err = e.Job.Validate() // a leader relies on it
	}
	if err != nil {
		r.malformed[id] = true
		r.Malformed(v.Key, v.Offset, err)
		return Entry{}, false
	}
	delete(r.malformed, id)
	delete(r.leftovers, id)
	u, ok := r.unmatched[id]
	e.Progress, e.progressOffset, e.hasProgress = u.progress, u.offset, ok
	e.Cancelled = r.unmatchedCancels[id]
	delete(r.unmatched, id)
	delete(r.unmatchedCancels, id)
	r.jobs[id] = e
	return r.withOccurrences(e), true
}

// deleteJob removes a job. Its progress is left until that is deleted too.
func (r *Registrar) deleteJob(id string) {
	if e, ok := r.jobs[id]; ok && e.hasProgress {
		r.leftovers[id] = true
	}
	delete(r.jobs, id)
	delete(r.malformed, id)
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

func (r *Registrar) applyCancel(id string, v accessor.Record) bool {
	if len(v.Value) == 0 {
		delete(r.unmatchedCancels, id)
		return false
	}
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

// NextOffset returns the offset of the next record of a topic, and whether the topic
// has been read at all.
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

// Entries returns the entries of all jobs in log order.
func (r *Registrar) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Entry, 0, len(r.jobs))
	for _, e := range r.jobs {
		all = append(all, r.withOccurrences(e))
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Offset, b.Offset) })
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
