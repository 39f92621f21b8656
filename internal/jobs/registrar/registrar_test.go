package registrar_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

// A record that no VM of ours can have written must neither end the leader, which computes
// with the numbers in it, nor keep other jobs from being read.
func TestImpossibleJobsAreSkipped(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	malformed := map[string]bool{}
	r.Malformed = func(key string, _ int64, err error) {
		is.True(err != nil)
		malformed[key] = true
	}
	s := &scheduler.Scheduler{Epoch: 1}
	submitted := 0
	r.Submitted = func(e registrar.Entry) {
		submitted++
		s.Reduce(time.Unix(1_000_000, 0), scheduler.Submitted{Job: e.Job, Offset: e.Offset, Progress: e.Progress})
	}
	var records []accessor.Record
	for i, v := range []string{
		`{"id":"j0","steps":[{"tasks":-1}]}`,
		`{"id":"j1","steps":[{"tasks":1,"after":[7]}]}`,
		`{"id":"j2","steps":[{"tasks":99999999999}]}`,
		`{"id":"j3","steps":[{"tasks":1}],"times":-5}`,
		`{"id":"j4","steps":[{"tasks":1e99}]}`,
		`{"id":"j5","steps":[{"tasks":1}]}`,
	} {
		records = append(records, accessor.Record{Offset: int64(i), Key: "job/j" + string(rune('0'+i)), Value: []byte(v)})
	}
	r.ApplyJobs(tailer.Batch{Records: records, Next: int64(len(records))})
	is.Equal(submitted, 1)
	is.Equal(len(malformed), 5)
}

// A leader ignores the cancellation of a job that it has not been told of, so two readers of
// the topic must not report a job and its cancellation in the wrong order.
func TestCancellationReadByAnotherReaderIsReportedAfterItsJob(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	reporting, goOn := make(chan struct{}), make(chan struct{})
	var reported []string
	r.Submitted = func(registrar.Entry) {
		close(reporting)
		<-goOn
		reported = append(reported, "submitted")
	}
	r.Cancelled = func(string) { reported = append(reported, "cancelled") }
	first, second := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(first)
		r.ApplyJobs(tailer.Batch{Records: []accessor.Record{{Key: "job/j", Value: []byte(`{"id":"j","steps":[{"tasks":1}]}`)}}, Next: 1})
	}()
	<-reporting
	go func() {
		defer close(second)
		r.ApplyJobs(tailer.Batch{Records: []accessor.Record{{Offset: 1, Key: "cancel/j", Value: []byte("1")}}, Next: 2})
	}()
	select {
	case <-second:
	case <-time.After(100 * time.Millisecond): // the second reader waits for the first one
	}
	close(goOn)
	<-first
	<-second
	is.Equal(reported, []string{"submitted", "cancelled"})
}

// A reader that was paused may apply a job that another one has read and seen deleted since.
// Its progress is deleted too, so a leader would run the job again.
func TestDeletedJobDoesNotReturnWithALateReader(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	job := accessor.Record{Key: "job/j", Value: []byte(`{"id":"j","steps":[{"tasks":1}]}`)}
	r.ApplyJobs(tailer.Batch{Records: []accessor.Record{job, {Offset: 1, Key: "job/j"}}, Next: 2})
	r.ApplyJobs(tailer.Batch{Records: []accessor.Record{job}, Next: 1})
	is.Equal(len(r.Entries()), 0)
	job.Offset = 2 // submitted again
	r.ApplyJobs(tailer.Batch{Records: []accessor.Record{job}, Next: 3})
	is.Equal(len(r.Entries()), 1)
}

// A leader may end between the deletion of a job and that of its progress. The progress of a
// job that exists must not be deleted with it, even if this VM can't decode the job.
func TestProgressOfDeletedJobsIsLeftOver(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	valid, ended := []byte(`{"id":"j","steps":[{"tasks":1}]}`), []byte(`{"state":"completed"}`)
	r.ApplyProgress(tailer.Batch{Records: []accessor.Record{
		{Key: "unread", Value: ended},
		{Offset: 1, Key: "malformed", Value: ended},
		{Offset: 2, Key: "present", Value: ended},
		{Offset: 3, Key: "present#1", Value: ended},
		{Offset: 4, Key: "deleted", Value: ended},
		{Offset: 5, Key: "deleted#1", Value: ended},
		{Offset: 6, Key: "running", Value: []byte(`{"state":"running"}`)},
		{Offset: 7, Key: "repeated", Value: ended},
		{Offset: 8, Key: "gone", Value: ended},
	}, Next: 9})
	r.ApplyJobs(tailer.Batch{Records: []accessor.Record{
		{Key: "job/malformed", Value: []byte("{")},
		{Offset: 1, Key: "job/present", Value: valid},
		{Offset: 2, Key: "job/deleted", Value: valid},
		{Offset: 3, Key: "job/deleted"},
		{Offset: 4, Key: "job/repeated", Value: valid},
		{Offset: 5, Key: "job/repeated"},
		{Offset: 6, Key: "job/repeated", Value: valid},
		{Offset: 7, Key: "job/gone", Value: valid},
		{Offset: 8, Key: "job/gone"},
	}, Next: 9})
	r.ApplyProgress(tailer.Batch{Records: []accessor.Record{{Offset: 9, Key: "gone"}}, Next: 10})
	is.Equal(r.RemoveLeftovers(), []string{"deleted", "deleted#1", "unread"})
	is.Equal(len(r.RemoveLeftovers()), 0)
}
