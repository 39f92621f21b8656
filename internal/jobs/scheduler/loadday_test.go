package scheduler_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// loadShape is a deployment whose jobs may need more than there is.
type loadShape struct {
	name                      string
	zones, perRack            int
	capacity                  placer.Resources
	speeds                    []float64 // drawn for each rack
	settings                  scheduler.Settings
	saveInterval, restoreTime time.Duration
	classes                   []dayClass
}

const (
	loadWorkers     = 350
	loadGuaranteed  = 0.6  // of the accelerators
	stragglerShare  = 0.03 // of the tasks
	stragglerFactor = 7
	taskSpread      = 0.3 // by which durations within a step differ
)

// loadShapes are the deployments N and T of docs/HARD-LOAD.md.
func loadShapes() []loadShape {
	class := func(name string, perSecond, width float64, maxWidth int, work time.Duration, cores, memory int, q scheduler.Queue, worth, late float64) dayClass {
		q.Service = "s"
		return dayClass{
			name: name, perSecond: perSecond, width: width, maxWidth: maxWidth, work: work, need: placer.Resources{MilliCores: cores, MemoryMB: memory},
			sizes: []int{1, 2, 4, 8, 8}, gang: true, queue: q, worth: worth, lateWorth: worth * late,
		}
	}
	shape := func(urgent, batch, bulk dayClass) []dayClass {
		urgent.sameRack = 0.8
		batch.sameRack, batch.saves = 0.6, 0.45
		bulk.gang, bulk.sizes, bulk.saves = false, []int{1}, 0.45
		return []dayClass{urgent, batch, bulk}
	}
	batch := scheduler.Queue{Priority: 1, MaxAttempts: 4, Stretch: 3, ObjectiveMS: 1000}
	bulk := scheduler.Queue{Priority: 2, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 3000}
	return []loadShape{
		{
			name: "N", zones: 4, perRack: 12, capacity: placer.Resources{MilliCores: 128000, MemoryMB: 524288, Accelerators: 8}, speeds: []float64{0.55, 1.2, 1.2, 1.2},
			settings: scheduler.Settings{Lease: 10 * time.Second, GangTimeout: 4 * time.Second, StopTime: 900 * time.Millisecond}, saveInterval: 2 * time.Second, restoreTime: 250 * time.Millisecond,
			classes: shape(
				class("urgent", 7.74, 5, 30, 2100*time.Millisecond, 12000, 30000, scheduler.Queue{MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 300}, 4, 0.8),
				class("batch", 1.45, 13, 78, 9400*time.Millisecond, 14000, 50000, batch, 3, 0.9),
				class("bulk", 1.79*1.3, 39, 230, 6500*time.Millisecond, 11000, 40000, bulk, 1, 0.3),
			),
		},
		{
			name: "T", zones: 3, perRack: 8, capacity: placer.Resources{MilliCores: 32000, MemoryMB: 65536, Accelerators: 8}, speeds: []float64{1, 1, 1.3},
			settings: scheduler.Settings{Lease: 6 * time.Second, GangTimeout: 4 * time.Second, StopTime: 200 * time.Millisecond}, saveInterval: time.Second, restoreTime: 100 * time.Millisecond,
			classes: shape(
				class("urgent", 8.94, 5, 30, 2500*time.Millisecond, 3000, 4000, scheduler.Queue{MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250}, 4, 0.8),
				class("batch", 1.34, 13, 78, 11*time.Second, 3500, 6000, batch, 3, 0.9),
				class("bulk", 2.06*1.3, 39, 230, 6100*time.Millisecond, 2800, 5000, bulk, 1, 0.3),
			),
		},
	}
}

// newLoadDay returns a day of a shape without jobs.
func newLoadDay(shape *loadShape, seed uint64) *day {
	d := newDay(0)
	d.s.Settings = shape.settings
	d.saveInterval, d.restoreTime = shape.saveInterval, shape.restoreTime
	r := rand.New(rand.NewPCG(seed, 2))
	var all []scheduler.WorkerInfo
	speed := 1.0
	for i := range loadWorkers {
		if i%shape.perRack == 0 {
			speed = shape.speeds[r.IntN(len(shape.speeds))]
		}
		rack := i / shape.perRack
		w := &dayWorker{speed: speed, runs: map[scheduler.TaskID]*dayRun{}, info: scheduler.WorkerInfo{
			ID: fmt.Sprintf("w%04d", i), Address: fmt.Sprintf("w%04d", i), Service: "s", Zone: fmt.Sprintf("z%d", rack%shape.zones), Rack: fmt.Sprintf("r%d", rack), StartedMS: 1, Capacity: shape.capacity,
		}}
		d.workers[w.info.ID] = w
		all = append(all, w.info)
	}
	queues, guaranteed := map[string]scheduler.Queue{}, map[string]int{}
	for _, c := range shape.classes {
		queues[c.name] = c.queue
	}
	for i, share := range loadOrganisations() {
		guaranteed["o"+strconv.Itoa(i)] = int(share * loadGuaranteed * float64(loadWorkers*shape.capacity.Accelerators))
	}
	d.post(0, scheduler.ConfigChanged{Config: scheduler.Config{Queues: queues, Guaranteed: guaranteed}})
	d.post(0, scheduler.WorkersListed{Workers: all})
	return d
}

