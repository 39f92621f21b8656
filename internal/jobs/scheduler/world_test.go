package scheduler_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	worldStep   = 10 * time.Millisecond
	runStopTime = 100 * time.Millisecond
	lease       = 10 * time.Second

	maxListedEnds = 500 // in one answer to a hold
)

// world simulates a leading VM, its workers, the platform and a store in virtual
// time.
type world struct {
	now            time.Time
	began          time.Time
	renewalsLost   bool      // renewals of the leadership do not reach the store
	pausedUntil    time.Time // the leader handles no events before
	unreadJob      string    // job that a new leader has not read yet
	s              *scheduler.Scheduler
	epoch          int64
	config         scheduler.Config
	workers        map[string]*fakeWorker
	jobs           map[string]scheduler.Submitted
	durations      map[string][]time.Duration // real duration of a task, by job and step
	stored         map[string]scheduler.Progress
	deliveries     []delivery
	storeUp        bool
	unreachable    map[string]bool
	answersLost    map[string]bool // workers that execute starts but whose answers are lost
	storeCalls     int
	holdCalls      int
	heldBy         map[string]int  // holds, by worker
	starts         map[string]int  // started runs, by job
	allowed        map[string]bool // workers that get tickets
	ticketLifetime time.Duration
	unadvised      string // job for which every call for advice fails
	adviceCalls    int
	paceChanges    int
	ackedTasks     map[scheduler.TaskID]bool // tasks whose success was acknowledged
	lastStarts     map[scheduler.TaskID]time.Time
	violation      string // violated guarantee, empty for none

	waves                     map[int]scheduler.StoreWave // as stored
	knownWaves                []scheduler.Wave
	wavesLost                 bool     // the progress of waves is not stored
	upkeepDone                []string // machines that have had their upkeep
	down, maxDown, cutOffRuns int

	doomed       map[string]bool              // jobs whose tasks fail wherever they start
	deadly       map[string]time.Duration     // jobs whose tasks 0 crash their workers that long after each start
	crashes      map[scheduler.TaskID]int     // workers that crashed under a deadly task
	laterStarts  map[scheduler.TaskID]int     // starts of such a task after three crashes
	replaced     map[string]bool              // workers whose address another worker has
	machinesDown bool                         // the list of machines is not available
	counters     map[string]int               // of decisions
	amounts      map[string]int               // sums of the amounts of decisions, by counter
	logged       map[string]int               // decisions, by message
	waits        map[string]scheduler.Details // last line about waiting tasks, by job

	cancelled     map[string]bool // jobs
	deleted       map[string]bool // jobs and occurrences whose records were deleted from the store
	faulty        map[string]bool // jobs whose runs all fail
	releasedEpoch int64           // last epoch whose leader released the leadership
	watch         *standingWatch  // checks that no job stands, nil for none

	poweredOff      []scheduler.Machine // switched-off machines
	unmovable       map[string]bool     // machines that the platform does not move
	loans           scheduler.Loans     // as stored
	moves, listings int

	evacuation   evacuationWorld
	saveInterval time.Duration // of work between two checkpoints, 0 for no checkpoints

	schedule struct { // of the next submitted job
		times           int
		delay, interval time.Duration
	}
}

type delivery struct {
	at    time.Time
	event scheduler.Event
	do    func()
}

