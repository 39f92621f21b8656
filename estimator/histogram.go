package estimator

import (
	"math"
	"time"
)

const (
	buckets          = 64                     // counters of a histogram
	bucketsPerDouble = 2                      // each bucket is 1.41 times as wide as the one before
	shortest         = 100 * time.Microsecond // upper bound of the first bucket; the last one ends after 3.5 days
	decay            = 0.98                   // weight kept at each observation: half is gone after 34
	priorWeight      = 2.0                    // observations that a declared run time is worth at first
	priorSpread      = 4                      // buckets to each side that a declared run time covers, a factor of 4
	minimumWeight    = 1e-6                   // less than this counts as nothing
)

// histogram counts run times in logarithmic buckets. Old observations fade.
type histogram [buckets]float32

func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	n := math.Ceil(bucketsPerDouble * math.Log2(float64(d)/float64(shortest)))
	return min(int(n), buckets-1)
}

// upperBound returns the longest time that bucket i counts.
func upperBound(i int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(i)/bucketsPerDouble))
}

func (h histogram) weight() float64 {
	var sum float64
	for _, n := range h {
		sum += float64(n)
	}
	return sum
}

func (h histogram) with(d time.Duration) histogram {
	for i := range h {
		h[i] *= decay
	}
	h[bucketOf(d)]++
	return h
}

// withPrior returns the histogram with a declared run time counted in. Its
// weight falls as observations come in: with 6 of them it is below 5 percent.
func (h histogram) withPrior(declared time.Duration) histogram {
	if declared <= 0 {
		return h
	}
	n := h.weight()
	middle := bucketOf(declared)
	const shares = (priorSpread + 1) * (priorSpread + 1) // sum of the triangle below
	for i := -priorSpread; i <= priorSpread; i++ {
		at := min(max(middle+i, 0), buckets-1)
		share := priorSpread + 1 - max(i, -i)
		h[at] += float32(priorWeight / (1 + n) * float64(share) / shares)
	}
	return h
}

func (h histogram) quantile(q float64) time.Duration {
	sum := h.weight()
	if sum < minimumWeight {
		return 0
	}
	var below float64
	for i, n := range h {
		below += float64(n)
		if below >= q*sum && n > 0 {
			return upperBound(i)
		}
	}
	return upperBound(buckets - 1)
}

func (h histogram) remaining(q float64, elapsed time.Duration) time.Duration {
	for i := range h {
		if upperBound(i) <= elapsed {
			h[i] = 0
		}
	}
	if h.weight() < minimumWeight {
		return elapsed
	}
	return max(h.quantile(q)-elapsed, 0)
}
