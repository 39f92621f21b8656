package placer

// Fragmentation returns the share of the free accelerators, from 0 to 1, that
// no waiting gang can use as they lie: of all gangs, the one that could use
// most counts. It is 0 when none is free or no gang that needs any waits.
func Fragmentation(workers []Worker, waiting []Request) float64 {
	free := 0
	for _, w := range workers {
		free += max(0, w.Free.Accelerators)
	}
	usable, asked := 0, false
	for _, r := range waiting {
		if r.PerTask.Accelerators > 0 && r.Tasks > 0 {
			asked = true
			usable = max(usable, usableBy(r, workers))
		}
	}
	if free == 0 || !asked {
		return 0
	}
	return float64(free-usable) / float64(free)
}

// usableBy returns how many free accelerators gangs like r could hold at once.
func usableBy(r Request, workers []Worker) int {
	gangs := 0
	for _, g := range groupsOf(r.Adjacency, workers) {
		gangs += tasksIn(r.PerTask, g.workers) / r.Tasks
	}
	return gangs * r.Total().Accelerators
}
