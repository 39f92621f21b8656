package placer

import "fmt"

// InfeasibleError says why a request can never be placed, even on idle workers.
type InfeasibleError struct {
	Request  Request
	Resource string // what is short: "accelerators", "memory-mb", "milli-cores" or "workers"
	Nearest  string // the worker or rack that comes nearest, "" for all workers together
	Tasks    int    // how many of the request's tasks fit there
}

// Error names the resource that is short, the adjacency and the nearest miss.
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
	return nearestMiss(r, idle)
}

// nearestMiss finds the place that holds most tasks of r, and what it is short
// of.
func nearestMiss(r Request, idle []Worker) *InfeasibleError {
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
	e.Resource = shortest(r, groups[best].workers)
	return e
}

// group is a set of workers among which the tasks of a gang may be spread.
type group struct {
	name    string // worker or rack, "" when it has all workers
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
	numbers := make(map[string]int)
	for _, w := range workers {
		i, ok := numbers[w.Rack]
		if !ok {
			i = len(groups)
			numbers[w.Rack] = i
			groups = append(groups, group{name: w.Rack})
		}
		groups[i].workers = append(groups[i].workers, w)
	}
	return groups
}

// tasksIn returns how many tasks of a size fit on the workers.
func tasksIn(need Resources, workers []Worker) int {
	n := 0
	for _, w := range workers {
		n += Count(need, w.Free)
	}
	return n
}

// shortest names the resource of which the workers hold the fewest tasks.
func shortest(r Request, workers []Worker) string {
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
