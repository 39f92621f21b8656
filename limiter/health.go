package limiter

import "time"

const (
	failuresToBar = 3 // in a row; a lost connection fails several requests at once only over HTTP/2
	minBar        = time.Second
	maxBar        = 30 * time.Second
)

// health is what the last attempts at an executor say of it. An executor that
// fails at once has free slots more often than the others, so without this it
// would draw most of the work.
type health struct {
	failures int           // in a row
	bar      time.Duration // for which it was left out last
	until    time.Time     // end of that
}

// limit returns how many of slots may be in use: none while the executor is left
// out, then a single one until an attempt succeeds.
func (h *health) limit(now time.Time, slots int) int {
	switch {
	case h.bar == 0:
		return slots
	case now.Before(h.until):
		return 0
	default:
		return min(1, slots)
	}
}

// fail counts a failure, and leaves the executor out if it may be.
func (h *health) fail(now time.Time, may bool) {
	h.failures++
	if h.failures < failuresToBar || !may || now.Before(h.until) {
		return
	}
	h.bar = min(max(2*h.bar, minBar), maxBar)
	h.until = now.Add(h.bar)
}
