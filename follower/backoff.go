package follower

import (
	"math/rand/v2"
	"time"
)

const (
	defaultBase = 50 * time.Millisecond
	defaultCap  = 3 * time.Second // a log that is back is noticed within seconds
)

// Backoff says how long to wait after failures. The jitter is full: each wait is
// drawn evenly from zero to a bound that doubles with each failure, so that VMs
// which failed together don't come back together.
type Backoff struct {
	Base   time.Duration  // bound after one failure, 50 ms when zero
	Cap    time.Duration  // highest bound, 3 s when zero
	Random func() float64 // from 0 up to 1; math/rand/v2 when nil
}

// Bound returns the longest wait after the given number of failures in a row.
func (b Backoff) Bound(failures int) time.Duration {
	d, c := b.Base, b.Cap
	if d == 0 {
		d = defaultBase
	}
	if c == 0 {
		c = defaultCap
	}
	for range failures - 1 {
		if d >= c {
			break
		}
		d *= 2
	}
	return min(d, c)
}

// Delay returns the wait after the given number of failures in a row.
func (b Backoff) Delay(failures int) time.Duration {
	r := b.Random
	if r == nil {
		r = rand.Float64
	}
	return time.Duration(r() * float64(b.Bound(failures)))
}
