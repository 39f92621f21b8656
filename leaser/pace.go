package leaser

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// The timing of renewal calls to workers.
const (
	// CallTimeout is how long a VM waits for the answer to a renewal call.
	CallTimeout = 1 * time.Second
	// CallTick is the interval at which a VM checks which workers are due.
	CallTick = 250 * time.Millisecond
	// CallInterval is the time between calls to a worker that is not steady, or
	// while jobs are queued, so that ended tasks are noticed within about a
	// second.
	CallInterval = 1 * time.Second
	// SteadyInterval is the time between calls to a steady worker: the longest
	// for which a new reading arrives before the last one exceeds MaxCountAge.
	// A call starts up to CallTick late, and its answer takes up to
	// CallTimeout. The leader, which calls a worker itself once its report is
	// as old as MaxCountAge, has the new report by then too, as long as a call
	// takes less than CallTimeout.
	//
	// A failed call is repeated after CallInterval. Until one succeeds, the
	// worker's tasks are not counted and its gangs are not renewed. Each
	// failure uses up CallInterval of a lease of 15 s, so that four consecutive
	// calls may fail.
	//
	// The bound on how long an incomplete gang runs, TTL + 2*MaxCountAge, does
	// not depend on it: it depends on the age of readings and reports, not on
	// the time of the next call.
	SteadyInterval = MaxCountAge - CallTimeout - CallTick
)

// Steady reports whether all leases of a worker are running.
func (i Inventory) Steady() bool {
	return !slices.ContainsFunc(i.Leases, func(l Lease) bool { return l.State != StateRunning })
}

// CallDue reports whether a worker that was last called at last is to be called
// at now. Each worker has its own phase within the interval, from the hash of
// its name, so that calls are spread evenly for any interval.
func CallDue(now, last time.Time, worker string, interval time.Duration) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(worker))
	phase := time.Duration(mix(binary.BigEndian.Uint64(h.Sum(nil))) % uint64(interval))
	slot := func(t time.Time) int64 { return t.Add(phase).UnixNano() / int64(interval) }
	return slot(now) != slot(last)
}
