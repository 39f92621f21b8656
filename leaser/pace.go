package leaser

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// The timing of calls to workers.
const (
	// CallTimeout is how long a VM waits for a worker's answer to a renewal.
	CallTimeout = 1 * time.Second
	// CallTick is how often a VM looks whose turn it is.
	CallTick = 250 * time.Millisecond
	// CallInterval is the time between calls to a worker that is not steady, or
	// while jobs wait, so that what ends there is noticed within a second or so.
	CallInterval = 1 * time.Second
	// SteadyInterval is the time between calls to a steady worker: the longest with
	// which a reading is replaced before it stops counting. The next call begins up
	// to a tick after its time, and its answer takes up to CallTimeout. The leader,
	// which asks a worker itself when its report is as old as MaxCountAge, has the
	// answer by then too, as long as a call takes less than CallTimeout.
	//
	// A call that fails is repeated after CallInterval. Until it is answered, the
	// worker's tasks don't count and its gangs are not renewed; of a lease, 15 s
	// long, this takes CallInterval at a time, so four in a row may fail.
	//
	// It has no part in how long a part of a gang may run, TTL + 2*MaxCountAge: what
	// counts is the age of what was read and told, not when the next call comes.
	SteadyInterval = MaxCountAge - CallTimeout - CallTick
)

// Steady reports whether nothing is under way on a worker: all its leases run.
func (i Inventory) Steady() bool {
	return !slices.ContainsFunc(i.Leases, func(l Lease) bool { return l.State != StateRunning })
}

// Due reports whether a worker that was called at last is to be called at now.
// Each worker has its own moment within the interval, by the hash of its name, so
// that the calls are spread evenly however long the interval is.
func Due(now, last time.Time, worker string, interval time.Duration) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(worker))
	phase := time.Duration(mix(binary.BigEndian.Uint64(h.Sum(nil))) % uint64(interval))
	turn := func(t time.Time) int64 { return t.Add(phase).UnixNano() / int64(interval) }
	return turn(now) != turn(last)
}
