// Package limiter divides the slots of executors: between entry VMs, between
// organisations, and between short and long work.
//
// It decides only: it does no I/O, reads no clock and starts no goroutines.
package limiter

// Own returns how many of an executor's slots belong to the VM self. The slots
// are spread evenly over vms, at most one apart; the remainder goes to the first
// VMs in the executor's rendezvous order, so a VM that joins or leaves moves few
// slots. A VM that is not in vms owns none.
func Own(vms []string, self, executor string, slots int) int {
	if slots <= 0 {
		return 0
	}
	rank := 0
	found := false
	mine := rendezvous(executor, self)
	for _, vm := range vms {
		if vm == self {
			found = true
			continue
		}
		theirs := rendezvous(executor, vm)
		if theirs > mine || (theirs == mine && vm < self) {
			rank++
		}
	}
	if !found {
		return 0
	}
	n := slots / len(vms)
	if rank < slots%len(vms) {
		n++
	}
	return n
}

// The parameters of FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// rendezvous returns the weight of a VM for an executor. FNV-1a alone gave the
// last of seven VMs twice the part of the others, as names that differ in their
// last byte get nearly equal hashes, hence the finishing mix of MurmurHash3.
func rendezvous(executor, vm string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(executor) {
		h = (h ^ uint64(executor[i])) * fnvPrime
	}
	h = (h ^ '/') * fnvPrime
	for i := range len(vm) {
		h = (h ^ uint64(vm[i])) * fnvPrime
	}
	return mix(h)
}

func mix(h uint64) uint64 {
	const (
		shift  = 33
		first  = 0xff51afd7ed558ccd
		second = 0xc4ceb9fe1a85ec53
	)
	h ^= h >> shift
	h *= first
	h ^= h >> shift
	h *= second
	return h ^ h>>shift
}
