// Package placer chooses the workers on which the tasks of a gang run.
//
// It decides only: it does no I/O, reads no clock and keeps no state, so it can
// be embedded without the daemon.
package placer

// Resources is an amount of what a worker offers and a task needs.
type Resources struct {
	MilliCores   int `json:"milli-cores"`  // thousandths of a processor core
	MemoryMB     int `json:"memory-mb"`    // mebibytes
	Accelerators int `json:"accelerators"` // whole devices
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + o.MilliCores,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns r less o; an amount may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - o.MilliCores,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{
		MilliCores:   r.MilliCores * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores &&
		r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators
}

// Adjacency says how close together the tasks of a gang must run.
type Adjacency string

// The adjacencies, from the loosest to the closest.
const (
	AdjacencyNone   Adjacency = "none"   // anywhere
	AdjacencyRack   Adjacency = "rack"   // all in one rack
	AdjacencyWorker Adjacency = "worker" // all on one worker
)

// Request is what a gang needs before it can start.
type Request struct {
	Tasks     int       `json:"tasks"`     // number of tasks, all or none
	PerTask   Resources `json:"per-task"`  // need of each task
	Adjacency Adjacency `json:"adjacency"` // closeness of all tasks
}

// Total returns the need of the whole gang.
func (r Request) Total() Resources { return r.PerTask.Times(r.Tasks) }

// Worker is what the placer knows of one worker.
type Worker struct {
	ID       string
	Rack     string
	Zone     string // availability zone
	Capacity Resources
	Free     Resources
}

// Placement names the worker of each task, by task number.
type Placement []string
