package placer

// Fragmentation returns the fraction of the free accelerators, from 0 to 1,
// that no waiting gang can use on their current workers. Only the gang that
// could use most of them counts. It is 0 if no accelerator is free, or no
// waiting gang needs any.
func Fragmentation(workers []Worker, waiting []Request) float64 {
	free := 0
	for _, w := range workers {
		free += max(0, w.Free.Accelerators)
	}
	usable, anyWaiting := 0, false
	for _, r := range waiting {
		if r.PerTask.Accelerators > 0 && r.Tasks > 0 {
			anyWaiting = true
			usable = max(usable, usableAccelerators(r, workers))
		}
	}
	if free == 0 || !anyWaiting {
		return 0
	}
	return float64(free-usable) / float64(free)
}

// usableAccelerators returns how many free accelerators gangs like r could hold
// at once.
func usableAccelerators(r Request, workers []Worker) int {
	gangs := 0
	for _, g := range groupsOf(r.Adjacency, workers) {
		gangs += tasksIn(r.PerTask, g.workers) / r.Tasks
	}
	return gangs * r.Total().Accelerators
}
