package scheduler

const (
	smallestWorth = 0.3  // of a job of no size, against one of mean size
	sizeWeight    = 0.7  // what the rest of its worth grows with
	largestWorth  = 4.0  // of the largest jobs
	meanWeight    = 0.05 // of each new job in the mean of its queue
)

// work returns the core-seconds of a job by its declared durations.
func (j *job) work() float64 {
	sum := 0.0
	for _, s := range j.steps {
		sum += float64(len(s.tasks)) * cores(s.Need) * float64(s.EstimateMS) / 1000
	}
	return sum
}

// learn takes the size of a new job into the mean of its queue.
func (s *Scheduler) learn(j *job) {
	if s.meanWork == nil {
		s.meanWork = map[string]float64{}
	}
	w := j.work()
	if mean, ok := s.meanWork[j.Queue]; ok {
		w = mean + meanWeight*(w-mean)
	}
	s.meanWork[j.Queue] = w
}

// worth returns what a job is worth against one of mean size in its queue.
func (s *Scheduler) worth(j *job) float64 {
	mean := s.meanWork[j.Queue]
	if mean <= 0 {
		return 1
	}
	return min(largestWorth, smallestWorth+sizeWeight*j.work()/mean)
}
