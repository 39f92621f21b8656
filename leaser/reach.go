package leaser

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// The timing of the hand-over of a worker that its VM cannot reach. The next VM
// renews after missesOfRead calls, a heartbeat and a call, and each later one after
// a call and a heartbeat more: some 5 s and 2 s for each, so that the lease of a
// worker that only the fifth VM in its rank reaches still runs.
const (
	missesOfRead = 3               // calls in a row that fail, to a worker that answered this VM before
	retryAfter   = 3 * time.Second // between calls to a worker that is left to another VM; a fifth of TTL
)

// MaxUnreached is how many names a VM tells of that it cannot reach, racks counted
// once. They take 4 bytes each. What exceeds it is not handed over.
const MaxUnreached = 32

// Place is a worker and the rack that it stands in.
type Place struct {
	Worker string
	Rack   string
}

func (p Place) workerName() uint32 { return short("worker", p.Worker) }
func (p Place) rackName() uint32   { return short("rack", p.Rack) }

// short returns the name by which VMs tell each other of a worker or a rack. Two
// that share one are handed over together, which is harmless.
func short(kind, name string) uint32 {
	h := fnv.New128a()
	_, _ = h.Write([]byte(kind))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return uint32(mix(binary.BigEndian.Uint64(h.Sum(nil))))
}

// Renewer returns the live VM that renews the leases of a worker: the first in the
// rank of its rack that does not say that it cannot reach it. When all say so it is
// the first. Workers of one rack have one renewer as long as it reaches them, so
// that gangs within a rack are counted by a single VM.
//
// VMs that disagree on who is live, or have not heard of each other what they
// cannot reach, may both renew a worker, or neither for a heartbeat. Both is
// harmless: a task counts once, whoever tells of it.
func Renewer(p Place, live []string, unreached map[string][]uint32) string {
	worker, rack := p.workerName(), p.rackName()
	reached := slices.DeleteFunc(slices.Clone(live), func(vm string) bool {
		u := unreached[vm]
		return slices.Contains(u, worker) || slices.Contains(u, rack)
	})
	if len(reached) == 0 {
		reached = live
	}
	return Owner(p.Rack, reached)
}

// Reach is which workers answer one VM. It is immutable.
type Reach struct{ missing map[string]missing }

// missing is a worker that did not answer the last call.
type missing struct {
	misses int
	left   bool      // to another VM
	tried  time.Time // last
}

// Complete reports whether every worker has answered the last call.
func (r Reach) Complete() bool { return len(r.missing) == 0 }

// WithAnswer notes that a worker answers.
func (r Reach) WithAnswer(worker string) Reach {
	if _, ok := r.missing[worker]; ok {
		r.missing = maps.Clone(r.missing)
		delete(r.missing, worker)
	}
	return r
}

// WithMiss notes that a worker did not answer a call. One that this VM has not
// read before is left to another VM at once.
func (r Reach) WithMiss(now time.Time, worker string, read bool) Reach {
	m := r.missing[worker]
	m.misses++
	m.tried = now
	m.left = m.left || !read || m.misses >= missesOfRead
	r.missing = maps.Clone(r.missing)
	if r.missing == nil {
		r.missing = map[string]missing{}
	}
	r.missing[worker] = m
	return r
}

// WithListed forgets the workers that are not listed any more.
func (r Reach) WithListed(listed []Place) Reach {
	if len(r.missing) == 0 {
		return r
	}
	kept := map[string]missing{}
	for _, p := range listed {
		if m, ok := r.missing[p.Worker]; ok {
			kept[p.Worker] = m
		}
	}
	r.missing = kept
	return r
}

// Retry reports whether a worker that was left to another VM is to be called
// again, to see whether it answers this VM by now.
func (r Reach) Retry(now time.Time, worker string) bool {
	m := r.missing[worker]
	return m.left && now.Sub(m.tried) >= retryAfter
}

// Unreached returns the short names of what this VM cannot reach, sorted, at most
// MaxUnreached of them: of a rack when no worker in it answers, else of the worker.
func (r Reach) Unreached(listed []Place) []uint32 {
	if len(r.missing) == 0 {
		return nil
	}
	answers := map[string]bool{} // by rack
	for _, p := range listed {
		answers[p.Rack] = answers[p.Rack] || !r.missing[p.Worker].left
	}
	var racks, workers []uint32
	for _, p := range listed {
		switch {
		case !answers[p.Rack]:
			racks = append(racks, p.rackName())
		case r.missing[p.Worker].left:
			workers = append(workers, p.workerName())
		}
	}
	slices.SortFunc(racks, cmp.Compare)
	slices.SortFunc(workers, cmp.Compare)
	all := slices.Concat(slices.Compact(racks), workers)
	return all[:min(len(all), MaxUnreached)]
}