func newWorld() *world {
	w := &world{
		now: time.Unix(1_000_000, 0), heldBy: map[string]int{}, workers: map[string]*fakeWorker{}, jobs: map[string]scheduler.Submitted{},
		durations: map[string][]time.Duration{}, starts: map[string]int{}, stored: map[string]scheduler.Progress{}, storeUp: true,
		allowed: map[string]bool{}, ackedTasks: map[scheduler.TaskID]bool{}, lastStarts: map[scheduler.TaskID]time.Time{}, unreachable: map[string]bool{}, waves: map[int]scheduler.StoreWave{}, answersLost: map[string]bool{},
		config:    scheduler.Config{Queues: map[string]scheduler.Queue{}, Guaranteed: map[string]int{}, Pools: map[string]bool{}},
		unmovable: map[string]bool{}, doomed: map[string]bool{}, deadly: map[string]time.Duration{}, crashes: map[scheduler.TaskID]int{}, laterStarts: map[scheduler.TaskID]int{},
		replaced: map[string]bool{}, counters: map[string]int{}, amounts: map[string]int{}, logged: map[string]int{}, waits: map[string]scheduler.Details{}, cancelled: map[string]bool{}, deleted: map[string]bool{}, faulty: map[string]bool{},
	}
	w.began = w.now
	w.startLeader()
	return w
}

// startLeader starts a new leader, which reads what is stored.
func (w *world) startLeader() {
	w.epoch++
	w.deliveries = slices.DeleteFunc(w.deliveries, func(d delivery) bool { return d.do == nil })
	for _, v := range w.workers {
		v.openHolds = nil
	}
	w.s = &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease, Machines: true}, Epoch: w.epoch, LeadingSince: w.now}
	w.feed(scheduler.ConfigChanged{Config: w.config})
	w.evacuation.down = false // it reads the topic before it starts anything
	w.readEvacuations()
	inherited := true
	for _, e := range slices.SortedFunc(maps.Values(w.jobs), func(a, b scheduler.Submitted) int { return cmp.Compare(a.Offset, b.Offset) }) {
		e.Progress, e.Cancelled = w.stored[e.Job.ID], w.cancelled[e.Job.ID]
		e.Inherited, e.Occurrences = inherited, map[int]scheduler.Progress{}
		for k := range e.Job.Times {
			e.Occurrences[k] = w.stored[scheduler.OccurrenceID(e.Job.ID, k)]
		}
		if w.deleted[e.Job.ID] {
			continue
		}
		if e.Job.ID == w.unreadJob {
			inherited = false
			continue
		}
		w.feed(e)
	}
	w.sendListWith(true)
	for i, v := range w.knownWaves {
		w.knownWaves[i].Started, w.knownWaves[i].Completed = w.waves[v.Number].Started, w.waves[v.Number].Completed
	}
	w.feed(scheduler.WavesChanged{Waves: w.knownWaves})
	w.feed(scheduler.LoansRestored{Loans: w.loans})
}

func (w *world) sendList() { w.sendListWith(false) }

// sendListWith sends the list of workers to the leader; a new leader also gets the
// recently expired ones.
func (w *world) sendListWith(expired bool) {
	var all []scheduler.WorkerInfo
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		v := w.workers[id]
		l := v.info
		l.Expired = !v.inList
		if v.inList || (expired && !v.expiryUnseen) {
			all = append(all, l)
		}
	}
	w.feed(scheduler.WorkersListed{Workers: all})
}

// feed delivers an event, or none if it is nil.
func (w *world) feed(e scheduler.Event) {
	for _, f := range w.s.Reduce(w.now, e) {
		w.execute(f)
	}
}

func (w *world) deliverAfter(d time.Duration, e scheduler.Event) {
	w.deliveries = append(w.deliveries, delivery{at: w.now.Add(d), event: e})
}

