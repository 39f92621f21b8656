package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/ranker"
)

// useWindow is the time constant of the mean use of an organisation. The use at one moment
// misses an organisation whose runs have just ended.
const useWindow = 10 * time.Second

// kindUsage is what the urgent jobs, or the others, of organisations use.
type kindUsage struct {
	cores   map[string]float64 // weighted, by organisation, as of the last pass
	mean    map[string]float64 // over the last useWindow
	total   float64            // of the means
	present map[string]bool    // organisations with jobs that have not ended
}

// usageOf returns the usage of urgent jobs, or of the others.
func (s *Scheduler) usageOf(urgent bool) *kindUsage {
	if s.usageKinds == nil {
		s.usageKinds = map[bool]*kindUsage{true: {mean: map[string]float64{}}, false: {mean: map[string]float64{}}}
	}
	return s.usageKinds[urgent]
}

// updateUsage updates what the jobs of organisations use.
func (s *Scheduler) updateUsage(now time.Time) {
	weight := 1 - math.Exp(-now.Sub(s.usedAt).Seconds()/useWindow.Seconds())
	s.usedAt = now
	for _, urgent := range []bool{false, true} {
		k := s.usageOf(urgent)
		for o, mean := range k.mean {
			k.mean[o] = mean + weight*(k.cores[o]-mean)
			if k.mean[o] < minMeanUse && k.cores[o] == 0 {
				delete(k.mean, o)
			}
		}
		k.cores, k.present = map[string]float64{}, map[string]bool{}
	}
	for _, j := range s.active {
		k := s.usageOf(j.urgent())
		k.present[j.Organisation] = true
		for _, st := range j.steps {
			k.cores[j.Organisation] += float64(len(st.tasks)-st.waiting-st.succeeded) * weightedCores(st.Need)
		}
		k.mean[j.Organisation] += 0 // it takes part in the mean from now on
	}
	for _, urgent := range []bool{false, true} {
		k := s.usageOf(urgent)
		k.total = 0
		for _, o := range sortedKeys(k.mean) { // in order, as the sum depends on it
			k.total += k.mean[o]
		}
	}
}

// minMeanUse is the number of weighted cores below which an organisation without jobs is
// forgotten.
const minMeanUse = 0.1

// usedShare returns the share of an organisation in the mean use.
func (k *kindUsage) usedShare(organisation string) float64 {
	if k.total <= 0 {
		return 0
	}
	return k.mean[organisation] / k.total
}

// rankOf returns the place of a job in the order of value. used has the accelerators of urgent
// jobs by organisation.
func (s *Scheduler) rankOf(now time.Time, j *job, used map[string]int) ranker.Rank {
	v := s.ranked(j)
	v.Guaranteed = v.Urgent && used[j.Organisation]+j.waitingAccelerators() <= s.config.Guaranteed[j.Organisation]
	k := s.usageOf(v.Urgent)
	v.UsedShare, v.EvenShare = k.usedShare(j.Organisation), 1/float64(max(1, len(k.present)))
	return ranker.Of(now, v)
}

// ranked returns what the order of a job depends on, without what others use.
func (*Scheduler) ranked(j *job) ranker.Job {
	return ranker.Job{Urgent: j.urgent(), Endless: j.runsUntilCancelled(), AcceptedAt: j.acceptedAt, Objective: j.objective(), Remaining: j.remainingPath()}
}

// remainingPath returns the duration of the longest chain of steps that have not succeeded.
func (j *job) remainingPath() time.Duration {
	if len(j.steps) == 1 {
		return j.criticalPath
	}
	return j.longestChain(func(s *step) bool { return s.succeeded < len(s.tasks) })
}

// waitingAccelerators returns the accelerators of the tasks of ready steps that need a worker.
func (j *job) waitingAccelerators() int {
	n := 0
	for _, s := range j.steps {
		if s.waiting > 0 && j.ready(s) {
			n += s.waiting * s.Need.Accelerators
		}
	}
	return n
}

// hasWaiting reports whether a task of a ready step needs a worker.
func (j *job) hasWaiting() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.waiting > 0 && j.ready(s) })
}
