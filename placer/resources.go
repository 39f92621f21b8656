// Package placer chooses the workers on which the tasks of a gang run.
//
// It performs no I/O, reads no clock and keeps no state, so it can be embedded
// without the daemon.
package placer

// Resources is an amount of resources that a worker offers or a task needs.
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

// Minus returns r less o; amounts may become negative.
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

// Adjacency is the topology constraint of a gang: how close together its tasks
// must run.
type Adjacency string

// The adjacencies, from least to most restrictive.
const (
	AdjacencyNone   Adjacency = "none"   // any workers
	AdjacencyRack   Adjacency = "rack"   // one rack
	AdjacencyWorker Adjacency = "worker" // one worker
)

// Request is the resource request of a gang.
type Request struct {
	Tasks     int       `json:"tasks"`     // number of tasks; all are placed or none
	PerTask   Resources `json:"per-task"`  // resources of each task
	Adjacency Adjacency `json:"adjacency"` // topology constraint on all tasks
}

// Total returns the resources of the whole gang.
func (r Request) Total() Resources { return r.PerTask.Times(r.Tasks) }

// Worker is the placer's view of a worker.
type Worker struct {
	ID       string
	Rack     string
	Zone     string // availability zone
	Capacity Resources
	Free     Resources
}

// Placement lists the worker id of each task, by task number.
type Placement []string
