package scheduler_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// dayShape is a deployment whose workers differ in speed and whose tasks differ in length.
type dayShape struct {
	name         string
	speeds       []float64 // of the workers of each zone
	evenly       bool      // the speeds go by worker in turn instead
	spread       float64   // standard deviation of the logarithm of the speed of each worker, beside its zone
	perRack      int
	capacity     placer.Resources
	classes      []dayClass
	checkpoint   time.Duration // interval of checkpoints
	restore      time.Duration
	sharedGang   bool // members of a gang report the progress of the slowest one
	accelerators float64

	speedOf map[string]float64 // by worker
	wasted  float64            // core-seconds of stopped runs
}

// The unevenness of tasks in docs/HARD-LOAD.md.
const (
	shapeTaskSpread     = 0.3  // by which tasks of a step differ in length
	shapeStragglerShare = 0.03 // of the tasks
	stragglerTimes      = 7    // as long as others
	remoteFactor        = 3    // of rack-bound gangs on several racks
)

// hardClasses are the jobs of docs/HARD-LOAD.md for workers with the given capacity.
func hardClasses(worker placer.Resources, urgent, batch, bulk time.Duration, objectiveMS int) []dayClass {
	per := placer.Resources{MilliCores: worker.MilliCores / 10, MemoryMB: worker.MemoryMB / 10}
	return []dayClass{
		{
			name: "urgent", perSecond: 7.74, width: 5, maxWidth: 30, work: urgent, need: per, sizes: []int{1, 2, 4, 8}, gang: true, sameRack: 0.8,
			queue: scheduler.Queue{Service: "s", Priority: 0, MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: objectiveMS}, worth: 4, lateWorth: 0.8,
		},
		{
			name: "batch", perSecond: 1.45, width: 13, maxWidth: 78, work: batch, need: per, sizes: []int{1, 2, 4, 8}, gang: true, sameRack: 0.6, saves: 0.45,
			queue: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 4, Stretch: 3, ObjectiveMS: 1000}, worth: 3, lateWorth: 0.9,
		},
		{
			name: "bulk", perSecond: 1.79, width: 39, maxWidth: 230, work: bulk, need: per, sizes: []int{1}, saves: 0.45,
			queue: scheduler.Queue{Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 3000}, worth: 1, lateWorth: 0.3,
		},
	}
}

// dayShapes returns the deployments of docs/HARD-LOAD.md, whose workers differ by zone or are
// spread evenly, and others with a different distribution of speeds.
func dayShapes() []dayShape {
	large := placer.Resources{MilliCores: 128000, MemoryMB: 524288, Accelerators: 8}
	small := placer.Resources{MilliCores: 32000, MemoryMB: 65536, Accelerators: 8}
	n := dayShape{
		name: "n", speeds: []float64{1 / 0.55, 1 / 1.2, 1 / 1.2, 1 / 1.2}, perRack: 12, capacity: large, checkpoint: 2 * time.Second, restore: 250 * time.Millisecond,
		classes: hardClasses(large, 2100*time.Millisecond, 9400*time.Millisecond, 6500*time.Millisecond, 300),
	}
	t := dayShape{
		name: "t", speeds: []float64{1, 1, 1 / 1.3}, perRack: 8, capacity: small, checkpoint: time.Second, restore: 100 * time.Millisecond,
		classes: hardClasses(small, 2500*time.Millisecond, 11000*time.Millisecond, 6100*time.Millisecond, 250),
	}
	nEven, tEven, slow, random, shared, alike := n, t, n, n, n, n
	nEven.name, nEven.evenly = "n-evenly", true
	tEven.name, tEven.evenly = "t-evenly", true
	slow.name, slow.speeds = "slow-zone", []float64{0.55, 1.2, 1.2, 1.2}
	random.name, random.speeds, random.spread = "random", []float64{1, 1, 1, 1}, 0.3
	shared.name, shared.sharedGang = "n-shared", true
	alike.name, alike.speeds = "alike", []float64{1, 1, 1, 1}
	return []dayShape{n, nEven, t, tEven, slow, random, shared, alike}
}

