package estimator

import (
	"math"
	"time"
)

const (
	buckets          = 64                     // of a histogram
	bucketsPerDouble = 2                      // the bound of each bucket is 1.41 times the one before
	firstBound       = 100 * time.Microsecond // upper bound of the first bucket; that of the last is 3.5 days
	decay            = 0.98                   // factor per new observation: the weight halves after 34
	priorWeight      = 2.0                    // of a declared run time without observations, in observations
	priorSpread      = 4                      // buckets on each side over which a declared run time is spread, a factor of 4
	minWeight        = 1e-6                   // below this a histogram counts as empty
)

// histogram counts run times in logarithmic buckets. The weight of observations
// decays as new ones are added.
type histogram [buckets]float32

func bucketOf(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	n := math.Ceil(bucketsPerDouble * math.Log2(float64(d)/float64(firstBound)))
	return min(int(n), buckets-1)
}

// upperBound returns the longest run time in bucket i.
func upperBound(i int) time.Duration {
	return time.Duration(float64(firstBound) * math.Exp2(float64(i)/bucketsPerDouble))
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

// withPrior returns the histogram with a declared run time added as a prior. Its
// weight falls with the number of observations: with 6 of them it is below 5 percent.
func (h histogram) withPrior(declared time.Duration) histogram {
	if declared <= 0 {
		return h
	}
	n := h.weight()
	centre := bucketOf(declared)
	const totalShares = (priorSpread + 1) * (priorSpread + 1) // sum of the triangular weights below
	for i := -priorSpread; i <= priorSpread; i++ {
		bucket := min(max(centre+i, 0), buckets-1)
		share := priorSpread + 1 - max(i, -i)
		h[bucket] += float32(priorWeight / (1 + n) * float64(share) / totalShares)
	}
	return h
}

func (h histogram) quantile(q float64) time.Duration {
	sum := h.weight()
	if sum < minWeight {
		return 0
	}
	var cumulative float64
	for i, n := range h {
		cumulative += float64(n)
		if cumulative >= q*sum && n > 0 {
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
	if h.weight() < minWeight {
		return elapsed
	}
	return max(h.quantile(q)-elapsed, 0)
}
