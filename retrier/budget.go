// Package retrier decides whether and when a request may be retried.
//
// The package does no I/O, reads no clock and starts no goroutines.
package retrier

import (
	"math"
	"time"
)

const (
	maxSavedRetries = 50 // unused retries that accumulate; more would cause a burst in an outage
	percent         = 100
)

// Budget limits retries to a number per hundred requests. It starts empty, so that
// this share is never exceeded, and accumulates only a few unused retries.
type Budget struct {
	Percent int // retries per hundred requests

	credit int // in hundredths of a retry
}

// Deposit credits the budget for one request.
func (b *Budget) Deposit() { b.credit = min(b.credit+b.Percent, maxSavedRetries*percent) }

// Spend takes one retry from the budget and reports whether one was left.
func (b *Budget) Spend() bool {
	if b.credit < percent {
		return false
	}
	b.credit -= percent
	return true
}

// Limits of the delay before a retry.
const (
	baseDelay = 10 * time.Millisecond // a few round trips between availability zones
	maxDelay  = 500 * time.Millisecond
)

// Delay returns how long to wait before retry n, counted from 1: an exponentially
// growing interval with full jitter, so that requests which failed together are
// not retried together. random is a number in [0, 1).
func Delay(n int, random float64) time.Duration {
	interval := min(float64(baseDelay)*math.Pow(2, float64(n)), float64(maxDelay))
	return time.Duration(interval * random)
}
