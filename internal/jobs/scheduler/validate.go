package scheduler

import (
	"fmt"
	"time"
)

const (
	maxSteps       = 256   // bounds the cost of one submission
	maxTasks       = 10000 // of one step
	maxOccurrences = 1000  // occurrences of one job
)

// Limits of what a caller may declare. They keep sums and products of the values from overflowing.
const (
	maxDuration  = 366 * 24 * time.Hour // of a task, or between two occurrences
	maxResources = 1 << 40              // millicores, MB or accelerators of a task
	maxFirstMS   = 1 << 53              // Unix time of the first occurrence
)

// ValidateSubmission returns an error for a job that must not be accepted. Jobs that are stored
// need to pass Validate only: an earlier version may have accepted them.
func (j Job) ValidateSubmission() error {
	if err := j.Validate(); err != nil {
		return err
	}
	if j.FirstMS < 0 || j.FirstMS > maxFirstMS || j.IntervalMS > maxDuration.Milliseconds() {
		return fmt.Errorf("job starts at %d ms and every %d ms, want 0 to %d and at most %d", j.FirstMS, j.IntervalMS, int64(maxFirstMS), maxDuration.Milliseconds())
	}
	for i, s := range j.Steps {
		if d := int64(s.EstimateMS); d < 0 || d > maxDuration.Milliseconds() {
			return fmt.Errorf("step %d declares tasks of %d ms, want 0 to %d", i, d, maxDuration.Milliseconds())
		}
		if n := s.Need; max(n.MilliCores, n.MemoryMB, n.Accelerators) > maxResources {
			return fmt.Errorf("step %d needs more than %d of a resource", i, int64(maxResources))
		}
		if s.PerWorker < 0 || s.MaxUnavailable < 0 || s.TargetMS < 0 {
			return fmt.Errorf("step %d has a negative limit", i)
		}
	}
	return nil
}

// Validate returns an error for a job that can't be run.
func (j Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("job has %d steps, want 1 to %d", len(j.Steps), maxSteps)
	}
	if j.Times < 0 || j.Times > maxOccurrences || j.IntervalMS < 0 {
		return fmt.Errorf("job has %d occurrences every %d ms, want 0 to %d and no negative interval", j.Times, j.IntervalMS, maxOccurrences)
	}
	for i, s := range j.Steps {
		if s.Tasks < 1 || s.Tasks > maxTasks {
			return fmt.Errorf("step %d has %d tasks, want 1 to %d", i, s.Tasks, maxTasks)
		}
		if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
			return fmt.Errorf("step %d has a negative resource requirement", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d depends on step %d, want an earlier step", i, a)
			}
		}
	}
	return nil
}