// loadOrganisations returns the shares of the organisations, a few of them large.
func loadOrganisations() []float64 {
	return []float64{0.25, 0.2, 0.15, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}
}

// submitLoad draws jobs that need the given share of the accelerators on average over the
// length, of which bursts of urgent and batch jobs are a part.
func (d *day) submitLoad(shape *loadShape, seed uint64, length time.Duration, load float64) {
	d.drawLoad(shape, seed, length, 1)
	needed := 0.0
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		needed += d.jobs[id].busyAccelerators(shape)
	}
	scale := load * length.Seconds() * float64(loadWorkers*shape.capacity.Accelerators) / needed
	clear(d.jobs)
	d.drawLoad(shape, seed, length, scale)
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) { // in order, as some are submitted at the same time
		j := d.jobs[id]
		offset, _ := strconv.Atoi(id[len(j.class.name)+1:])
		d.post(time.Duration(j.job.AcceptedMS-d.start.UnixMilli())*time.Millisecond, scheduler.Submitted{Job: j.job, Offset: int64(offset)})
	}
}

// busyAccelerators returns the accelerator-seconds that a job holds on workers of mean speed.
func (j *dayJob) busyAccelerators(shape *loadShape) float64 {
	speed := 0.0
	for _, v := range shape.speeds {
		speed += 1 / v / float64(len(shape.speeds))
	}
	sum, longest := 0.0, 0.0
	for _, f := range j.factors {
		sum += f
		longest = max(longest, f)
	}
	if j.class.gang {
		sum = longest * float64(len(j.factors))
	}
	return sum * j.work.Seconds() * float64(j.job.Steps[0].Need.Accelerators) * speed
}

func (d *day) drawLoad(shape *loadShape, seed uint64, length time.Duration, scale float64) {
	offset := int64(0)
	for i := range shape.classes {
		c := &shape.classes[i]
		r := rand.New(rand.NewPCG(seed, uint64(10+i)))
		for at := time.Second; at < length; {
			rate := c.perSecond * scale
			for k, from := range []time.Duration{length / 4, length * 6 / 10} {
				if c.gang && at >= from && at < from+5*time.Second {
					rate *= float64(2 + k)
				}
			}
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			d.drawLoadJob(r, c, fmt.Sprintf("%s-%d", c.name, offset), at)
			offset++
		}
	}
}

func (d *day) drawLoadJob(r *rand.Rand, c *dayClass, id string, at time.Duration) {
	const spread = 0.8 // of the widths, which have a logarithmic normal distribution
	width := int(c.width*math.Exp(spread*r.NormFloat64()-spread*spread/2) + 0.5)
	step := scheduler.Step{
		Tasks: min(max(1, width), c.maxWidth), Need: c.need, Gang: c.gang,
		SameRack: r.Float64() < c.sameRack, Checkpoints: r.Float64() < c.saves,
	}
	step.Need.Accelerators = c.sizes[r.IntN(len(c.sizes))]
	work := time.Duration(float64(c.work) * (0.7 + 0.6*r.Float64()))
	wrong := 0.5
	if !c.gang {
		wrong = 0.9
	}
	step.EstimateMS = max(100, int(float64(work.Milliseconds())*(1-wrong+2*wrong*r.Float64())))
	share, organisation := r.Float64(), 0
	for i, v := range loadOrganisations() {
		if organisation = i; share < v {
			break
		}
		share -= v
	}
	j := &dayJob{class: c, work: work, started: -1, done: -1, ended: map[int]bool{}, members: map[int64][]*dayRun{}, job: scheduler.Job{
		ID: id, Queue: c.name, Organisation: "o" + strconv.Itoa(organisation), QueueConfig: c.queue,
		AcceptedMS: d.start.Add(at).UnixMilli(), Steps: []scheduler.Step{step},
	}}
	for range step.Tasks {
		f := 1 - taskSpread + 2*taskSpread*r.Float64()
		if r.Float64() < stragglerShare {
			f *= stragglerFactor
		}
		j.factors = append(j.factors, f)
	}
	j.size = float64(step.Tasks) * work.Seconds() * (float64(step.Need.MilliCores)/1000 + 8*float64(step.Need.Accelerators))
	d.jobs[id] = j
}

