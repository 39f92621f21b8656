package profiler

import (
	"math"
)

const (
	minCompared = 3  // runs from which a comparison tells something
	maxWaiting  = 64 // runs that wait until they differ

	minDifference = 0.15 // of the logarithms of rates: percentages of 8 and more are rounded, and the begin of a run is known to about 50 ms
)

// Comparison compares the runs of one step, or of one attempt of a gang, whose tasks are
// about equally long. Its zero value is empty.
type Comparison struct {
	// Uneven lets the runs count only once their rates differ: the members of some gangs all
	// report the progress of the slowest one, which tells nothing about the others.
	Uneven bool

	group   int64
	waiting []rate // until the profiler gets them
}

// rate is the logarithm of the rate at which a run made progress on a worker.
type rate struct {
	at  Place
	log float64
}

// Add adds the rate of a run, in any unit that all runs of the comparison share.
func (c *Comparison) Add(p *Profiler, at Place, perSecond float64) {
	v := math.Log(perSecond)
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return
	}
	if c.group == 0 {
		if len(c.waiting) < maxWaiting {
			c.waiting = append(c.waiting, rate{at, v})
		}
		if len(c.waiting) < minCompared || (c.Uneven && !c.differ()) {
			return
		}
		c.group = p.newGroup()
		for _, r := range c.waiting {
			p.observe(c.group, r.at, r.log)
		}
		c.waiting = nil
		return
	}
	p.observe(c.group, at, v)
}

// differ reports whether the rates differ by more than their rounding.
func (c *Comparison) differ() bool {
	least, most := c.waiting[0].log, c.waiting[0].log
	for _, r := range c.waiting {
		least, most = min(least, r.log), max(most, r.log)
	}
	return most-least > minDifference
}
