package profiler

import (
	"math"
	"slices"
)

const (
	rounds        = 5    // of estimation in a Solve, which goes on from the one before
	outlier       = 0.8  // deviation of the logarithm from which a sample counts less: 3 % of the tasks take 7 times as long
	zonePrior     = 16.0 // samples that equal speeds count as against those of a zone
	maxPrior      = 1e4  // samples that a zone counts as against those of a rack, and a rack of a worker, where they are not known to differ
	minCalibrated = 10   // racks or workers with samples from which it is taken how much they differ
	sharedNoise   = 1.2  // by which the noise of means is larger than that of independent samples, as those of a step share its usual rate
	workerMargin  = 1.5  // standard errors by which a spread of workers must exceed that of the noise
	rackMargin    = 2.5  // the same of racks: there are few, and with less a few tasks that take 7 times as long pass for slow ones
	initialNoise  = 0.05 // variance of a sample before it is known: lengths that differ by up to 0.3, and outliers
)

// Solve updates the estimates from the samples.
func (p *Profiler) Solve() {
	if len(p.samples) == 0 {
		return
	}
	p.trim()
	groups := p.groupIndex()
	sums, weights := make([]float64, len(p.samples)), make([]float64, len(p.samples))
	for range rounds {
		p.updateUsual(groups, sums, weights)
		p.updateLevel(&p.zones, zonePrior, func(v *sample) int32 { return v.zone })
		p.updateLevel(&p.racks, p.racks.priorOrMost(), func(v *sample) int32 { return v.rack })
		p.updateLevel(&p.workers, p.workers.priorOrMost(), func(v *sample) int32 { return v.worker })
	}
	p.calibrate(groups)
}

// groupIndex returns the number of the group of each sample, from 0.
func (p *Profiler) groupIndex() []int {
	index := make(map[int64]int, len(p.samples)/minCompared)
	out := make([]int, len(p.samples))
	for i := range p.samples {
		g := p.samples[i].group
		k, ok := index[g]
		if !ok {
			k = len(index)
			index[g] = k
		}
		out[i] = k
	}
	return out
}

// updateUsual updates the usual rate of each group, with less weight for outliers.
func (p *Profiler) updateUsual(groups []int, sums, weights []float64) {
	clear(sums)
	clear(weights)
	for i := range p.samples {
		v := &p.samples[i]
		v.contribution = p.contribution(v)
		v.weight = 1
		if d := math.Abs(v.log - v.usual - v.contribution); d > outlier && v.usual != 0 {
			v.weight = outlier / d
		}
		sums[groups[i]] += v.weight * (v.log - v.contribution)
		weights[groups[i]] += v.weight
	}
	for i := range p.samples {
		p.samples[i].usual = sums[groups[i]] / weights[groups[i]]
	}
}

func (p *Profiler) contribution(v *sample) float64 {
	return p.zones.nodes[v.zone].value + p.racks.nodes[v.rack].value + p.workers.nodes[v.worker].value
}

// updateLevel updates what the zones, racks or workers add to the rates of their samples.
func (p *Profiler) updateLevel(l *level, prior float64, of func(*sample) int32) {
	for i := range l.nodes {
		n := &l.nodes[i]
		n.sum, n.weight = n.past*n.pastWeight, n.pastWeight
	}
	for i := range p.samples {
		v := &p.samples[i]
		n := &l.nodes[of(v)]
		n.sum += v.weight * (v.log - v.usual - p.contribution(v) + n.value)
		n.weight += v.weight
	}
	for i := range l.nodes {
		n := &l.nodes[i]
		n.value = max(-maxLogSpeed, min(n.sum/(n.weight+prior), maxLogSpeed))
	}
}

// calibrate learns the noise of a sample, and how much the racks of a zone and the workers of
// a rack differ beyond it: the less they do, the more the zone or rack counts for the speed of
// a worker.
func (p *Profiler) calibrate(groups []int) {
	squares, free := 0.0, float64(len(p.samples))
	for i := range p.samples {
		v := &p.samples[i]
		n := &p.workers.nodes[v.worker]
		d := v.log - v.usual - p.contribution(v) + n.value - n.sum/n.weight
		squares += v.weight * d * d
		free -= v.weight / n.weight // one for each worker
	}
	p.noise = initialNoise
	if free -= float64(slices.Max(groups) + 1); free > minCalibrated {
		p.noise = squares / free
	}
	var workers, racks spread
	for i := range p.workers.nodes {
		workers.add(&p.workers.nodes[i], p.noise)
	}
	p.workers.prior = workers.prior(p.noise, workerMargin)
	for i := range p.racks.nodes {
		racks.add(&p.racks.nodes[i], p.noise)
	}
	p.racks.prior = racks.prior(p.noise, rackMargin)
}

// spread sums up by how much parts differ from the whole beyond their noise.
type spread struct{ n, sum, squares float64 }

func (s *spread) add(e *node, noise float64) {
	if e.weight < 1 {
		return
	}
	mean := e.sum / e.weight
	v := mean*mean - sharedNoise*noise/e.weight
	s.n, s.sum, s.squares = s.n+1, s.sum+v, s.squares+v*v
}

// prior returns the number of samples that the whole counts as: the ratio of the noise of a
// sample to the variance of the parts.
func (s *spread) prior(noise, margin float64) float64 {
	if s.n < minCalibrated {
		return maxPrior
	}
	mean := s.sum / s.n
	variance := mean - margin*math.Sqrt(max(0, s.squares/s.n-mean*mean)/s.n)
	if variance <= noise/maxPrior {
		return maxPrior
	}
	return noise / variance
}