// newShapedDay returns a day of the shape.
func newShapedDay(v dayShape, workers int, seed uint64) *day {
	d := newDay(0)
	d.queue = nil
	v.speedOf = map[string]float64{}
	d.shape = &v
	r := rand.New(rand.NewPCG(seed, 2))
	var all []scheduler.WorkerInfo
	for i := range workers {
		zone := i * len(v.speeds) / workers
		id := fmt.Sprintf("w%04d", i)
		w := &dayWorker{runs: map[scheduler.TaskID]*dayRun{}, info: scheduler.WorkerInfo{
			ID: id, Address: id, Service: "s", Zone: "z" + strconv.Itoa(zone), Rack: fmt.Sprintf("z%d-r%d", zone, i/v.perRack), StartedMS: 1, Capacity: v.capacity,
		}}
		d.workers[id] = w
		class := zone
		if v.evenly {
			class = i % len(v.speeds)
		}
		v.speedOf[id] = v.speeds[class] * math.Exp(v.spread*r.NormFloat64())
		v.accelerators += v.speedOf[id] * float64(v.capacity.Accelerators)
		all = append(all, w.info)
	}
	queues := map[string]scheduler.Queue{}
	for _, c := range v.classes {
		queues[c.name] = c.queue
	}
	d.post(0, scheduler.ConfigChanged{Config: scheduler.Config{Queues: queues, Guaranteed: map[string]int{}}})
	d.post(0, scheduler.WorkersListed{Workers: all})
	return d
}

// submit draws jobs that use the given share of the capacity of all workers, and more urgent
// ones than in the mean while surge is over 1.
func (v *dayShape) submit(d *day, seed uint64, length time.Duration, load float64) {
	used := v.draw(newShapedDay(*v, len(d.workers), seed), seed, length, 0.2) / 0.2
	v.draw(d, seed, length, load*v.accelerators*length.Seconds()/used)
}

// draw submits the jobs of a day and returns the accelerator-seconds that they use.
func (v *dayShape) draw(d *day, seed uint64, length time.Duration, scale float64) float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	offset, used := int64(0), 0.0
	for i := range v.classes {
		c := &v.classes[i]
		for at := time.Second; at < length; {
			at += time.Duration(r.ExpFloat64() / (c.perSecond * scale) * float64(time.Second))
			id := fmt.Sprintf("%s-%d", c.name, offset)
			d.submitJob(r, c, id, offset, at)
			j := d.jobs[id]
			need := &j.job.Steps[0].Need
			n := need.Accelerators
			*need = need.Times(n) // cores and memory by accelerator
			need.Accelerators = n
			j.size = float64(j.job.Steps[0].Tasks) * j.work.Seconds() * (float64(need.MilliCores)/1000 + 8*float64(n))
			scaleDeclared(r, j)
			offset++
			used += v.use(j)
		}
	}
	return used
}

// scaleDeclared makes the declared duration of a job wrong by up to a half, of bulk jobs by up
// to 0.9.
func scaleDeclared(r *rand.Rand, j *dayJob) {
	wrong := 0.5
	if !j.job.Steps[0].Gang {
		wrong = 0.9
	}
	j.job.Steps[0].EstimateMS = int(float64(j.work.Milliseconds()) * (1 + wrong*(2*r.Float64()-1)))
}

// use returns the accelerator-seconds of a job on workers of speed 1.
func (v *dayShape) use(j *dayJob) float64 {
	step := j.job.Steps[0]
	sum, longest := 0.0, 0.0
	for i := range step.Tasks {
		t := v.length(j, i).Seconds()
		sum, longest = sum+t, max(longest, t)
	}
	if step.Gang {
		sum = longest * float64(step.Tasks)
	}
	return sum * float64(step.Need.Accelerators)
}

// length returns the work of a task of a job.
func (v *dayShape) length(j *dayJob, index int) time.Duration {
	h := rand.New(rand.NewPCG(uint64(len(j.job.ID)), hashOf(j.job.ID)+uint64(index)))
	f := 1 + shapeTaskSpread*(2*h.Float64()-1)
	if h.Float64() < shapeStragglerShare {
		f *= stragglerTimes
	}
	return time.Duration(float64(j.work) * f)
}

func hashOf(s string) uint64 {
	n := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		n = (n ^ uint64(c)) * 1099511628211
	}
	return n
}

// begin lets a run work, once its gang is complete if it has one.
func (v *dayShape) begin(d *day, j *dayJob, r *dayRun) {
	step := j.job.Steps[0]
	members := []*dayRun{r}
	factor := 1.0
	if step.Gang {
		j.members[r.start.Run] = append(j.members[r.start.Run], r)
		members = j.members[r.start.Run]
		if len(members) < step.Tasks {
			return
		}
		for _, m := range members {
			if step.SameRack && m.worker.info.Rack != r.worker.info.Rack {
				factor = remoteFactor
			}
		}
	}
	left := time.Duration(0)
	for _, m := range members {
		m.began, m.works = d.now, true
		m.total = time.Duration(float64(v.length(j, m.start.Task.Index)) * factor / v.speedOf[m.worker.info.ID])
		if m.start.Checkpoint != "" {
			m.shapeSaved, _ = strconv.Atoi(m.start.Checkpoint)
			m.began += v.restore
		}
		left = max(left, m.began-d.now+m.total*time.Duration(100-m.shapeSaved)/100)
	}
	if v.sharedGang {
		for _, m := range members {
			m.total = left
		}
	}
	d.do(d.now+left, func() { v.finish(d, j, members) })
}

