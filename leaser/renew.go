package leaser

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"slices"
	"time"
)

// MaxCountAge is how old an inventory may be to be counted, and how old the
// counts of another VM may be to be added. It lets three heartbeats of a second
// go missing. A gang that has lost a member is renewed for at most twice this
// time, and so runs for at most TTL + 2*MaxCountAge after the loss.
const MaxCountAge = 4 * time.Second

const byteBits = 8

// Owner returns the live VM that renews the leases of a worker, "" when there is
// none. All VMs that agree on who is live agree on the owner, and when a VM comes
// or goes only the workers that it gains or loses change hands.
func Owner(worker string, live []string) string {
	owner, best := "", uint64(0)
	for _, v := range live {
		s := score(worker, v)
		if owner == "" || s > best || (s == best && v < owner) {
			owner, best = v, s
		}
	}
	return owner
}

// score is the rendezvous hash of a worker and a VM.
func score(worker, vm string) uint64 {
	h := fnv.New128a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(worker))
	b := h.Sum(nil)
	return mix(binary.BigEndian.Uint64(b) ^ binary.BigEndian.Uint64(b[8:]))
}

// mix spreads the differences of similar names over all bits (the finaliser of
// MurmurHash3).
func mix(x uint64) uint64 {
	const shift = 33
	x ^= x >> shift
	x *= 0xff51afd7ed558ccd
	x ^= x >> shift
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>shift
}

// Reading is an inventory and when the worker was asked for it.
type Reading struct {
	At        time.Time
	Inventory Inventory
}

// GangCount says which tasks of a gang of several run, or have succeeded, on the
// workers that one VM renews.
type GangCount struct {
	Job     string
	Attempt int
	Tasks   []byte // bit n%8 of byte n/8 stands for task n
}

// Running returns the number of tasks in the count.
func (g GangCount) Running() int {
	n := 0
	for _, b := range g.Tasks {
		n += bits.OnesCount8(b)
	}
	return n
}

// Told is what one VM has said of the workers that it renews.
type Told struct {
	VM    string
	At    time.Time // when it was received
	Gangs []GangCount
}

// Counts returns the counts that this VM tells the others, sorted by job and
// attempt. Readings older than MaxCountAge don't count.
func Counts(now time.Time, readings []Reading) []GangCount {
	var c []GangCount
	for _, r := range readings {
		if !fresh(now, r.At) {
			continue
		}
		for _, l := range r.Inventory.Leases {
			if l.GangSize > 1 && present(l) {
				c = count(c, l.ID)
			}
		}
	}
	return c
}

// present reports whether a task runs, or is missing from its gang for no fault.
func present(l Lease) bool { return l.State == StateRunning || l.State == StateSucceeded }

func fresh(now, at time.Time) bool { return now.Sub(at) <= MaxCountAge }

// count sets the bit of a task.
func count(c []GangCount, id ID) []GangCount {
	i, ok := findCount(c, id.Job, id.Attempt)
	if !ok {
		c = slices.Insert(c, i, GangCount{Job: id.Job, Attempt: id.Attempt})
	}
	for len(c[i].Tasks) <= id.Task/byteBits {
		c[i].Tasks = append(c[i].Tasks, 0)
	}
	c[i].Tasks[id.Task/byteBits] |= 1 << (id.Task % byteBits)
	return c
}

func findCount(c []GangCount, job string, attempt int) (int, bool) {
	k := GangCount{Job: job, Attempt: attempt}
	return slices.BinarySearchFunc(c, k, func(a, b GangCount) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
	})
}

// Merge returns what all VMs have told as if one VM had told it now, less what is
// too old. Renewals of many workers cost less with it.
func Merge(now time.Time, told []Told) Told {
	m := Told{At: now}
	for _, t := range told {
		if !fresh(now, t.At) {
			continue
		}
		for _, g := range t.Gangs {
			m.Gangs = merge(m.Gangs, g)
		}
	}
	return m
}

// merge adds the tasks of one count.
func merge(c []GangCount, g GangCount) []GangCount {
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

// Renewals returns the leases of a worker that are to be renewed: the running
// ones of whole gangs. A gang of one is always whole. A larger one is whole when
// the fresh counts of all VMs, this one included, name every task of it.
func Renewals(now time.Time, i Inventory, told []Told) []ID {
	var ids []ID
	for _, l := range i.Leases {
		if l.State == StateRunning && whole(now, l, told) {
			ids = append(ids, l.ID)
		}
	}
	return ids
}

// whole reports whether every task of the lease's gang is present. Tasks are
// counted once, also when two VMs both believe that they renew a worker.
func whole(now time.Time, l Lease, told []Told) bool {
	if l.GangSize == 1 {
		return true
	}
	all := GangCount{Tasks: make([]byte, (max(0, l.GangSize)+byteBits-1)/byteBits)}
	for _, t := range told {
		if !fresh(now, t.At) {
			continue
		}
		if i, ok := findCount(t.Gangs, l.ID.Job, l.ID.Attempt); ok {
			all.add(t.Gangs[i].Tasks)
		}
	}
	return all.Running() == l.GangSize
}

// add takes the tasks that g has no place for as not there.
func (g GangCount) add(tasks []byte) {
	for i := range min(len(g.Tasks), len(tasks)) {
		g.Tasks[i] |= tasks[i]
	}
}

// Acknowledgements returns the leases of a worker that need not be listed again:
// those that are over, of attempts that are over. A task that has succeeded stays
// listed until its gang is over, for it counts in Renewals.
func Acknowledgements(i Inventory, over func(job string, attempt int) bool) []ID {
	var ids []ID
	for _, l := range i.Leases {
		if l.State.Ended() && over(l.ID.Job, l.ID.Attempt) {
			ids = append(ids, l.ID)
		}
	}
	return ids
}
