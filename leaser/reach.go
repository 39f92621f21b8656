package leaser

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// The timing of handing over a worker that its VM cannot reach. The next VM
// takes over after handOverFailures failed calls, a heartbeat and a call; each
// later VM adds a call and a heartbeat. That is about 5 s plus 2 s for each VM,
// so that a lease does not expire even if only the fifth VM in rank reaches the
// worker.
const (
	handOverFailures = 3               // consecutive failed calls to a worker that answered this VM before
	retryInterval    = 3 * time.Second // between calls to a worker that was handed over; a fifth of TTL
)

// MaxUnreachable is how many unreachable names a VM reports; a rack counts as
// one. Each name takes 4 bytes. Workers beyond the limit are not handed over.
const MaxUnreachable = 32

// WorkerLocation is a worker and its rack.
type WorkerLocation struct {
	Worker string
	Rack   string
}

func (p WorkerLocation) workerHash() uint32 { return nameHash("worker", p.Worker) }
func (p WorkerLocation) rackHash() uint32   { return nameHash("rack", p.Rack) }

// nameHash returns the hash by which VMs refer to a worker or a rack. Names
// whose hashes collide are handed over together, which is harmless.
func nameHash(kind, name string) uint32 {
	h := fnv.New128a()
	_, _ = h.Write([]byte(kind))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return uint32(mix(binary.BigEndian.Uint64(h.Sum(nil))))
}

// Renewer returns the live VM that renews the leases of a worker: the first VM
// in the rank of the worker's rack that does not report it as unreachable, or
// the first of all if every VM does. The reachable workers of a rack share one
// renewer, so that a single VM counts the gangs within the rack.
//
// VMs that disagree on the live set, or have not yet received each other's
// unreachable names, may both renew a worker, or neither may for a heartbeat.
// Renewing twice is harmless: a task counts once, whichever VM reports it.
func Renewer(p WorkerLocation, live []string, unreachable map[string][]uint32) string {
	worker, rack := p.workerHash(), p.rackHash()
	reaching := slices.DeleteFunc(slices.Clone(live), func(vm string) bool {
		u := unreachable[vm]
		return slices.Contains(u, worker) || slices.Contains(u, rack)
	})
	if len(reaching) == 0 {
		reaching = live
	}
	return Owner(p.Rack, reaching)
}

// Reachability records which workers answer one VM. It is immutable.
type Reachability struct{ failed map[string]failedWorker }

// failedWorker is a worker that did not answer the last call.
type failedWorker struct {
	failures   int  // consecutive
	handedOver bool // to another VM
	lastCall   time.Time
}

// Complete reports whether every worker answered its last call.
func (r Reachability) Complete() bool { return len(r.failed) == 0 }

// WithAnswer records that a worker answered.
func (r Reachability) WithAnswer(worker string) Reachability {
	if _, ok := r.failed[worker]; ok {
		r.failed = maps.Clone(r.failed)
		delete(r.failed, worker)
	}
	return r
}

// WithFailure records that a worker did not answer a call. A worker that has
// never answered this VM is handed over at once.
func (r Reachability) WithFailure(now time.Time, worker string, answeredBefore bool) Reachability {
	m := r.failed[worker]
	m.failures++
	m.lastCall = now
	m.handedOver = m.handedOver || !answeredBefore || m.failures >= handOverFailures
	r.failed = maps.Clone(r.failed)
	if r.failed == nil {
		r.failed = map[string]failedWorker{}
	}
	r.failed[worker] = m
	return r
}

// Retain removes the workers that are no longer listed.
func (r Reachability) Retain(listed []WorkerLocation) Reachability {
	if len(r.failed) == 0 {
		return r
	}
	kept := map[string]failedWorker{}
	for _, p := range listed {
		if m, ok := r.failed[p.Worker]; ok {
			kept[p.Worker] = m
		}
	}
	r.failed = kept
	return r
}

// Retry reports whether to call again a worker that was handed over, to see
// whether it answers this VM now.
func (r Reachability) Retry(now time.Time, worker string) bool {
	m := r.failed[worker]
	return m.handedOver && now.Sub(m.lastCall) >= retryInterval
}

// Unreachable returns the hashes of the names that this VM cannot reach,
// sorted, at most MaxUnreachable: that of the rack if no worker in it answers,
// otherwise that of the worker. Racks come first.
func (r Reachability) Unreachable(listed []WorkerLocation) []uint32 {
	if len(r.failed) == 0 {
		return nil
	}
	reachable := map[string]bool{} // by rack
	for _, p := range listed {
		reachable[p.Rack] = reachable[p.Rack] || !r.failed[p.Worker].handedOver
	}
	var racks, workers []uint32
	for _, p := range listed {
		switch {
		case !reachable[p.Rack]:
			racks = append(racks, p.rackHash())
		case r.failed[p.Worker].handedOver:
			workers = append(workers, p.workerHash())
		}
	}
	slices.SortFunc(racks, cmp.Compare)
	slices.SortFunc(workers, cmp.Compare)
	all := slices.Concat(slices.Compact(racks), workers)
	return all[:min(len(all), MaxUnreachable)]
}
