package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Values that overflow were accepted: the longest estimates counted as none, so their jobs were due at
// once and came before others.
func TestSubmissionsThatOverflowAreRejected(t *testing.T) {
	is := is.New(t)
	step := Step{Tasks: 1, EstimateMS: 366 * 24 * 3600 * 1000, Need: placer.Resources{MilliCores: 1 << 40}}
	valid := Job{Times: 1000, FirstMS: 4_000_000_000_000, IntervalMS: 1000, Steps: []Step{step, step}}
	valid.Steps[1].After = []int{0}
	is.NoErr(valid.ValidateSubmission())
	is.True(newJob(Job{Steps: valid.Steps}, false).criticalPath > 0)
	is.Equal(newJob(Job{Steps: []Step{{Tasks: 1, EstimateMS: math.MaxInt64}}}, false).criticalPath, time.Duration(0)) // what is rejected
	for _, change := range []func(*Job, *Step){
		func(_ *Job, s *Step) { s.EstimateMS = math.MaxInt64 },
		func(_ *Job, s *Step) { s.EstimateMS = -1 },
		func(_ *Job, s *Step) { s.Need.MilliCores = math.MaxInt64 },
		func(_ *Job, s *Step) { s.Need.MemoryMB = math.MaxInt64 },
		func(_ *Job, s *Step) { s.PerWorker = -1 },
		func(_ *Job, s *Step) { s.MaxUnavailable = -1 },
		func(_ *Job, s *Step) { s.TargetMS = -1 },
		func(j *Job, _ *Step) { j.FirstMS = -1 },
		func(j *Job, _ *Step) { j.FirstMS = math.MaxInt64 },
		func(j *Job, _ *Step) { j.IntervalMS = math.MaxInt64 },
	} {
		j := valid
		j.Steps = []Step{step}
		change(&j, &j.Steps[0])
		is.NoErr(j.Validate()) // readers keep what is stored
		is.True(j.ValidateSubmission() != nil)
	}
}
