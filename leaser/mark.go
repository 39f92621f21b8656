package leaser

import (
	"encoding/binary"
	"hash/fnv"
	"strconv"
)

// WithMark returns i with its mark, a hash of the epoch, the capacity, and the
// ids and states of the leases. Two inventories of a worker with equal marks
// have the same leases in the same states, under the same epoch; times do not
// count.
func (i Inventory) WithMark() Inventory {
	h := fnv.New64a()
	var b []byte
	b = binary.BigEndian.AppendUint64(b, uint64(i.Epoch.Term))
	b = binary.BigEndian.AppendUint64(b, uint64(i.Epoch.SubTerm))
	b = binary.BigEndian.AppendUint64(b, uint64(i.Capacity.MilliCores))
	b = binary.BigEndian.AppendUint64(b, uint64(i.Capacity.MemoryMB))
	b = binary.BigEndian.AppendUint64(b, uint64(i.Capacity.Accelerators))
	_, _ = h.Write(b)
	for _, l := range i.Leases {
		b = append(b[:0], l.ID.Job...)
		b = append(b, 0)
		b = binary.BigEndian.AppendUint64(b, uint64(l.ID.Attempt))
		b = binary.BigEndian.AppendUint64(b, uint64(l.ID.Task))
		b = append(b, l.State...)
		b = append(b, 0)
		_, _ = h.Write(b)
	}
	i.Mark = strconv.FormatUint(h.Sum64(), 36)
	return i
}

// OmitIfUnchanged returns the answer to a requester that has the inventory with
// the mark known: without leases if nothing has changed.
func (i Inventory) OmitIfUnchanged(known string) Inventory {
	if i.Mark != known {
		return i
	}
	i.Unchanged = true
	i.Leases = nil
	return i
}

// Expand returns the full inventory for an answer that may omit the leases,
// given the last inventory of the requester. It reports false if the two do not
// match.
func (i Inventory) Expand(last Inventory) (Inventory, bool) {
	if !i.Unchanged {
		return i, true
	}
	return last, i.Mark == last.Mark && i.Worker == last.Worker
}

// CoversRunning reports whether ids are all the running leases of i. They can
// then be renewed by the mark alone.
func (i Inventory) CoversRunning(ids []ID) bool {
	running := 0
	for _, l := range i.Leases {
		if l.State == StateRunning {
			running++
		}
	}
	return running == len(ids)
}

// Running returns the ids of the running leases of i.
func (i Inventory) Running() []ID {
	var ids []ID
	for _, l := range i.Leases {
		if l.State == StateRunning {
			ids = append(ids, l.ID)
		}
	}
	return ids
}
