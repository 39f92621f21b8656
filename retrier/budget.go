// Package retrier says whether and when a request may be sent again.
//
// It decides only: it does no I/O, reads no clock and starts no goroutines.
package retrier

import (
	"math"
	"time"
)

const (
	maxSaved = 50 // retries that a quiet time can save up; more would be a burst at an outage
	percent  = 100
)

// Budget allows a number of retries per hundred requests. It starts empty, so
// that never more than that part of the requests is sent again, and saves up
// little.
type Budget struct {
	Percent int // retries per hundred requests

	credit int // in hundredths of a retry
}

// Deposit counts a request.
func (b *Budget) Deposit() { b.credit = min(b.credit+b.Percent, maxSaved*percent) }

// Spend takes one retry, or reports that none is left.
func (b *Budget) Spend() bool {
	if b.credit < percent {
		return false
	}
	b.credit -= percent
	return true
}

// The waiting time before a retry.
const (
	baseDelay = 10 * time.Millisecond // a few round trips between availability zones
	maxDelay  = 500 * time.Millisecond
)

// Delay returns how long to wait before the retry numbered n, from 1. It takes
// the whole of the exponentially growing interval by random, a number in [0, 1),
// so that callers which failed together do not come back together.
func Delay(n int, random float64) time.Duration {
	ceiling := min(float64(baseDelay)*math.Pow(2, float64(n)), float64(maxDelay))
	return time.Duration(ceiling * random)
}
