package scheduler

import "fmt"

const (
	maxSteps       = 256   // bounds the cost of one submission
	maxTasks       = 10000 // of one step
	maxOccurrences = 1000  // occurrences of one job
)

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
