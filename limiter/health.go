package limiter

import "time"

const (
	ejectionFailures = 3 // consecutive; only over HTTP/2 does one lost connection fail several requests at once
	minEjection      = time.Second
	maxEjection      = 30 * time.Second
)

// health tracks the latest attempts at an executor. An executor that fails
// quickly has free slots more often than others, so without ejection it would
// attract most of the work.
type health struct {
	failures     int           // consecutive
	ejection     time.Duration // duration of the last ejection, 0 after a success
	ejectedUntil time.Time     // end of the last ejection
}

// usable returns how many of slots may be in use: none during an ejection, then
// one until an attempt succeeds.
func (h *health) usable(now time.Time, slots int) int {
	switch {
	case h.ejection == 0:
		return slots
	case now.Before(h.ejectedUntil):
		return 0
	default:
		return min(1, slots)
	}
}

// recordFailure counts a failure, and ejects the executor after too many if
// mayEject is set.
func (h *health) recordFailure(now time.Time, mayEject bool) {
	h.failures++
	if h.failures < ejectionFailures || !mayEject || now.Before(h.ejectedUntil) {
		return
	}
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
}
