package follower

import (
	"math/rand/v2"
	"time"
)

const (
	defaultBackoffBase = 50 * time.Millisecond
	defaultBackoffCap  = 3 * time.Second // limits the time to detect that the log is available again
)

// Backoff computes exponential delays with full jitter: each delay is uniformly
// distributed from zero to a bound that doubles with each failure, so that VMs
// that failed together don't retry together.
type Backoff struct {
	Base   time.Duration  // bound after one failure; 50 ms when zero
	Cap    time.Duration  // highest bound; 3 s when zero
	Random func() float64 // in [0, 1); math/rand/v2 when nil
}

// Bound returns the longest delay after the given number of consecutive failures.
func (b Backoff) Bound(failures int) time.Duration {
	d, c := b.Base, b.Cap
	if d == 0 {
		d = defaultBackoffBase
	}
	if c == 0 {
		c = defaultBackoffCap
	}
	for range failures - 1 {
		if d >= c {
			break
		}
		d *= 2
	}
	return min(d, c)
}

// Delay returns a random delay after the given number of consecutive failures.
func (b Backoff) Delay(failures int) time.Duration {
	r := b.Random
	if r == nil {
		r = rand.Float64
	}
	return time.Duration(r() * float64(b.Bound(failures)))
}