func (v *dayShape) finish(d *day, j *dayJob, members []*dayRun) {
	for _, r := range members {
		if n, ok := r.worker.runs[r.start.Task]; !ok || n != r {
			return // one of them was stopped
		}
	}
	for _, r := range members {
		d.end(r, scheduler.EndReasonDone)
	}
	j.endedTasks += len(members)
	if j.endedTasks >= j.job.Steps[0].Tasks {
		j.done = d.now
	}
}

// percent returns the progress of a run.
func (*dayShape) percent(d *day, r *dayRun) int {
	if !r.works || d.now < r.began {
		return r.shapeSaved
	}
	return min(99, r.shapeSaved+int(100*(d.now-r.began)/r.total))
}

// checkpoint returns the checkpoint of a run: the percentage that it had done.
func (*dayShape) savedWork(d *day, r *dayRun) string {
	if d.shape == nil || !d.jobs[r.start.Task.Job].job.Steps[0].Checkpoints {
		return ""
	}
	at := (d.now - r.began).Truncate(d.shape.checkpoint)
	if !r.works || at <= 0 {
		return r.start.Checkpoint
	}
	return strconv.Itoa(min(99, r.shapeSaved+int(100*at/r.total)))
}

// noteWaste counts the core-seconds that a stopped run loses.
func (v *dayShape) noteWaste(d *day, r *dayRun) {
	if !r.works {
		return
	}
	lost := d.now - r.began
	step := d.jobs[r.start.Task.Job].job.Steps[0]
	if step.Checkpoints {
		lost %= v.checkpoint
	}
	v.wasted += lost.Seconds() * (float64(step.Need.MilliCores)/1000 + 8*float64(step.Need.Accelerators))
}

// inTime returns the shares of the jobs that ended within their objectives, and later with
// some value.
func (d *day) inTime(until time.Duration) (float64, float64) {
	n, early, late := 0.0, 0.0, 0.0
	for _, j := range d.jobs {
		accepted := time.Duration(j.job.AcceptedMS-d.start.UnixMilli()) * time.Millisecond
		if accepted > until {
			continue
		}
		n++
		objective := time.Duration(float64(j.work)*j.class.queue.Stretch) + time.Duration(j.class.queue.ObjectiveMS)*time.Millisecond
		switch took := j.done - accepted; {
		case j.done < 0 || took > 3*objective:
		case took > objective:
			late++
		default:
			early++
		}
	}
	return early / n, late / n
}

// BenchmarkShapedDay plays days of docs/HARD-LOAD.md, whose workers differ in speed, at the
// loads LOADS with SEEDS seeds each, and reports the means over the seeds. SHAPES restricts the
// deployments, WORKERS sets the number of workers.
func BenchmarkShapedDay(b *testing.B) {
	const length, tail = 40 * time.Second, 60 * time.Second
	seeds, _ := strconv.Atoi(cmp.Or(os.Getenv("SEEDS"), "3"))
	workers, _ := strconv.Atoi(cmp.Or(os.Getenv("WORKERS"), "350"))
	for _, v := range dayShapes() {
		if only := os.Getenv("SHAPES"); only != "" && !slices.Contains(strings.Split(only, ","), v.name) {
			continue
		}
		for _, load := range strings.Split(cmp.Or(os.Getenv("LOADS"), "0.8,1.0,1.2"), ",") {
			b.Run(v.name+"/"+load, func(b *testing.B) {
				for b.Loop() {
					sums := map[string]float64{}
					for seed := range seeds {
						playShapedDay(v, workers, uint64(seed+1), load, length, tail, sums)
					}
					for k, n := range sums {
						b.ReportMetric(n/float64(seeds), k)
					}
				}
			})
		}
	}
}

func playShapedDay(v dayShape, workers int, seed uint64, load string, length, tail time.Duration, sums map[string]float64) {
	share, _ := strconv.ParseFloat(load, 64)
	d := newShapedDay(v, workers, seed)
	d.shape.submit(d, seed, length, share)
	d.run(length + tail)
	early, late := d.inTime(length)
	sums["in-time"] += early
	sums["late"] += late
	sums["worth"] += d.served("", length)
	sums["wasted-kcs"] += d.shape.wasted / 1000
	sums["preempted"] += float64(d.preemptions)
	sums["reduce-ms/s"] += float64(d.cpu.Microseconds()) / (length + tail).Seconds() / 1000
	for _, c := range v.classes {
		sums[c.name] += d.served(c.name, length)
	}
}