func (w *world) execute(f scheduler.Effect) {
	const latency = 2 * time.Millisecond
	switch f := f.(type) {
	case scheduler.Hold:
		w.hold(f)
	case scheduler.Start:
		if w.evacuation.gated[f.Zone] {
			w.deliverAfter(latency, scheduler.StartResult{Start: f, Outcome: scheduler.OutcomeDropped})
			return
		}
		w.noteZoneStart(f)
		if o, ok := w.reachable(f.Worker); !ok {
			w.deliverAfter(time.Second, scheduler.StartResult{Start: f, Outcome: o})
			return
		}
		e := w.workers[f.Worker].start(w, f)
		if w.answersLost[f.Worker] {
			e = scheduler.StartResult{Start: f, Outcome: scheduler.OutcomeUnknown}
		}
		w.deliverAfter(latency, e)
	case scheduler.Stop:
		if o, ok := w.reachable(f.Worker); !ok {
			w.deliverAfter(time.Second, scheduler.StopResult{Stop: f, Outcome: o})
			return
		}
		w.deliverAfter(latency, w.workers[f.Worker].stop(w, f))
	case scheduler.Pace:
		w.deliverAfter(latency, w.setPace(f))
	case scheduler.Store:
		w.store(f)
	case scheduler.Advise:
		e := scheduler.AdviceResult{Advise: f, Sent: w.now, Outcome: scheduler.OutcomeDone, Tickets: map[string]string{}, Valid: w.ticketLifetime}
		for _, id := range f.Workers {
			if w.allowed[id] {
				e.Tickets[id] = w.now.Add(w.ticketLifetime).Format(time.RFC3339Nano)
			}
		}
		if f.Job == w.unadvised {
			e.Outcome = scheduler.OutcomeUnhealthy
		}
		w.adviceCalls++
		w.deliverAfter(f.Limit, e)
	case scheduler.ListMachines:
		e := scheduler.MachinesListed{OK: !w.machinesDown}
		for _, id := range slices.Sorted(maps.Keys(w.workers)) {
			v := w.workers[id]
			e.Machines = append(e.Machines, scheduler.Machine{
				ID: "m-" + machineOf(id), Up: v.alive, InUpkeep: !v.alive && slices.Contains(w.upkeepDone, "m-"+machineOf(id)), Worker: id, Pool: v.info.Service, Capacity: v.info.Capacity, Labels: v.info.Labels,
			})
		}
		e.Machines = append(e.Machines, w.poweredOff...)
		w.listings++
		w.deliverAfter(5*time.Millisecond, e)
	case scheduler.BeginUpkeep:
		w.deliverAfter(5*time.Millisecond, scheduler.UpkeepResult{Begin: f, Outcome: w.runUpkeep(f)})
	case scheduler.MoveMachine:
		w.deliverAfter(5*time.Millisecond, scheduler.MoveResult{Move: f, Outcome: w.moveMachine(f)})
	case scheduler.StoreLoans:
		w.loans = f.Loans
	case scheduler.StoreWave:
		if !w.wavesLost {
			w.waves[f.Number] = f
		}
	case scheduler.EvacuationsReported:
		w.evacuation.seen = f
	case scheduler.Resign:
		w.deliveries = append(w.deliveries, delivery{at: w.now.Add(worldStep), do: w.startLeader})
	case scheduler.Decision:
		w.counters[f.Counter]++
		w.amounts[f.Counter] += int(f.Amount)
		w.logged[f.Message]++
		w.noteWait(f)
		if n, ok := f.Details["alone"].(int); ok && n > 0 {
			w.counters["suspects-alone"]++
		}
	case scheduler.DeleteJobs:
		for _, id := range f.Jobs {
			delete(w.stored, id)
			w.deleted[id] = true
		}
	}
}

// maxWaitLine is the size of a line about waiting tasks: hundreds may wait at once.
const maxWaitLine = 400

// noteWait keeps the last line about the waiting tasks of a job.
func (w *world) noteWait(d scheduler.Decision) {
	if d.Message != "tasks wait" {
		return
	}
	w.waits[d.Job] = d.Details
	if n := len(fmt.Sprint(d.Details)); n > maxWaitLine {
		w.violation = fmt.Sprintf("the line about job %s has %d bytes: %v", d.Job, n, d.Details)
	}
}

func (w *world) store(f scheduler.Store) {
	if !w.storeUp {
		epoch := w.epoch
		w.deliveries = append(w.deliveries, delivery{at: w.now.Add(100 * time.Millisecond), do: func() {
			if epoch == w.epoch {
				w.store(f)
			}
		}})
		return
	}
	maps.Copy(w.stored, f.Progress)
	w.storeCalls++
	w.deliverAfter(8*time.Millisecond, scheduler.Stored{})
}

