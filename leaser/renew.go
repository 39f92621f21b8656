package leaser

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"slices"
	"time"
)

// MaxCountAge is the maximum age of an inventory that is counted, and of gang
// counts reported by another VM. It tolerates three missed heartbeats of one
// second. A gang that has lost a member is renewed for at most twice this time,
// and so runs for at most TTL + 2*MaxCountAge after the loss.
const MaxCountAge = 4 * time.Second

const bitsPerByte = 8

// Owner returns the live VM that renews the leases of a worker, or "" if no VM
// is live. VMs that agree on the live set agree on the owner. When a VM joins
// or leaves, only the workers that it gains or loses change owner.
func Owner(worker string, live []string) string {
	owner, best := "", uint64(0)
	for _, v := range live {
		s := rendezvousScore(worker, v)
		if owner == "" || s > best || (s == best && v < owner) {
			owner, best = v, s
		}
	}
	return owner
}

// rendezvousScore returns the rendezvous hash of a worker and a VM.
func rendezvousScore(worker, vm string) uint64 {
	h := fnv.New128a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(worker))
	b := h.Sum(nil)
	return mix(binary.BigEndian.Uint64(b) ^ binary.BigEndian.Uint64(b[8:]))
}

// mix is the 64-bit finaliser of MurmurHash3; it makes the hashes of similar
// names differ in all bits.
func mix(x uint64) uint64 {
	const shift = 33
	x ^= x >> shift
	x *= 0xff51afd7ed558ccd
	x ^= x >> shift
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>shift
}

// Reading is an inventory and the time at which it was requested.
type Reading struct {
	At        time.Time
	Inventory Inventory
}

// GangCount is the set of tasks of a gang of two or more that run or have
// succeeded, on the workers that one VM renews.
type GangCount struct {
	Job     string
	Attempt int
	Tasks   []byte // bit n%8 of byte n/8 represents task n
}

// Running returns the number of tasks in the count.
func (g GangCount) Running() int {
	n := 0
	for _, b := range g.Tasks {
		n += bits.OnesCount8(b)
	}
	return n
}

// GangReport is the latest report of a VM on the workers that it renews.
type GangReport struct {
	VM    string
	At    time.Time // time of receipt
	Gangs []GangCount
}

// Counts returns the counts that this VM reports to the others, sorted by job
// and attempt. Readings older than MaxCountAge are ignored.
func Counts(now time.Time, readings []Reading) []GangCount {
	var c []GangCount
	for _, r := range readings {
		if !fresh(now, r.At) {
			continue
		}
		for _, l := range r.Inventory.Leases {
			if l.GangSize > 1 && present(l) {
				c = addTask(c, l.ID)
			}
		}
	}
	return c
}

// present reports whether a task runs, or has ended without failing its gang.
func present(l Lease) bool { return l.State == StateRunning || l.State == StateSucceeded }

func fresh(now, at time.Time) bool { return now.Sub(at) <= MaxCountAge }

// addTask sets the bit of a task.
func addTask(c []GangCount, id ID) []GangCount {
	i, ok := findCount(c, id.Job, id.Attempt)
	if !ok {
		c = slices.Insert(c, i, GangCount{Job: id.Job, Attempt: id.Attempt})
	}
	for len(c[i].Tasks) <= id.Task/bitsPerByte {
		c[i].Tasks = append(c[i].Tasks, 0)
	}
	c[i].Tasks[id.Task/bitsPerByte] |= 1 << (id.Task % bitsPerByte)
	return c
}

func findCount(c []GangCount, job string, attempt int) (int, bool) {
	k := GangCount{Job: job, Attempt: attempt}
	return slices.BinarySearchFunc(c, k, func(a, b GangCount) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
	})
}

// Merge combines the current reports of all VMs into one. Merging once makes
// the renewal of many workers cheaper.
func Merge(now time.Time, reports []GangReport) GangReport {
	m := GangReport{At: now}
	for _, t := range reports {
		if !fresh(now, t.At) {
			continue
		}
		for _, g := range t.Gangs {
			m.Gangs = mergeCount(m.Gangs, g)
		}
	}
	return m
}

// mergeCount adds the tasks of one count to c.
func mergeCount(c []GangCount, g GangCount) []GangCount {
	i, ok := findCount(c, g.Job, g.Attempt)
	if !ok {
		g.Tasks = slices.Clone(g.Tasks)
		return slices.Insert(c, i, g)
	}
	if n := len(g.Tasks) - len(c[i].Tasks); n > 0 {
		c[i].Tasks = append(c[i].Tasks, make([]byte, n)...)
	}
	c[i].add(g.Tasks)
	return c
}

// Renewals returns the leases of a worker to renew: those of running tasks
// whose gang is complete. A gang of one is always complete. A larger gang is
// complete if the current reports of all VMs, this one included, contain every
// task.
func Renewals(now time.Time, i Inventory, reports []GangReport) []ID {
	var ids []ID
	for _, l := range i.Leases {
		if l.State == StateRunning && gangComplete(now, l, reports) {
			ids = append(ids, l.ID)
		}
	}
	return ids
}

// gangComplete reports whether every task of the lease's gang is present. A
// task counts once, even if two VMs both renew its worker.
func gangComplete(now time.Time, l Lease, reports []GangReport) bool {
	if l.GangSize == 1 {
		return true
	}
	union := GangCount{Tasks: make([]byte, (max(0, l.GangSize)+bitsPerByte-1)/bitsPerByte)}
	for _, t := range reports {
		if !fresh(now, t.At) {
			continue
		}
		if i, ok := findCount(t.Gangs, l.ID.Job, l.ID.Attempt); ok {
			union.add(t.Gangs[i].Tasks)
		}
	}
	return union.Running() == l.GangSize
}

// add sets the bits of tasks in g, ignoring those beyond the length of g.
func (g GangCount) add(tasks []byte) {
	for i := range min(len(g.Tasks), len(tasks)) {
		g.Tasks[i] |= tasks[i]
	}
}

// Acknowledgements returns the leases of a worker that need not be listed
// again: ended leases of ended attempts. A succeeded task stays listed until
// its whole attempt has ended, because Renewals counts it.
func Acknowledgements(i Inventory, attemptEnded func(job string, attempt int) bool) []ID {
	var ids []ID
	for _, l := range i.Leases {
		if l.State.Ended() && attemptEnded(l.ID.Job, l.ID.Attempt) {
			ids = append(ids, l.ID)
		}
	}
	return ids
}