// classResult is what the callers of a class got.
type classResult struct {
	jobs, inTime, late, largest, largestServed int
	value, possible                            float64
	gone                                       int // jobs that have not ended
}

func (d *day) classResult(class string) classResult {
	var all []*dayJob
	mean := 0.0
	for _, j := range d.jobs {
		if j.class.name == class {
			all = append(all, j)
			mean += j.size
		}
	}
	mean /= float64(len(all))
	slices.SortFunc(all, func(a, b *dayJob) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.job.ID, b.job.ID))
	})
	n := classResult{jobs: len(all), largest: len(all) / 10}
	for i, j := range all {
		v := min(4, 0.3+0.7*j.size/mean)
		n.possible += v * j.class.worth
		objective := time.Duration(float64(j.work)*j.class.queue.Stretch) + time.Duration(j.class.queue.ObjectiveMS)*time.Millisecond
		took := j.done - time.Duration(j.job.AcceptedMS-d.start.UnixMilli())*time.Millisecond
		served := j.done >= 0 && took <= 3*objective
		switch {
		case j.done < 0:
			n.gone++
		case !served:
		case took > objective:
			n.late++
			n.value += v * j.class.lateWorth
		default:
			n.inTime++
			n.value += v * j.class.worth
		}
		if served {
			if i < n.largest {
				n.largestServed++
			}
		}
	}
	return n
}

// BenchmarkLoad plays days of the shapes N and T at several loads, each over several seeds,
// and reports what callers of each class got and the lost work by cause. LOAD, SEEDS and
// LENGTH (in seconds) change it.
func BenchmarkLoad(b *testing.B) {
	for _, shape := range loadShapes() {
		for _, load := range []float64{0.8, 1.0, 1.2} {
			b.Run(fmt.Sprintf("%s/%.1f", shape.name, load), func(b *testing.B) {
				length, tail := time.Duration(benchmarkSetting("LENGTH", 60))*time.Second, 90*time.Second
				for b.Loop() {
					r := loadResult{wasted: map[string]float64{}, classes: map[string]classResult{}}
					for seed := range uint64(benchmarkSetting("SEEDS", 4)) {
						d := newLoadDay(&shape, seed+1)
						d.submitLoad(&shape, seed+1, length, load*benchmarkSetting("LOAD", 1))
						d.run(length + tail)
						r.add(d, &shape)
					}
					r.report(b, &shape)
				}
			})
		}
	}
}

// loadResult is the sum of several days.
type loadResult struct {
	wasted              map[string]float64
	classes             map[string]classResult
	preempted, repeated int
	possible, value     float64
	cpu                 time.Duration
	work                float64 // core-seconds of all jobs, by their mean durations
}

func (r *loadResult) add(d *day, shape *loadShape) {
	for k, v := range d.wasted {
		r.wasted[k] += v
	}
	for _, c := range shape.classes {
		n, sum := d.classResult(c.name), r.classes[c.name]
		sum.jobs += n.jobs
		sum.inTime += n.inTime
		sum.late += n.late
		sum.gone += n.gone
		sum.largest += n.largest
		sum.largestServed += n.largestServed
		sum.value += n.value
		sum.possible += n.possible
		r.classes[c.name] = sum
		r.value += n.value
		r.possible += n.possible
	}
	r.preempted += d.preemptions
	for _, n := range d.attempts {
		if n >= 3 {
			r.repeated++
		}
	}
	r.cpu += d.cpu
	for _, j := range d.jobs {
		r.work += j.size
	}
}

func (r *loadResult) report(b *testing.B, shape *loadShape) {
	b.Helper()
	for _, c := range shape.classes {
		n := r.classes[c.name]
		b.ReportMetric(float64(n.inTime)/float64(n.jobs), c.name+"-intime")
		b.ReportMetric(float64(n.late)/float64(n.jobs), c.name+"-late")
		b.ReportMetric(float64(n.gone)/float64(n.jobs), c.name+"-unended")
		b.ReportMetric(n.value/n.possible, c.name+"-value")
		b.ReportMetric(float64(n.largestServed)/float64(max(1, n.largest))/(float64(n.inTime+n.late)/float64(n.jobs)), c.name+"-largest")
	}
	sum := 0.0
	for k, v := range r.wasted {
		if k != "" && v > 0 && len(k) > 6 && k[:6] == "wasted" {
			b.ReportMetric(v/r.work*100, k+"-%")
			sum += v
		}
	}
	b.ReportMetric(sum/r.work*100, "wasted-%")
	b.ReportMetric(float64(r.preempted), "preempted")
	b.ReportMetric(float64(r.repeated), "started-3-times")
	b.ReportMetric(r.value/r.possible, "value")
	b.ReportMetric(r.cpu.Seconds(), "reduce-s")
}
