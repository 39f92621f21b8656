// Package registrar keeps what the store says of jobs. Every entry VM follows it
// and answers callers from it.
package registrar

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

// The topics of the product in the store.
const (
	TopicJobs     = "jobs"     // submissions and cancellations, by any VM
	TopicProgress = "progress" // by the leader alone
)

const (
	jobPrefix    = "job/"
	cancelPrefix = "cancel/"
)

// Entry is what is stored of a job.
type Entry struct {
	Job       scheduler.Job
	Offset    int64 // of its submission
	Progress  scheduler.Progress
	Cancelled bool

	Occurrences map[int]scheduler.Progress // of a scheduled job, in an entry that is handed out

	progressAt int64 // offset of the progress
}

// State returns where the job stands.
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

// early is progress of a job that was not read yet.
type early struct {
	progress scheduler.Progress
	offset   int64
}

// Registrar holds the jobs. Records may be taken again and out of order: what is
// newer stays. It is safe for concurrent use; its fields are set
// before records are taken.
type Registrar struct {
	Malformed func(key string, offset int64, err error) // told of records that can't be read
	Submitted func(Entry)                               // told of each new job, in log order
	Cancelled func(id string)                           // told of each new cancellation

	mu        sync.Mutex
	jobs      map[string]*Entry
	early     map[string]early // progress of jobs that were not read yet
	cancelled map[string]bool  // of jobs that were not read yet
	next      map[string]int64 // by topic: offset of the next record
}

// New returns a registrar that knows no job.
func New() *Registrar {
	return &Registrar{
		Malformed: func(string, int64, error) {},
		Submitted: func(Entry) {},
		Cancelled: func(string) {},
		jobs:      map[string]*Entry{},
		early:     map[string]early{},
		cancelled: map[string]bool{},
		next:      map[string]int64{},
	}
}

// TakeJobs takes in records of TopicJobs.
func (r *Registrar) TakeJobs(b tailer.Batch) {
	r.mu.Lock()
	var submitted []Entry
	var cancelled []string
	slices.SortStableFunc(b.Records, func(a, b accessor.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, v := range b.Records {
		id, isJob := strings.CutPrefix(v.Key, jobPrefix)
		if isJob {
			if e, ok := r.takeJob(id, v); ok {
				submitted = append(submitted, e)
			}
			continue
		}
		if id, ok := strings.CutPrefix(v.Key, cancelPrefix); ok && r.takeCancel(id, v) {
			cancelled = append(cancelled, id)
		}
	}
	r.advance(TopicJobs, b.Next)
	r.mu.Unlock()
	for _, e := range submitted {
		r.Submitted(e)
	}
	for _, id := range cancelled {
		r.Cancelled(id)
	}
}

func (r *Registrar) takeJob(id string, v accessor.Record) (Entry, bool) {
	if len(v.Value) == 0 {
		delete(r.jobs, id)
		return Entry{}, false
	}
	if _, ok := r.jobs[id]; ok {
		return Entry{}, false
	}
	e := &Entry{Offset: v.Offset}
	if err := json.Unmarshal(v.Value, &e.Job); err != nil {
		r.Malformed(v.Key, v.Offset, err)
		return Entry{}, false
	}
	e.Progress, e.progressAt = r.early[id].progress, r.early[id].offset
	e.Cancelled = r.cancelled[id]
	delete(r.early, id)
	delete(r.cancelled, id)
	r.jobs[id] = e
	return r.full(e), true
}

// full returns an entry with what is stored of its occurrences.
func (r *Registrar) full(e *Entry) Entry {
	n := *e
	for k := range e.Job.Times {
		p, ok := r.early[scheduler.OccurrenceID(e.Job.ID, k)]
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

func (r *Registrar) takeCancel(id string, v accessor.Record) bool {
	if len(v.Value) == 0 {
		delete(r.cancelled, id)
		return false
	}
	e, ok := r.jobs[id]
	if !ok {
		r.cancelled[id] = true
		return false
	}
	fresh := !e.Cancelled
	e.Cancelled = true
	return fresh
}

// TakeProgress takes in records of TopicProgress.
func (r *Registrar) TakeProgress(b tailer.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range b.Records {
		if len(v.Value) == 0 {
			delete(r.early, v.Key)
			continue
		}
		var p scheduler.Progress
		if err := json.Unmarshal(v.Value, &p); err != nil {
			r.Malformed(v.Key, v.Offset, err)
			continue
		}
		if e, ok := r.jobs[v.Key]; ok {
			if v.Offset >= e.progressAt {
				e.Progress, e.progressAt = p, v.Offset
			}
			continue
		}
		if old, ok := r.early[v.Key]; !ok || v.Offset >= old.offset {
			r.early[v.Key] = early{p, v.Offset}
		}
	}
	r.advance(TopicProgress, b.Next)
}

func (r *Registrar) advance(topic string, next int64) {
	r.next[topic] = max(r.next[topic], next)
}

// Next returns the offset of the next record of a topic, and whether the topic
// has been read at all.
func (r *Registrar) Next(topic string) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.next[topic]
	return n, ok
}

// Get returns what is stored of a job.
func (r *Registrar) Get(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.jobs[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns all jobs in log order.
func (r *Registrar) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Entry, 0, len(r.jobs))
	for _, e := range r.jobs {
		all = append(all, r.full(e))
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Offset, b.Offset) })
	return all
}

// Pending returns the number of jobs of a queue that have not begun.
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

// JobRecord returns the record of a submission.
func JobRecord(j scheduler.Job) (accessor.Record, error) {
	b, err := json.Marshal(j)
	if err != nil {
		return accessor.Record{}, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return accessor.Record{Key: jobPrefix + j.ID, Value: b}, nil
}

// CancelRecord returns the record of a cancellation.
func CancelRecord(id string) accessor.Record {
	return accessor.Record{Key: cancelPrefix + id, Value: []byte("1")}
}

// ForgetRecords returns the records that drop all that TopicJobs holds of a job.
func ForgetRecords(id string) []accessor.Record {
	return []accessor.Record{{Key: jobPrefix + id}, {Key: cancelPrefix + id}}
}

// ProgressRecord returns the record of the progress of a job.
func ProgressRecord(id string, p scheduler.Progress) (accessor.Record, error) {
	b, err := json.Marshal(p)
	if err != nil {
		return accessor.Record{}, fmt.Errorf("encode progress of job %s: %w", id, err)
	}
	return accessor.Record{Key: id, Value: b}, nil
}