// machineOf returns the machine of a worker. Each later worker of a machine has a
// "'" appended to its name.
func machineOf(worker string) string {
	m, _, _ := strings.Cut(worker, "'")
	return m
}

// runUpkeep takes a machine down; it comes back after two seconds with another
// worker.
func (w *world) runUpkeep(f scheduler.BeginUpkeep) scheduler.Outcome {
	if slices.Contains(w.upkeepDone, f.Machine) {
		return scheduler.OutcomeDone
	}
	for id, v := range w.workers {
		if "m-"+machineOf(id) != f.Machine || !v.alive {
			continue
		}
		w.upkeepDone = append(w.upkeepDone, f.Machine)
		w.down++
		w.maxDown = max(w.maxDown, w.down)
		w.cutOffRuns += len(v.runs)
		v.alive, v.inList = false, false
		w.deliveries = append(w.deliveries, delivery{at: w.now.Add(2 * time.Second), do: func() {
			w.down--
			delete(w.workers, id)
			w.addWorkerTo(v.info.Service, id+"'", v.info.Rack, v.info.Capacity.Accelerators)
		}})
		return scheduler.OutcomeDone
	}
	return scheduler.OutcomeUnhealthy
}

func (w *world) addWorker(id, rack string, gpus int) { w.addWorkerTo("s", id, rack, gpus) }

func (w *world) addWorkerTo(service, id, rack string, gpus int) {
	delete(w.replaced, id) // another machine may get the name again
	w.workers[id] = &fakeWorker{
		info: scheduler.WorkerInfo{
			ID: id, Address: id, Service: service, Zone: w.evacuation.zones[machineOf(id)], Rack: rack, StartedMS: w.now.UnixMilli(), Labels: []string{"a", rack},
			Capacity: placer.Resources{MilliCores: 128000, MemoryMB: 262144, Accelerators: gpus},
		},
		inList: true, alive: true, started: w.now.Add(-time.Minute),
		runs: map[scheduler.TaskID]*fakeRun{}, lastOver: map[scheduler.TaskID]int64{}, endTimes: map[int64]time.Time{},
	}
	w.sendList()
}

// restartWorker restarts a worker without sending the list.
func (w *world) restartWorker(id string) {
	v := w.workers[id]
	for range v.openHolds {
		w.deliverAfter(worldStep, scheduler.HoldResult{Worker: id, Sent: w.now, Outcome: scheduler.OutcomeUnknown})
	}
	v.alive, v.inList, v.info.StartedMS = true, true, w.now.UnixMilli()
	v.started, v.deadline, v.epoch, v.lastEnd = w.now, time.Time{}, 0, 0
	v.runs, v.ends, v.openHolds, v.lastOver = map[scheduler.TaskID]*fakeRun{}, nil, nil, map[scheduler.TaskID]int64{}
}

// crash ends a worker without notice. After three seconds another one is at its address; its
// own entry expires later.
func (w *world) crash(id string) {
	v := w.workers[id]
	if v == nil || !v.alive {
		return
	}
	v.alive = false
	for range v.openHolds {
		w.deliverAfter(worldStep, scheduler.HoldResult{Worker: id, Sent: w.now, Outcome: scheduler.OutcomeUnknown})
	}
	v.openHolds = nil
	w.deliveries = append(w.deliveries, delivery{at: w.now.Add(3 * time.Second), do: func() {
		w.replaced[id] = true
		w.addWorkerTo(v.info.Service, id+"'", v.info.Rack, v.info.Capacity.Accelerators)
	}}, delivery{at: w.now.Add(4500 * time.Millisecond), do: func() {
		delete(w.workers, id)
		w.sendList()
	}})
}

