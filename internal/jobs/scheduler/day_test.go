package scheduler_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// dayClass is a class of jobs of a simulated day.
type dayClass struct {
	name      string
	perSecond float64 // jobs, for 1,100 workers
	width     float64 // mean tasks of a job
	maxWidth  int
	work      time.Duration // mean of a task
	need      placer.Resources
	sizes     []int // accelerators of a task, drawn for each job
	gang      bool
	sameRack  float64 // share of jobs
	saves     float64 // share of jobs with checkpoints
	queue     scheduler.Queue
	worth     float64
	lateWorth float64
}

// renderDay is a day of label rendering: urgent previews, batch gangs that need up to whole
// workers, and wide rebuilds of small tasks.
func renderDay() []dayClass {
	return []dayClass{
		{
			name: "preview", perSecond: 21.5, width: 7.6, maxWidth: 46, work: 2100 * time.Millisecond,
			need: placer.Resources{MilliCores: 15000, MemoryMB: 79000}, sizes: []int{1, 2, 4, 8, 8}, gang: true, sameRack: 0.8,
			queue: scheduler.Queue{Service: "s", Priority: 0, MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250}, worth: 4, lateWorth: 0.8,
		},
		{
			name: "promo", perSecond: 3.0, width: 26, maxWidth: 160, work: 7200 * time.Millisecond,
			need: placer.Resources{MilliCores: 52000, MemoryMB: 270000}, sizes: []int{1, 2, 4, 8, 8}, gang: true, sameRack: 0.6, saves: 0.45,
			queue: scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 4, Stretch: 3, ObjectiveMS: 1000}, worth: 3, lateWorth: 0.9,
		},
		{
			name: "rebuild", perSecond: 2.4, width: 78, maxWidth: 470, work: 8100 * time.Millisecond,
			need: placer.Resources{MilliCores: 11000, MemoryMB: 46000}, sizes: []int{1}, saves: 0.45,
			queue: scheduler.Queue{Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 3000}, worth: 1, lateWorth: 0.3,
		},
	}
}

// dayEvent is an event of a simulated day: one for the scheduler, or an action.
type dayEvent struct {
	at    time.Duration
	order int
	event scheduler.Event
	do    func()
}

type dayQueue []dayEvent

func (q dayQueue) Len() int { return len(q) }
func (q dayQueue) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[k].at), cmp.Compare(q[i].order, q[k].order)) < 0
}
func (q dayQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *dayQueue) Push(v any) {
	e, _ := v.(dayEvent)
	*q = append(*q, e)
}

