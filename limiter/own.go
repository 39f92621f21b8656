// Package limiter divides the slots of executors between entry VMs, between
// organisations, and between short and long work.
//
// The package does no I/O, reads no clock and starts no goroutines.
package limiter

// OwnedSlots returns how many of an executor's slots belong to the VM self. The
// slots are spread evenly over vms, with a difference of at most one. The
// remainder goes to the VMs that rank first by rendezvous hashing for the
// executor, so a VM that joins or leaves moves few slots. A VM that is not in vms
// owns none.
func OwnedSlots(vms []string, self, executor string, slots int) int {
	if slots <= 0 {
		return 0
	}
	rank := 0
	found := false
	selfWeight := rendezvousWeight(executor, self)
	for _, vm := range vms {
		if vm == self {
			found = true
			continue
		}
		weight := rendezvousWeight(executor, vm)
		if weight > selfWeight || (weight == selfWeight && vm < self) {
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

// Parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// rendezvousWeight returns the rendezvous hash of a VM for an executor. FNV-1a
// alone gives names that differ in their last byte nearly equal hashes, so the
// last of seven VMs got twice the share of the others; hence [mix].
func rendezvousWeight(executor, vm string) uint64 {
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

// mix is the finaliser of MurmurHash3.
func mix(h uint64) uint64 {
	const (
		shift       = 33
		multiplier1 = 0xff51afd7ed558ccd
		multiplier2 = 0xc4ceb9fe1a85ec53
	)
	h ^= h >> shift
	h *= multiplier1
	h ^= h >> shift
	h *= multiplier2
	return h ^ h>>shift
}