// refusalDelay returns the time until a call to an unreachable worker fails: at once if its
// process is gone.
func (w *world) refusalDelay(id string) time.Duration {
	if v := w.workers[id]; w.replaced[id] || v == nil || !v.alive {
		return worldStep
	}
	return time.Second
}

// noteDeadlyStart lets a deadly task crash its worker.
func (w *world) noteDeadlyStart(v *fakeWorker, id scheduler.TaskID) {
	delay, ok := w.deadly[baseJob(id.Job)]
	if !ok || id.Index > 0 {
		return
	}
	if w.crashes[id] >= 3 {
		w.laterStarts[id]++
	}
	if w.laterStarts[id] >= 3 {
		w.violation = fmt.Sprintf("task %v is started three times more after three workers have crashed under it", id)
	}
	w.deliveries = append(w.deliveries, delivery{at: w.now.Add(delay), do: func() {
		if _, ok := v.runs[id]; ok && v.alive {
			w.crashes[id]++
			w.crash(v.info.ID)
		}
	}})
}

// reachable reports whether calls reach a worker.
func (w *world) reachable(id string) (scheduler.Outcome, bool) {
	if w.replaced[id] {
		return scheduler.OutcomeReplaced, false
	}
	if v := w.workers[id]; v == nil || !v.alive || w.unreachable[id] {
		return scheduler.OutcomeUnsent, false
	}
	return "", true
}

func (w *world) hold(h scheduler.Hold) {
	w.holdCalls++
	w.heldBy[h.Worker]++
	o, ok := w.reachable(h.Worker)
	if !ok {
		w.deliverAfter(w.refusalDelay(h.Worker), scheduler.HoldResult{Worker: h.Worker, Sent: w.now, Outcome: o})
		return
	}
	v := w.workers[h.Worker]
	sent := w.now
	if v.rejects {
		w.deliverAfter(2*time.Millisecond, scheduler.HoldResult{Worker: h.Worker, Sent: sent, Outcome: scheduler.OutcomeFenced})
		return
	}
	v.epoch = max(v.epoch, h.Epoch)
	if h.DeadlineMS > 0 {
		v.extend(h.DeadlineMS)
	}
	v.ends = slices.DeleteFunc(v.ends, func(e scheduler.End) bool {
		if e.Number <= h.Ack && e.Reason == scheduler.EndReasonDone && !w.taskStep(e.Task).LongRunning {
			w.ackedTasks[e.Task] = true
			if w.lastStarts[e.Task].After(v.endTimes[e.Number]) && !w.taskStep(e.Task).Speculative {
				w.violation = fmt.Sprintf("success of run %d of task %v is acknowledged although the task was started again", e.Run, e.Task)
			}
		}
		return e.Number <= h.Ack
	})
	v.openHolds = append(v.openHolds, &h)
	w.deliveries = append(w.deliveries, delivery{at: w.now.Add(h.Wait), do: func() { w.answerHold(v, &h, sent) }})
	if len(v.ends) > 0 {
		w.answerHold(v, &h, sent)
	}
}

// answerHold answers a hold that is still open.
func (w *world) answerHold(v *fakeWorker, h *scheduler.Hold, sent time.Time) {
	i := slices.Index(v.openHolds, h)
	if i < 0 {
		return
	}
	v.openHolds = slices.Delete(v.openHolds, i, i+1)
	if o, ok := w.reachable(h.Worker); !ok {
		w.deliverAfter(time.Second, scheduler.HoldResult{Worker: h.Worker, Sent: sent, Outcome: o})
		return
	}
	e := scheduler.HoldResult{Worker: h.Worker, Sent: sent, Outcome: scheduler.OutcomeDone, ClockMS: v.clock(w.now), StartedMS: v.info.StartedMS, Ack: h.Ack, Ends: slices.Clone(v.ends[:min(len(v.ends), maxListedEnds)]), Incomplete: len(v.ends) >= maxListedEnds}
	for _, id := range slices.SortedFunc(maps.Keys(v.runs), compareTasks) {
		r := v.runs[id]
		percent := int(100 * (r.total - r.remaining) / r.total)
		if w.taskStep(id).LongRunning {
			percent = 100 // it is ready
		}
		e.Running = append(e.Running, scheduler.Running{Task: id, Run: r.run, Percent: percent, Measure: v.tailMS(w), Checkpoint: w.checkpointOf(id, r)})
	}
	w.deliverAfter(2*time.Millisecond, e)
}

