package registrar_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

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
	memory := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := memory()
	for i := range n {
		job.ID = fmt.Sprintf("%016x", i)
		record, err := registrar.JobRecord(job)
		if err != nil {
			t.Fatal(err)
		}
		record.Offset = int64(i)
		r.ApplyJobs(tailer.Batch{Records: []accessor.Record{record}, Next: int64(i) + 1})
	}
	after := memory()
	runtime.KeepAlive(r)
	runtime.KeepAlive(s)
	return after - before
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
