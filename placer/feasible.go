package placer

import "fmt"

// InfeasibleError reports a request that can never be placed, even if all
// workers are idle.
type InfeasibleError struct {
	Request  Request
	Resource string // resource in shortage: "accelerators", "memory-mb", "milli-cores" or "workers"
	Nearest  string // worker or rack that fits most tasks; "" for all workers together
	Tasks    int    // how many tasks of the request fit there
}

// Error names the resource in shortage, the adjacency and the nearest fit.
func (e *InfeasibleError) Error() string {
	place := "all workers together"
	switch {
	case e.Nearest == "":
	case e.Request.Adjacency == AdjacencyRack:
		place = fmt.Sprintf("rack %q", e.Nearest)
	default:
		place = fmt.Sprintf("worker %q", e.Nearest)
	}
	return fmt.Sprintf("place gang of %d tasks with adjacency %q: short of %s: nearest is %s, which can hold %d of %d tasks when idle",
		e.Request.Tasks, e.Request.Adjacency, e.Resource, place, e.Tasks, e.Request.Tasks)
}

// Feasible reports whether r could be placed if every worker were idle. The
// error is an *InfeasibleError.
func Feasible(r Request, workers []Worker) error {
	idle := make([]Worker, len(workers))
	for i, w := range workers {
		w.Free = w.Capacity
		idle[i] = w
	}
	if _, ok := Place(r, idle); ok {
		return nil
	}
	return nearestFit(r, idle)
}

// nearestFit finds the group that fits most tasks of r, and the resource that
// it lacks.
func nearestFit(r Request, idle []Worker) *InfeasibleError {
	e := &InfeasibleError{Request: r}
	groups := groupsOf(r.Adjacency, idle)
	best := -1
	for i, g := range groups {
		if n := tasksIn(r.PerTask, g.workers); best < 0 || n > e.Tasks {
			best, e.Tasks = i, n
		}
	}
	if best < 0 {
		return e
	}
	e.Nearest = groups[best].name
	e.Resource = scarcestResource(r, groups[best].workers)
	return e
}

// group is a set of workers that satisfies the adjacency.
type group struct {
	name    string // of the worker or rack; "" for the group of all workers
	workers []Worker
}

func groupsOf(a Adjacency, workers []Worker) []group {
	switch a {
	case AdjacencyWorker:
		var groups []group
		for i, w := range workers {
			groups = append(groups, group{name: w.ID, workers: workers[i : i+1]})
		}
		return groups
	case AdjacencyRack:
		return racksOf(workers)
	case AdjacencyNone:
		return []group{{workers: workers}}
	default:
		return []group{{workers: workers}}
	}
}

func racksOf(workers []Worker) []group {
	var groups []group
	rackIndex := make(map[string]int)
	for _, w := range workers {
		i, ok := rackIndex[w.Rack]
		if !ok {
			i = len(groups)
			rackIndex[w.Rack] = i
			groups = append(groups, group{name: w.Rack})
		}
		groups[i].workers = append(groups[i].workers, w)
	}
	return groups
}

// tasksIn returns how many tasks that each need the resources fit on the
// workers.
func tasksIn(need Resources, workers []Worker) int {
	n := 0
	for _, w := range workers {
		n += TasksThatFit(need, w.Free)
	}
	return n
}

// scarcestResource returns the resource that limits the workers to the fewest
// tasks.
func scarcestResource(r Request, workers []Worker) string {
	needs := []struct {
		name string
		need Resources
	}{
		{"accelerators", Resources{Accelerators: r.PerTask.Accelerators}},
		{"memory-mb", Resources{MemoryMB: r.PerTask.MemoryMB}},
		{"milli-cores", Resources{MilliCores: r.PerTask.MilliCores}},
	}
	name, fewest := "workers", unlimitedTasks
	for _, n := range needs {
		if c := tasksIn(n.need, workers); c < fewest {
			name, fewest = n.name, c
		}
	}
	return name
}