// baseJob returns the job of an occurrence, or the ID itself.
func baseJob(id string) string {
	job, _ := scheduler.SplitOccurrence(id)
	return job
}

func (w *world) taskStep(id scheduler.TaskID) scheduler.Step {
	return w.jobs[baseJob(id.Job)].Job.Steps[id.Step]
}

func compareTasks(a, b scheduler.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// advance advances the time by one step.
func (w *world) advance() error {
	w.now = w.now.Add(worldStep)
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		v := w.workers[id]
		if !v.alive {
			continue
		}
		w.runWorker(v)
		if len(v.ends) > 0 {
			for _, h := range slices.Clone(v.openHolds) {
				w.answerHold(v, h, w.now.Add(-worldStep))
			}
		}
	}
	deliveries := w.deliveries
	w.deliveries = nil
	for _, d := range deliveries {
		switch {
		case d.at.After(w.now), d.do == nil && w.now.Before(w.pausedUntil):
			w.deliveries = append(w.deliveries, d)
		case d.do != nil:
			d.do()
		default:
			w.feed(d.event)
		}
	}
	if w.now.Before(w.pausedUntil) {
		return w.check()
	}
	if at := w.s.NextPass(); !at.IsZero() && !w.now.Before(at) {
		w.feed(nil)
	}
	if w.now.Sub(w.began)%(800*time.Millisecond) == 0 && !w.renewalsLost {
		w.feed(scheduler.Confirmed{Sent: w.now})
	}
	if w.now.Sub(w.began)%(100*time.Millisecond) == 0 {
		w.feed(scheduler.Ticked{})
	}
	return w.check()
}

// check returns an error if a guarantee was violated: a worker exceeds its
// capacity, or a task has two runs.
func (w *world) check() error {
	if w.violation != "" {
		return fmt.Errorf("at %v: %s", w.now.Sub(w.began), w.violation)
	}
	at := map[scheduler.TaskID]string{}
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		v := w.workers[id]
		used := w.used(v)
		for k := range v.runs {
			if other, ok := at[k]; ok && v.alive && !w.taskStep(k).Speculative {
				return fmt.Errorf("at %v: task %v runs on %s and %s", w.now.Sub(w.began), k, other, id)
			}
			if v.alive {
				at[k] = id
			}
		}
		if !used.Fits(v.info.Capacity) && !v.shrunk {
			return fmt.Errorf("at %v: worker %s runs %+v of %+v", w.now.Sub(w.began), id, used, v.info.Capacity)
		}
	}
	if w.watch != nil {
		return w.watch.check(w)
	}
	return nil
}

// used returns the resources of all runs on a worker, also of those that are being stopped.
func (w *world) used(v *fakeWorker) placer.Resources {
	var sum placer.Resources
	for k := range v.runs {
		need := w.taskStep(k).Need
		if w.taskStep(k).Filler {
			need.MilliCores = 0
		}
		sum = sum.Plus(need)
	}
	return sum
}

// resize changes the capacity of a worker while it runs.
func (w *world) resize(id string, gpus, milliCores int) {
	v := w.workers[id]
	v.info.Capacity.Accelerators, v.info.Capacity.MilliCores = gpus, milliCores
	v.shrunk = !w.used(v).Fits(v.info.Capacity)
	w.sendList()
}

func (w *world) countRunning(job string) int {
	n := 0
	for _, v := range w.workers {
		for k := range v.runs {
			if baseJob(k.Job) == job && v.alive {
				n++
			}
		}
	}
	return n
}
