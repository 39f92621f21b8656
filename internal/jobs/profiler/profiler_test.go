package profiler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/profiler"
)

const (
	workers = 240
	perRack = 12
)

func placeOf(i int) profiler.Place {
	zone := fmt.Sprintf("z%d", i*4/workers)
	return profiler.Place{Worker: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("%s/r%d", zone, i/perRack), Zone: zone}
}

func places() []profiler.Place {
	var all []profiler.Place
	for i := range workers {
		all = append(all, placeOf(i))
	}
	return all
}

// play lets steps run on drawn workers with the given speeds. Their tasks differ in length by
// up to 0.3, and 3 % take 7 times as long.
func play(p *profiler.Profiler, r *rand.Rand, steps int, speedOf func(worker int) float64) {
	for k := range steps {
		var c profiler.Comparison
		usual := 0.05 + r.Float64()
		for range 3 + r.IntN(20) {
			i := r.IntN(workers)
			length := 0.7 + 0.6*r.Float64()
			if r.Float64() < 0.03 {
				length *= 7
			}
			c.Add(p, placeOf(i), usual*speedOf(i)/length)
		}
		if k%10 == 9 {
			p.Solve()
		}
	}
}

// Guards against speeds that are confused by tasks of uneven length, whether the workers
// differ by zone, rack or worker.
func TestSpeedsAreLearntByZoneRackAndWorker(t *testing.T) {
	for name, speedOf := range map[string]func(int) float64{
		"zone":   func(i int) float64 { return []float64{1.8, 0.83, 0.83, 0.83}[i*4/workers] },
		"rack":   func(i int) float64 { return []float64{1.8, 0.83, 0.83, 0.83}[i/perRack%4] },
		"worker": func(i int) float64 { return []float64{1.8, 0.83, 0.83, 0.83}[i%4] },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p profiler.Profiler
			play(&p, rand.New(rand.NewPCG(1, 1)), 300, speedOf)
			wrong, deviation := 0, 0.0
			for i, v := range p.Speeds(places()) {
				if v.Slow != (speedOf(i) < 1) || v.Fast == v.Slow {
					wrong++
				}
				deviation += math.Abs(math.Log(v.Relative / speedOf(i) * 1.01)) // the mean of the logarithms is that of 1.01
			}
			is.True(wrong <= workers/50)
			is.True(deviation/workers < 0.15)
		})
	}
}

// Guards against workers that are taken as slow or fast although all are alike.
func TestWorkersThatAreAlikeStayAlike(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(400) {
		var p profiler.Profiler
		play(&p, rand.New(rand.NewPCG(seed, 2)), 1+int(seed)%130, func(int) float64 { return 1 })
		p.Solve()
		for _, v := range p.Speeds(places()) {
			is.True(!v.Slow)
			is.True(!v.Fast)
		}
	}
}

// Guards against members of a gang that count as equally fast because all report the progress
// of the slowest one.
func TestGangThatReportsItsSlowestMemberTellsNothing(t *testing.T) {
	is := is.New(t)
	speedOf := func(i int) float64 { return []float64{1.8, 0.83, 0.83, 0.83}[i*4/workers] }
	var p profiler.Profiler
	play(&p, rand.New(rand.NewPCG(1, 1)), 100, speedOf)
	p.Solve()
	before := p.Speeds(places())
	for range 200 {
		c := profiler.Comparison{Uneven: true}
		for i := range 12 {
			c.Add(&p, placeOf(i*workers/12), 0.1)
		}
	}
	p.Solve()
	for i, v := range p.Speeds(places()) {
		is.True(math.Abs(math.Log(v.Relative/before[i].Relative)) < 0.05)
	}
}

// Guards against memory that grows with the number of workers that have been there, and
// against a new machine that inherits the speed of the one that had its name.
func TestWorkersAreForgotten(t *testing.T) {
	is := is.New(t)
	var p profiler.Profiler
	at := func(i int) profiler.Place {
		return profiler.Place{Worker: fmt.Sprintf("w%d", i), Rack: "r", Zone: "z"}
	}
	for k := range 2000 {
		var c profiler.Comparison
		for i := range 4 {
			c.Add(&p, at(4*k+i), float64(1+i%2))
		}
	}
	p.Solve()
	is.Equal(p.LogSpeed(at(0)), p.LogSpeed(at(1))) // long ago
	is.True(p.LogSpeed(at(7996)) < p.LogSpeed(at(7997)))
	p.Forget("w7996")
	p.Forget("unknown")
	is.Equal(p.LogSpeed(at(7996)), p.LogSpeed(at(0)))
}

// BenchmarkSolve measures an update of the estimates with as many samples as are kept.
func BenchmarkSolve(b *testing.B) {
	for _, n := range []int{350, 1100, 3000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			var p profiler.Profiler
			for range 16 * n {
				var c profiler.Comparison
				for range 5 {
					i := r.IntN(n)
					c.Add(&p, profiler.Place{Worker: strconv.Itoa(i), Rack: strconv.Itoa(i / 12), Zone: strconv.Itoa(i * 4 / n)}, 1+r.Float64())
				}
			}
			for b.Loop() {
				p.Solve()
			}
		})
	}
}
