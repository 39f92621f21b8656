package tailer

import "time"

// Share returns the least time between the starts of two reads of one topic by each of
// so many VMs, so that all of them together use no more than part of the store's reads
// per second. It answers for sites of hundreds of VMs: the store refuses calls over its
// limit, whoever makes them, and a VM that is refused would ask others, which are
// refused as well.
func Share(vms int, perSecond, part float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(vms) / (perSecond * part) * float64(time.Second))
}