func (q *dayQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// dayRun is a run on a worker of a simulated day.
type dayRun struct {
	start      scheduler.Start
	worker     *dayWorker
	began      time.Duration // when it, or its whole gang, began to work
	total      time.Duration // of its work
	works      bool
	saved      time.Duration // work of the task in its newest checkpoint
	before     time.Duration // work of the task that earlier runs had saved
	shapeSaved int           // percent that its checkpoint had done, on days with a shape
}

type dayWorker struct {
	info    scheduler.WorkerInfo
	runs    map[scheduler.TaskID]*dayRun
	ends    []scheduler.End
	lastEnd int64
	hold    *scheduler.Hold // the open one
	holdAt  time.Duration
	speed   float64 // relative to the declared durations
}

type dayJob struct {
	job        scheduler.Job
	class      *dayClass
	work       time.Duration // of each task
	size       float64       // core-seconds
	started    time.Duration // of its first task, negative before
	done       time.Duration // negative before
	ended      map[int]bool  // tasks that have succeeded
	factors    []float64     // of the work of each task, nil if all are the same
	members    map[int64][]*dayRun
	endedTasks int // on days with a shape
}

// taskWork returns the work of a task.
func (j *dayJob) taskWork(index int) time.Duration {
	if j.factors == nil {
		return j.work
	}
	return time.Duration(float64(j.work) * j.factors[index])
}

// day simulates a leader and its workers in virtual time. With a speed, the decisions and
// calls of the leader take time: events that arrive meanwhile wait.
type day struct {
	s        *scheduler.Scheduler
	start    time.Time
	now      time.Duration
	queue    dayQueue
	order    int
	workers  map[string]*dayWorker
	jobs     map[string]*dayJob
	callCost time.Duration // processor time of the leader for a call
	speed    float64       // share of a processor of the leader, 0 for unlimited

	passAt                                    time.Duration // time of the last postponed pass
	busyUntil                                 time.Duration
	cpu                                       time.Duration // of Reduce
	looks, starts, stops, passes, preemptions int
	shape                                     *dayShape // nil for workers and tasks that are alike
	onEffects                                 func(now time.Duration, events []scheduler.Event, effects []scheduler.Effect)
	wasted                                    map[string]float64 // core-seconds of lost work, by counter
	attempts                                  map[scheduler.TaskID]int
	saveInterval, restoreTime                 time.Duration // of checkpoints, 0 for none
}

func newDay(workers int) *day {
	d := &day{start: time.Unix(1_000_000, 0), workers: map[string]*dayWorker{}, jobs: map[string]*dayJob{}, wasted: map[string]float64{}, attempts: map[scheduler.TaskID]int{}}
	d.s = &scheduler.Scheduler{Settings: scheduler.Settings{Lease: 10 * time.Second}, Epoch: 1, LeadingSince: d.start, ConfirmedAt: d.start.Add(time.Hour)}
	var all []scheduler.WorkerInfo
	for i := range workers {
		w := &dayWorker{speed: 1, runs: map[scheduler.TaskID]*dayRun{}, info: scheduler.WorkerInfo{
			ID: fmt.Sprintf("w%04d", i), Address: fmt.Sprintf("w%04d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/12), StartedMS: 1,
			Capacity: placer.Resources{MilliCores: 128000, MemoryMB: 524288, Accelerators: 8},
		}}
		d.workers[w.info.ID] = w
		all = append(all, w.info)
	}
	queues := map[string]scheduler.Queue{}
	for _, c := range renderDay() {
		queues[c.name] = c.queue
	}
	d.post(0, scheduler.ConfigChanged{Config: scheduler.Config{Queues: queues, Guaranteed: map[string]int{}}})
	d.post(0, scheduler.WorkersListed{Workers: all})
	return d
}

func (d *day) push(at time.Duration, e dayEvent) {
	d.order++
	e.at, e.order = at, d.order
	heap.Push(&d.queue, e)
}

func (d *day) post(at time.Duration, e scheduler.Event) { d.push(at, dayEvent{event: e}) }

func (d *day) do(at time.Duration, f func()) { d.push(at, dayEvent{do: f}) }

// submitJobs draws the jobs of a day. Load scales their number, surge that of the urgent
// ones from second 8 to 12.
func (d *day) submitJobs(seed uint64, length time.Duration, load, surge float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	classes := renderDay()
	scale := float64(len(d.workers)) / 1100 * load
	offset := int64(0)
	for i := range classes {
		c := &classes[i]
		for at := time.Second; at < length; {
			rate := c.perSecond * scale
			if c.queue.Priority == 0 && at > 8*time.Second && at < 12*time.Second {
				rate *= surge
			}
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			d.submitJob(r, c, fmt.Sprintf("%s-%d", c.name, offset), offset, at)
			offset++
		}
	}
}

func (d *day) submitJob(r *rand.Rand, c *dayClass, id string, offset int64, at time.Duration) {
	const spread = 0.8 // of the widths, which have a logarithmic normal distribution
	width := int(c.width * math.Exp(spread*r.NormFloat64()-spread*spread/2))
	step := scheduler.Step{
		Tasks: min(max(1, width), c.maxWidth), Need: c.need, Gang: c.gang,
		SameRack: r.Float64() < c.sameRack, Checkpoints: r.Float64() < c.saves,
	}
	step.Need.Accelerators = c.sizes[r.IntN(len(c.sizes))]
	work := time.Duration(float64(c.work) * (0.7 + 0.6*r.Float64()))
	step.EstimateMS = int(float64(work.Milliseconds()) * (0.8 + 0.4*r.Float64()))
	j := &dayJob{class: c, work: work, started: -1, done: -1, ended: map[int]bool{}, members: map[int64][]*dayRun{}, job: scheduler.Job{
		ID: id, Queue: c.name, Organisation: "o" + strconv.Itoa(r.IntN(24)), QueueConfig: c.queue,
		AcceptedMS: d.start.Add(at).UnixMilli(), Steps: []scheduler.Step{step},
	}}
	j.size = float64(step.Tasks) * work.Seconds() * (float64(step.Need.MilliCores)/1000 + 8*float64(step.Need.Accelerators))
	d.jobs[id] = j
	d.post(at, scheduler.Submitted{Job: j.job, Offset: offset})
}

// run plays the day up to the given time.
func (d *day) run(until time.Duration) {
	for at := time.Duration(0); at < until; at += 100 * time.Millisecond {
		d.post(at, scheduler.Ticked{})
	}
	for d.queue.Len() > 0 && d.queue[0].at < until {
		d.now = max(d.queue[0].at, d.now)
		if d.queue[0].do != nil {
			e, _ := heap.Pop(&d.queue).(dayEvent)
			e.do()
			continue
		}
		at := max(d.now, d.busyUntil)
		var events []scheduler.Event
		for d.queue.Len() > 0 && d.queue[0].at <= at {
			e, _ := heap.Pop(&d.queue).(dayEvent)
			if e.do != nil {
				d.now = max(e.at, d.now)
				e.do()
				continue
			}
			events = append(events, e.event)
		}
		d.now = at
		d.reduce(events)
	}
}

func (d *day) reduce(events []scheduler.Event) {
	began := time.Now()
	effects := d.s.Reduce(d.start.Add(d.now), events...)
	took := time.Since(began)
	d.cpu += took
	d.passes++
	if d.onEffects != nil {
		d.onEffects(d.now, events, effects)
	}
	calls := 0
	for _, f := range effects {
		if _, ok := f.(scheduler.Decision); !ok {
			calls++
		}
	}
	if d.speed > 0 {
		d.busyUntil = d.now + time.Duration(float64(took+time.Duration(calls)*d.callCost)/d.speed)
	}
	for _, f := range effects {
		d.execute(f)
	}
	if at := d.s.NextPass(); !at.IsZero() && at.Sub(d.start) > d.passAt {
		d.passAt = at.Sub(d.start)
		d.post(d.passAt, nil)
	}
}

func (d *day) execute(f scheduler.Effect) {
	const oneWay = time.Millisecond
	at := max(d.now, d.busyUntil) + oneWay
	switch f := f.(type) {
	case scheduler.Hold:
		d.looks++
		d.do(at, func() { d.hold(f) })
	case scheduler.Start:
		d.starts++
		d.do(at, func() { d.startRun(f) })
	case scheduler.Stop:
		d.stops++
		d.do(at, func() {
			w := d.workers[f.Worker]
			d.post(d.now+oneWay, scheduler.StopResult{Stop: f, Outcome: scheduler.OutcomeDone})
			if r, ok := w.runs[f.Task]; ok && r.start.Run == f.Run {
				d.do(d.now+200*time.Millisecond, func() { d.end(r, scheduler.EndReasonStopped) })
			}
		})
	case scheduler.Store:
		d.post(at+10*time.Millisecond, scheduler.Stored{})
	case scheduler.Decision:
		if f.Message == "run is preempted by an urgent job" {
			d.preemptions++
		}
		d.wasted[f.Counter] += float64(f.Amount)
	default:
	}
}

func (d *day) clock() int64 { return d.now.Milliseconds() + 1000 }

func (d *day) hold(h scheduler.Hold) {
	w := d.workers[h.Worker]
	for len(w.ends) > 0 && w.ends[0].Number <= h.Ack {
		w.ends = w.ends[1:]
	}
	if w.hold != nil {
		d.answer(w)
	}
	w.hold, w.holdAt = &h, d.now
	if len(w.ends) > 0 {
		d.answer(w)
		return
	}
	d.do(d.now+h.Wait, func() {
		if w.hold == &h {
			d.answer(w)
		}
	})
}

func (d *day) answer(w *dayWorker) {
	e := scheduler.HoldResult{
		Worker: w.info.ID, Sent: d.start.Add(w.holdAt - time.Millisecond), Outcome: scheduler.OutcomeDone,
		ClockMS: d.clock(), StartedMS: 1, Ack: w.hold.Ack, Ends: slices.Clone(w.ends),
	}
	for t, r := range w.runs {
		percent, checkpoint := d.progress(r)
		e.Running = append(e.Running, scheduler.Running{Task: t, Run: r.start.Run, Percent: percent, Checkpoint: checkpoint})
	}
	slices.SortFunc(e.Running, func(a, b scheduler.Running) int { return compareTasks(a.Task, b.Task) })
	w.hold = nil
	d.post(d.now+time.Millisecond, e)
}

func (d *day) startRun(f scheduler.Start) {
	j, w := d.jobs[f.Task.Job], d.workers[f.Worker]
	d.post(d.now+time.Millisecond, scheduler.StartResult{Start: f, Outcome: scheduler.OutcomeDone, ClockMS: d.clock()})
	r := &dayRun{start: f, worker: w, saved: savedWork(f.Checkpoint), before: savedWork(f.Checkpoint)}
	w.runs[f.Task] = r
	d.attempts[f.Task]++
	if j.started < 0 {
		j.started = d.now
	}
	step := j.job.Steps[0]
	if d.shape != nil {
		d.shape.begin(d, j, r)
		return
	}
	if !step.Gang {
		d.work([]*dayRun{r}, 1)
		return
	}
	j.members[f.Run] = append(j.members[f.Run], r)
	members := j.members[f.Run]
	if len(members) < step.Tasks {
		return
	}
	factor := 1
	for _, m := range members {
		if step.SameRack && m.worker.info.Rack != w.info.Rack {
			factor = 3
		}
	}
	d.work(members, factor)
}

// work lets runs that belong together work until their end, which is that of the slowest.
func (d *day) work(all []*dayRun, factor int) {
	j := d.jobs[all[0].start.Task.Job]
	longest := time.Duration(0)
	for _, r := range all {
		left := max(0, j.taskWork(r.start.Task.Index)-r.before)
		r.began, r.works = d.now, true
		r.total = max(time.Millisecond, time.Duration(float64(left*time.Duration(factor))/r.worker.speed))
		if r.before > 0 {
			r.total += d.restoreTime
		}
		longest = max(longest, r.total)
	}
	d.do(d.now+longest, func() {
		for _, r := range all {
			if v, ok := r.worker.runs[r.start.Task]; !ok || v != r {
				return // one of them was stopped
			}
		}
		for _, r := range all {
			d.end(r, scheduler.EndReasonDone)
			j.ended[r.start.Task.Index] = true
		}
		if len(j.ended) == j.job.Steps[0].Tasks {
			j.done = d.now
		}
	})
}

// progress returns the percentage and the checkpoint that a worker reports of a run.
func (d *day) progress(r *dayRun) (int, string) {
	if d.shape != nil {
		return d.shape.percent(d, r), d.shape.savedWork(d, r)
	}
	percent := 0
	if r.works {
		percent = min(99, int(100*(d.now-r.began)/r.total))
	}
	return percent, d.checkpoint(r)
}

// checkpoint returns the newest checkpoint of a run.
func (d *day) checkpoint(r *dayRun) string {
	if d.saveInterval > 0 && r.works && d.jobs[r.start.Task.Job].job.Steps[0].Checkpoints {
		ran := min(d.now-r.began, r.total)
		work := time.Duration(float64(ran-ran%d.saveInterval) / float64(r.total) * float64(d.jobs[r.start.Task.Job].taskWork(r.start.Task.Index)-r.before))
		r.saved = max(r.saved, r.before+work)
	}
	if r.saved == 0 {
		return ""
	}
	return r.saved.String()
}

// savedWork returns the work in a checkpoint.
func savedWork(checkpoint string) time.Duration {
	work, _ := time.ParseDuration(checkpoint) // 0 without a checkpoint
	return work
}

func (d *day) end(r *dayRun, reason scheduler.EndReason) {
	w := r.worker
	if v, ok := w.runs[r.start.Task]; !ok || v != r {
		return
	}
	if d.shape != nil && reason != scheduler.EndReasonDone {
		d.shape.noteWaste(d, r)
	}
	_, saved := d.progress(r)
	delete(w.runs, r.start.Task)
	w.lastEnd++
	w.ends = append(w.ends, scheduler.End{Number: w.lastEnd, Task: r.start.Task, Run: r.start.Run, Reason: reason, Checkpoint: saved})
	if w.hold != nil {
		d.answer(w)
	}
}

// served returns the share of the worth of a class, or of all for "", that its callers
// got: jobs are weighed by their size and earn less when late, as on the platform.
func (d *day) served(class string, until time.Duration) float64 {
	mean, n := map[string]float64{}, map[string]float64{}
	for _, j := range d.jobs {
		mean[j.class.name] += j.size
		n[j.class.name]++
	}
	got, owed := 0.0, 0.0
	for _, j := range d.jobs {
		accepted := time.Duration(j.job.AcceptedMS-d.start.UnixMilli()) * time.Millisecond
		if (class != "" && j.class.name != class) || accepted > until {
			continue
		}
		v := min(4, 0.3+0.7*j.size/(mean[j.class.name]/n[j.class.name]))
		objective := time.Duration(float64(j.work)*j.class.queue.Stretch) + time.Duration(j.class.queue.ObjectiveMS)*time.Millisecond
		owed += v * j.class.worth
		switch took := j.done - accepted; {
		case j.done < 0 || took > 3*objective:
		case took > objective:
			got += v * j.class.lateWorth
		default:
			got += v * j.class.worth
		}
	}
	return got / owed
}

// startTimes returns the median and the 95th percentile of the time from the acceptance of
// a job to its first start.
func (d *day) startTimes() (time.Duration, time.Duration) {
	var all []time.Duration
	for _, j := range d.jobs {
		if j.started >= 0 {
			all = append(all, j.started-time.Duration(j.job.AcceptedMS-d.start.UnixMilli())*time.Millisecond)
		}
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*95/100]
}

// benchmarkSetting returns a number from the environment.
func benchmarkSetting(name string, value float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return value
}

// BenchmarkDay plays a day of label rendering. It reports the processor time of Reduce for
// a second of the day, calls, and what callers got. LOAD and SURGE scale the jobs, SPEED
// and CALL_US give the leader a share of a processor and calls a cost.
func BenchmarkDay(b *testing.B) {
	for _, workers := range []int{50, 350, 1100} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			const length, tail = 20 * time.Second, 25 * time.Second
			for b.Loop() {
				d := newDay(workers)
				d.speed, d.callCost = benchmarkSetting("SPEED", 0), time.Duration(benchmarkSetting("CALL_US", 0))*time.Microsecond
				d.submitJobs(uint64(benchmarkSetting("SEED", 1)), length, benchmarkSetting("LOAD", 1), benchmarkSetting("SURGE", 1))
				d.run(length + tail)
				runtime.GC()
				half, most := d.startTimes()
				b.ReportMetric(float64(d.cpu.Microseconds())/(length+tail).Seconds()/1000, "reduce-ms/s")
				b.ReportMetric(float64(d.looks)/(length+tail).Seconds(), "looks/s")
				b.ReportMetric(float64(d.starts), "starts")
				b.ReportMetric(float64(d.preemptions), "preempted")
				b.ReportMetric(float64(d.passes)/(length+tail).Seconds(), "reduces/s")
				b.ReportMetric(float64(half.Milliseconds()), "start-p50-ms")
				b.ReportMetric(float64(most.Milliseconds()), "start-p95-ms")
				for _, c := range renderDay() {
					b.ReportMetric(d.served(c.name, length), c.name)
				}
				b.ReportMetric(d.served("", length), "worth")
			}
		})
	}
}
