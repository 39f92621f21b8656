package registrar_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

const storedJob = `{"id":"j","steps":[{"tasks":1}]}`

func batch(next int64, records ...accessor.Record) tailer.Batch {
	return tailer.Batch{Records: records, Next: next}
}

// A submission without an answer may be in two partitions. It must be one job, its cancellation
// must count wherever it is, and it must be gone once partition 0 tells of its deletion, which a
// VM may not read from the other one.
func TestJobInTwoPartitionsIsOneJob(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	submitted, cancelled := 0, 0
	r.Submitted = func(registrar.Entry) { submitted++ }
	r.Cancelled = func(string) { cancelled++ }
	job := accessor.Record{Key: "job/j", Value: []byte(storedJob)}
	r.ApplyJobsOf(2, batch(1, accessor.Record{Key: "cancel/j", Value: []byte("1")})) // it overtakes its job
	r.ApplyJobsOf(3, batch(1, job))
	r.ApplyJobsOf(0, batch(1, job))
	is.Equal(submitted, 1)
	e, ok := r.Get("j")
	is.True(ok && e.Cancelled)
	is.Equal(cancelled, 0) // its submission was reported as cancelled
	is.Equal(r.Elsewhere([]string{"j"}), map[int][]string{2: {"j"}, 3: {"j"}})
	r.ApplyJobsOf(0, batch(3, accessor.Record{Offset: 1, Key: "job/j"}, accessor.Record{Offset: 2, Key: "cancel/j"}))
	_, ok = r.Get("j")
	is.True(!ok)
	is.Equal(len(r.Elsewhere([]string{"j"})), 0)
}

// A VM that reads a partition after long finds a job and its deletion in one read, or neither in
// a snapshot. The job must not be reported: without its progress it would run again.
func TestDeletedJobOfAnotherPartitionDoesNotReturn(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Submitted = func(e registrar.Entry) { t.Errorf("job %s of partition %d is reported", e.Job.ID, e.Part) }
	r.Cancelled = func(id string) { t.Errorf("the cancellation of %s is reported", id) }
	job := accessor.Record{Key: "job/j", Value: []byte(storedJob)}
	cancel := accessor.Record{Offset: 1, Key: "cancel/j", Value: []byte("1")}
	r.ApplyJobsOf(1, batch(4, job, cancel, accessor.Record{Offset: 2, Key: "job/j"}, accessor.Record{Offset: 3, Key: "cancel/j"}))
	r.ApplyJobsOf(1, batch(2, job)) // a late reader's
	is.Equal(len(r.Entries()), 0)
	submitted := 0
	r.Submitted = func(registrar.Entry) { submitted++ }
	job.Offset = 4 // submitted again
	r.ApplyJobsOf(1, batch(5, job))
	is.Equal(submitted, 1)
	r.ApplyJobsOf(1, tailer.Batch{Snapshot: true, Next: 9})
	is.Equal(len(r.Entries()), 0)
}

// The snapshot of one partition says nothing of a job that another one holds.
func TestSnapshotRemovesOnlyJobsOfItsPartition(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	job := accessor.Record{Key: "job/j", Value: []byte(storedJob)}
	r.ApplyJobsOf(1, batch(1, job))
	r.ApplyJobsOf(0, tailer.Batch{Snapshot: true, Next: 7})
	is.Equal(len(r.Entries()), 1)
	job.Offset = 7
	r.ApplyJobsOf(0, batch(8, job))
	r.ApplyJobsOf(1, tailer.Batch{Snapshot: true, Next: 3})
	is.Equal(len(r.Entries()), 1)
	r.ApplyJobsOf(0, tailer.Batch{Snapshot: true, Next: 9})
	is.Equal(len(r.Entries()), 0)
}
