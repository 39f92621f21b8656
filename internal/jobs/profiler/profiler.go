// Package profiler learns how fast workers are from the rates at which runs of the same step
// make progress on them. Declared durations are not used: they are too inaccurate.
//
// The logarithm of the rate of a run is modelled as the sum of the usual rate of its step, of
// what its worker's zone, rack and the worker itself add, and of noise. Solve estimates these
// from recent samples. It performs no I/O, reads no clock and starts no goroutine.
package profiler

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxWorkers       = 3000 // with an estimate; the one with the oldest sample is dropped
	samplesPerWorker = 16   // kept; older ones count through the estimates only
	minSamples       = 4096 // kept at least
	memory           = 30.0 // samples that dropped ones of a worker count as at most, so that changes are noticed
	maxLogSpeed      = 3.0  // of an estimate: twenty times the mean
)

// Place is where a worker is.
type Place struct {
	Worker string
	Rack   string // unique among all zones
	Zone   string // with the service and the kind of machine
}

// Profiler holds the samples and estimates. Its zero value takes all workers as equally fast.
// It is not safe for concurrent use.
type Profiler struct {
	workers, racks, zones level
	samples               []sample // oldest first
	groups                int64    // number of comparisons so far
	number                int64    // of the last sample
	noise                 float64  // variance of a sample
}

// sample is the rate of one run.
type sample struct {
	group               int64
	worker, rack, zone  int32
	log                 float64
	usual, contribution float64 // of its group and its place, during Solve
	weight              float64 // during Solve, less for outliers
}

// level holds the estimates of all zones, racks or workers.
type level struct {
	index map[string]int32
	nodes []node
	prior float64 // samples that the level above counts as, see spread
}

// node is what a zone, rack or worker adds to the logarithm of the speed.
type node struct {
	name        string
	value       float64
	past        float64 // mean of dropped samples
	pastWeight  float64
	last        int64 // number of the last sample
	sum, weight float64
}

// find returns the index of a name and adds it if it is new.
func (l *level) find(name string) int32 {
	if i, ok := l.index[name]; ok {
		return i
	}
	if l.index == nil {
		l.index = map[string]int32{}
	}
	i := int32(len(l.nodes))
	l.index[name] = i
	l.nodes = append(l.nodes, node{name: name})
	return i
}

func (l *level) value(name string) float64 {
	if i, ok := l.index[name]; ok {
		return l.nodes[i].value
	}
	return 0
}

// LogSpeed returns the logarithm of the estimated speed of a worker, as of the last Solve.
// Only differences between workers have a meaning.
func (p *Profiler) LogSpeed(at Place) float64 {
	return p.zones.value(at.Zone) + p.racks.value(at.Rack) + p.workers.value(at.Worker)
}

// Forget drops what was learnt of a worker itself: another machine has its name.
func (p *Profiler) Forget(worker string) {
	i, ok := p.workers.index[worker]
	if !ok {
		return
	}
	p.workers.nodes[i] = node{name: worker}
	p.samples = slices.DeleteFunc(p.samples, func(v sample) bool { return v.worker == i })
}

// observe adds a sample.
func (p *Profiler) observe(group int64, at Place, log float64) {
	if _, ok := p.workers.index[at.Worker]; !ok && len(p.workers.nodes) >= maxWorkers {
		p.replaceOldest(at.Worker)
	}
	p.number++
	v := sample{group: group, worker: p.workers.find(at.Worker), rack: p.racks.find(at.Rack), zone: p.zones.find(at.Zone), log: log}
	p.workers.nodes[v.worker].last = p.number
	p.samples = append(p.samples, v)
}

// replaceOldest gives the place of the worker with the oldest sample to another one.
func (p *Profiler) replaceOldest(worker string) {
	oldest := 0
	for i := range p.workers.nodes {
		if p.workers.nodes[i].last < p.workers.nodes[oldest].last {
			oldest = i
		}
	}
	name := p.workers.nodes[oldest].name
	p.Forget(name)
	delete(p.workers.index, name)
	p.workers.index[worker] = int32(oldest)
	p.workers.nodes[oldest].name = worker
}

// trim drops the oldest samples beyond the limit. They go on to count through the past of
// their worker, rack and zone.
func (p *Profiler) trim() {
	n := len(p.samples) - max(minSamples, samplesPerWorker*len(p.workers.nodes))
	if n <= 0 {
		return
	}
	for _, v := range p.samples[:n] {
		rest := v.log - v.usual
		z, r, w := &p.zones.nodes[v.zone], &p.racks.nodes[v.rack], &p.workers.nodes[v.worker]
		z.drop(rest - r.value - w.value)
		r.drop(rest - z.value - w.value)
		w.drop(rest - z.value - r.value)
	}
	p.samples = slices.Delete(p.samples, 0, n)
}

func (n *node) drop(v float64) {
	n.pastWeight = min(n.pastWeight+1, memory)
	n.past += max(-outlier, min(v-n.past, outlier)) / n.pastWeight
}

// Speed is the estimated speed of a worker relative to the mean of its service.
type Speed struct {
	Relative float64
	Slow     bool // markedly slower than others of its service
	Fast     bool // not slow while others are
}

const (
	minSpread     = 1.2  // ratio of the 95th percentile of the speeds to the 5th from which workers are told apart by the middle
	slowShare     = 0.8  // of the median, below which single workers are slow otherwise
	lowPercentile = 0.05 // of the speeds of a service
	minKnown      = 80   // samples before which no worker is slow: the first ones may include several tasks that take 7 times as long
)

// Speeds returns the speeds of the workers of a service.
func (p *Profiler) Speeds(all []Place) []Speed {
	out := make([]Speed, len(all))
	if len(all) == 0 {
		return out
	}
	logs, sum := make([]float64, len(all)), 0.0
	for i, at := range all {
		logs[i] = p.LogSpeed(at)
		sum += logs[i]
	}
	limit := slowLimit(slices.Sorted(slices.Values(logs)))
	anySlow := false
	for i, v := range logs {
		out[i] = Speed{Relative: math.Exp(v - sum/float64(len(logs))), Slow: v < limit && p.Known()}
		anySlow = anySlow || out[i].Slow
	}
	for i := range out {
		out[i].Fast = anySlow && !out[i].Slow
	}
	return out
}

// slowLimit returns the logarithm of the speed below which workers are slow: the middle
// between slow and fast ones if there are many of both, else a share of the median.
func slowLimit(sorted []float64) float64 {
	n := len(sorted) - 1
	low, high := sorted[int(lowPercentile*float64(n))], sorted[n-int(lowPercentile*float64(n))]
	if high-low >= math.Log(minSpread) {
		return (low + high) / 2
	}
	return sorted[n/2] + math.Log(slowShare)
}

// Known reports whether there are enough samples to tell workers apart.
func (p *Profiler) Known() bool { return p.number >= minKnown }

// newGroup returns the number of a new comparison.
func (p *Profiler) newGroup() int64 {
	p.groups++
	return p.groups
}

// priorOrMost returns the prior of a level, also before it was calibrated.
func (l *level) priorOrMost() float64 { return cmp.Or(l.prior, maxPrior) }
