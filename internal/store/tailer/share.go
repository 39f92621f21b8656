package tailer

import "time"

// MinReadInterval returns the minimum interval between the starts of two reads of one
// topic by each VM, so that all VMs together use at most the given part of the store's
// reads per second. This matters with hundreds of VMs: the store rejects calls over its
// limit from any VM, and a rejected VM would try its peers, whose calls are rejected as
// well.
func MinReadInterval(vms int, perSecond, part float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(vms) / (perSecond * part) * float64(time.Second))
}
