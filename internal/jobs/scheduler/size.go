package scheduler

const (
	minJobValue  = 0.3  // of a job of no size, relative to a job of mean size
	sizeWeight   = 0.7  // of the relative size in the value
	maxJobValue  = 4.0  // limit for large jobs
	newJobWeight = 0.05 // of each new job in the mean size of its queue
)

// declaredWork returns the core-seconds of a job by its declared durations.
func (j *job) declaredWork() float64 {
	sum := 0.0
	for _, s := range j.steps {
		sum += float64(len(s.tasks)) * weightedCores(s.Need) * float64(s.EstimateMS) / 1000
	}
	return sum
}

// updateMeanWork adds the size of a new job to the mean of its queue.
func (s *Scheduler) updateMeanWork(j *job) {
	if len(j.Steps) == 0 {
		return // it ended long ago
	}
	if s.meanWork == nil {
		s.meanWork = map[string]float64{}
	}
	w := j.declaredWork()
	if mean, ok := s.meanWork[j.Queue]; ok {
		w = mean + newJobWeight*(w-mean)
	}
	s.meanWork[j.Queue] = w
}

// relativeValue returns the value of a job relative to a job of mean size in its
// queue.
func (s *Scheduler) relativeValue(j *job) float64 {
	mean := s.meanWork[j.Queue]
	if mean <= 0 {
		return 1
	}
	return min(maxJobValue, minJobValue+sizeWeight*j.declaredWork()/mean)
}
