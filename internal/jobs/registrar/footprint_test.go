package registrar_test

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/admitter"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// heap returns the allocated memory in bytes.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// allocatedFor returns the memory that a leader keeps for a number of jobs.
func allocatedFor(t *testing.T, n int, job scheduler.Job) int64 {
	t.Helper()
	r := registrar.New()
	s := &scheduler.Scheduler{LeadingSince: time.Unix(0, 0)}
	now := time.Unix(0, 0)
	r.Submitted = func(e registrar.Entry) {
		s.Reduce(now, scheduler.Submitted{Job: e.Job, Offset: e.Offset})
	}
	s.Reduce(now)
	before := heap()
	for i := range n {
		job.ID = fmt.Sprintf("%016x", i)
		record, err := registrar.JobRecord(job)
		if err != nil {
			t.Fatal(err)
		}
		record.Offset = int64(i)
		r.ApplyJobs(tailer.Batch{Records: []accessor.Record{record}, Next: int64(i) + 1})
	}
	after := heap()
	runtime.KeepAlive(r)
	runtime.KeepAlive(s)
	return after - before
}

// Jobs of full size were kept until 150 s after their end, so that those of a busy deployment took
// all the room for accepted jobs.
func TestEndedJobsTakeLittle(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	kept := admitter.Size{}
	r.Kept = func(_, _ string, s admitter.Size) { kept = s }
	s := &scheduler.Scheduler{LeadingSince: time.Unix(0, 0)}
	r.Submitted = func(e registrar.Entry) {
		s.Reduce(time.Unix(1, 0), scheduler.Submitted{Job: e.Job, Offset: e.Offset, Progress: e.Progress})
	}
	record, err := registrar.JobRecord(scheduler.Job{ID: "j", Queue: "q", Spec: strings.Repeat("s", 4000), Steps: []scheduler.Step{{Tasks: 500}}})
	is.NoErr(err)
	r.ApplyJobs(tailer.Batch{Records: []accessor.Record{record}, Next: 1})
	full := kept
	end := time.Unix(100, 0)
	progress, err := registrar.ProgressRecord("j", scheduler.Progress{State: scheduler.StateCompleted, EndedMS: end.UnixMilli()})
	is.NoErr(err)
	r.ApplyProgress(tailer.Batch{Records: []accessor.Record{progress}, Next: 1})
	r.ForgetSteps(end.Add(30 * time.Second))
	is.Equal(kept, full) // a run of it may still be stopping
	r.ForgetSteps(end.Add(31 * time.Second))
	is.True(kept.Memory < full.Memory/20)
	is.Equal(kept.Stored, full.Stored)
	e, ok := r.Get("j")
	is.True(ok)
	is.Equal(e.State(), scheduler.StateCompleted)

	// A new leader starts nothing of it, and deletes it in time.
	s = &scheduler.Scheduler{LeadingSince: end}
	deleted := false
	for now := end.Add(40 * time.Second); now.Before(end.Add(200 * time.Second)); now = now.Add(time.Second) {
		events := []scheduler.Event{scheduler.Ticked{}}
		if now.Equal(end.Add(40 * time.Second)) {
			events = []scheduler.Event{scheduler.Submitted{Job: e.Job, Inherited: true, Progress: e.Progress}}
		}
		for _, f := range s.Reduce(now, events...) {
			d, ok := f.(scheduler.DeleteJobs)
			deleted = deleted || (ok && slices.Equal(d.Jobs, []string{"j"}))
		}
	}
	is.True(deleted)
}

// A leader kept 264 bytes for each task of a job that had ended.
func TestLeaderForgetsTheTasksOfEndedJobs(t *testing.T) {
	s := &scheduler.Scheduler{LeadingSince: time.Unix(0, 0)}
	now := time.Unix(1, 0)
	s.Reduce(now)
	const jobs, tasks = 20, 10_000
	before := heap()
	for i := range jobs {
		id := strconv.Itoa(i)
		s.Reduce(now, scheduler.Submitted{Job: scheduler.Job{ID: id, Steps: []scheduler.Step{{Tasks: tasks}}}}, scheduler.Cancelled{Job: id})
	}
	full := heap() - before
	stored := []scheduler.Event{scheduler.Stored{}} // of the first job
	for range 40 {
		now = now.Add(time.Second)
		effects := s.Reduce(now, append(stored, scheduler.Ticked{})...)
		stored = nil
		if slices.ContainsFunc(effects, func(e scheduler.Effect) bool { _, ok := e.(scheduler.Store); return ok }) {
			stored = []scheduler.Event{scheduler.Stored{}}
		}
	}
	left := heap() - before
	runtime.KeepAlive(s)
	t.Logf("%d bytes, %d after 40 s", full, left)
	if full < jobs*tasks*200 || left > full/10 {
		t.Errorf("the jobs took %d bytes, and %d after they had ended", full, left)
	}
}

// A job that takes more memory than is counted lets accepted jobs exceed the limit.
func TestFootprintCoversWhatIsAllocated(t *testing.T) {
	step := scheduler.Step{Tasks: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 1}, EstimateMS: 500}
	tasks := step
	tasks.Tasks = 2000
	label := step
	label.Label = strings.Repeat("l", 20_000)
	steps := make([]scheduler.Step, 256)
	for i := range steps {
		steps[i] = step
		steps[i].After = make([]int, i/16)
	}
	for _, c := range []struct {
		name string
		n    int
		job  scheduler.Job
	}{
		{"smallest", 4000, scheduler.Job{Steps: []scheduler.Step{step}}},
		{"largest spec", 1000, scheduler.Job{Spec: strings.Repeat("s", 4000), Steps: []scheduler.Step{step, step}}},
		{"many tasks", 50, scheduler.Job{Steps: []scheduler.Step{tasks, tasks}}},
		{"many steps", 50, scheduler.Job{Steps: steps}},
		{"long label", 200, scheduler.Job{Steps: []scheduler.Step{label}}},
		{"many occurrences", 20, scheduler.Job{Steps: steps[:4], Times: 200, FirstMS: 1e12, IntervalMS: 1000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.job.Queue, c.job.Organisation, c.job.QueueConfig = "queue", "organisation", scheduler.Queue{Service: "service", MaxAttempts: 3, Stretch: 2}
			got, counted := allocatedFor(t, c.n, c.job)/int64(c.n), c.job.Footprint()
			t.Logf("a job takes %d bytes, %d are counted", got, counted)
			if got > counted {
				t.Errorf("a job takes %d bytes, and only %d are counted", got, counted)
			}
		})
	}
}
