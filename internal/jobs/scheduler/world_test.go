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
	worldStep = 10 * time.Millisecond
	stopTime  = 100 * time.Millisecond
	lease     = 10 * time.Second
)

// world is a leading VM, its workers and a store, in virtual time.
type world struct {
	now     time.Time
	began   time.Time
	unsure  bool      // renewals do not reach the store
	paused  time.Time // the leader reads nothing until then
	late    string    // job that a new leader does not know yet
	s       *scheduler.Scheduler
	epoch   int64
	terms   scheduler.Terms
	workers map[string]*fakeWorker
	jobs    map[string]scheduler.Submitted
	secs    map[string][]time.Duration // of the tasks, by job and step
	stored  map[string]scheduler.Progress
	queue   []delivery
	storeUp bool
	cut     map[string]bool
	deaf    map[string]bool // orders are carried out, and answers lost
	saved   int
	starts  map[string]int  // by job
	allowed map[string]bool // workers that advice allows
	valid   time.Duration   // of tickets
	asked   int
	paces   int                       // changes of pace
	acked   map[scheduler.TaskID]bool // tasks whose success was acknowledged
	broken  string                    // a promise that was

	waves                  map[int]scheduler.StoreWave // as stored
	ordered                []scheduler.Wave
	kept                   []string // machines that had their upkeep
	down, mostDown, wasted int

	off             []scheduler.Machine // that are switched off
	unmovable       map[string]bool     // machines
	loans           scheduler.Loans     // as stored
	moves, listings int

	schedule struct { // of the next job
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
		now: time.Unix(1_000_000, 0), workers: map[string]*fakeWorker{}, jobs: map[string]scheduler.Submitted{},
		secs: map[string][]time.Duration{}, starts: map[string]int{}, stored: map[string]scheduler.Progress{}, storeUp: true,
		allowed: map[string]bool{}, acked: map[scheduler.TaskID]bool{}, cut: map[string]bool{}, waves: map[int]scheduler.StoreWave{}, deaf: map[string]bool{},
		terms:     scheduler.Terms{Queues: map[string]scheduler.Queue{}, Guaranteed: map[string]int{}, Pools: map[string]bool{}},
		unmovable: map[string]bool{},
	}
	w.began = w.now
	w.lead()
	return w
}

// lead begins a new leadership with what is stored.
func (w *world) lead() {
	w.epoch++
	w.queue = slices.DeleteFunc(w.queue, func(d delivery) bool { return d.do == nil })
	for _, v := range w.workers {
		v.openHolds = nil
	}
	w.s = &scheduler.Scheduler{Settings: scheduler.Settings{Lease: lease, Machines: true}, Epoch: w.epoch, Began: w.now, Old: int64(len(w.jobs)) - 1}
	w.feed(scheduler.ConfigChanged{Terms: w.terms})
	for _, e := range slices.SortedFunc(maps.Values(w.jobs), func(a, b scheduler.Submitted) int { return cmp.Compare(a.Offset, b.Offset) }) {
		e.Progress = w.stored[e.Job.ID]
		e.Occurrences = map[int]scheduler.Progress{}
		for k := range e.Job.Times {
			e.Occurrences[k] = w.stored[scheduler.OccurrenceID(e.Job.ID, k)]
		}
		if e.Job.ID == w.late {
			w.s.Old = e.Offset - 1
			continue
		}
		w.feed(e)
	}
	w.listWith(true)
	for i, v := range w.ordered {
		w.ordered[i].Done, w.ordered[i].Over = w.waves[v.Number].Done, w.waves[v.Number].Over
	}
	w.feed(scheduler.WavesChanged{Waves: w.ordered})
	w.feed(scheduler.LoansKnown{Loans: w.loans})
}

func (w *world) list() { w.listWith(false) }

// listWith feeds the list, as a new leader sees it with the workers that have just
// lapsed.
func (w *world) listWith(lapsed bool) {
	var all []scheduler.Listed
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		v := w.workers[id]
		l := v.info
		l.Lapsed = !v.inList
		if v.inList || (lapsed && !v.notLapsed) {
			all = append(all, l)
		}
	}
	w.feed(scheduler.WorkersListed{Workers: all})
}

func (w *world) feed(e scheduler.Event) {
	for _, f := range w.s.Reduce(w.now, e) {
		w.carryOut(f)
	}
}

func (w *world) later(d time.Duration, e scheduler.Event) {
	w.queue = append(w.queue, delivery{at: w.now.Add(d), event: e})
}

func (w *world) carryOut(f scheduler.Effect) {
	const latency = 2 * time.Millisecond
	switch f := f.(type) {
	case scheduler.Hold:
		w.hold(f)
	case scheduler.Start:
		if o, ok := w.reach(f.Worker); !ok {
			w.later(time.Second, scheduler.Started{Start: f, Outcome: o})
			return
		}
		e := w.workers[f.Worker].start(w, f)
		if w.deaf[f.Worker] {
			e = scheduler.Started{Start: f, Outcome: scheduler.OutcomeUnknown}
		}
		w.later(latency, e)
	case scheduler.Stop:
		if o, ok := w.reach(f.Worker); !ok {
			w.later(time.Second, scheduler.Stopped{Stop: f, Outcome: o})
			return
		}
		w.later(latency, w.workers[f.Worker].stop(w, f))
	case scheduler.Pace:
		w.later(latency, w.pace(f))
	case scheduler.Store:
		w.store(f)
	case scheduler.Advise:
		e := scheduler.Advised{Advise: f, Sent: w.now, Outcome: scheduler.OutcomeDone, Tickets: map[string]string{}, Valid: w.valid}
		for _, id := range f.Workers {
			if w.allowed[id] {
				e.Tickets[id] = w.now.Add(w.valid).Format(time.RFC3339Nano)
			}
		}
		w.asked++
		w.later(f.Limit, e)
	case scheduler.ListMachines:
		e := scheduler.MachinesListed{OK: true}
		for _, id := range slices.Sorted(maps.Keys(w.workers)) {
			v := w.workers[id]
			e.Machines = append(e.Machines, scheduler.Machine{
				ID: "m-" + machineOf(id), Up: v.alive, Worker: id, Pool: v.info.Service, Capacity: v.info.Capacity, Labels: v.info.Labels,
			})
		}
		e.Machines = append(e.Machines, w.off...)
		w.listings++
		w.later(5*time.Millisecond, e)
	case scheduler.BeginUpkeep:
		w.later(5*time.Millisecond, scheduler.UpkeepEnded{Begin: f, Outcome: w.upkeep(f)})
	case scheduler.MoveMachine:
		w.later(5*time.Millisecond, scheduler.MoveEnded{Move: f, Outcome: w.move(f)})
	case scheduler.StoreLoans:
		w.loans = f.Loans
	case scheduler.StoreWave:
		w.waves[f.Number] = f
	case scheduler.Noted, scheduler.Forget:
	}
}

func (w *world) store(f scheduler.Store) {
	if !w.storeUp {
		epoch := w.epoch
		w.queue = append(w.queue, delivery{at: w.now.Add(100 * time.Millisecond), do: func() {
			if epoch == w.epoch {
				w.store(f)
			}
		}})
		return
	}
	maps.Copy(w.stored, f.Progress)
	w.saved++
	w.later(8*time.Millisecond, scheduler.Stored{})
}

// machineOf returns the machine of a worker, which keeps it over its lives.
func machineOf(worker string) string {
	m, _, _ := strings.Cut(worker, "'")
	return m
}

// upkeep takes a machine down; it comes back as another worker after two seconds.
func (w *world) upkeep(f scheduler.BeginUpkeep) scheduler.Outcome {
	if slices.Contains(w.kept, f.Machine) {
		return scheduler.OutcomeDone
	}
	for id, v := range w.workers {
		if "m-"+machineOf(id) != f.Machine || !v.alive {
			continue
		}
		w.kept = append(w.kept, f.Machine)
		w.down++
		w.mostDown = max(w.mostDown, w.down)
		w.wasted += len(v.runs)
		v.alive, v.inList = false, false
		w.queue = append(w.queue, delivery{at: w.now.Add(2 * time.Second), do: func() {
			w.down--
			delete(w.workers, id)
			w.addTo(v.info.Service, id+"'", v.info.Rack, v.info.Capacity.Accelerators)
		}})
		return scheduler.OutcomeDone
	}
	return scheduler.OutcomeUnhealthy
}

func (w *world) addWorker(id, rack string, gpus int) { w.addTo("s", id, rack, gpus) }

func (w *world) addTo(service, id, rack string, gpus int) {
	w.workers[id] = &fakeWorker{
		info: scheduler.Listed{
			ID: id, Address: id, Service: service, Rack: rack, Born: w.now.UnixMilli(), Labels: []string{"a", rack},
			Capacity: placer.Resources{MilliCores: 128000, MemoryMB: 262144, Accelerators: gpus},
		},
		inList: true, alive: true, started: w.now.Add(-time.Minute),
		runs: map[scheduler.TaskID]*fakeRun{}, lastOver: map[scheduler.TaskID]int64{},
	}
	w.list()
}

// revive begins a new life of a worker, which the list does not show yet.
func (w *world) revive(id string) {
	v := w.workers[id]
	for range v.openHolds {
		w.later(worldStep, scheduler.Held{Worker: id, Sent: w.now, Outcome: scheduler.OutcomeUnknown})
	}
	v.alive, v.inList, v.info.Born = true, true, w.now.UnixMilli()
	v.started, v.deadline, v.epoch, v.lastEnd = w.now, time.Time{}, 0, 0
	v.runs, v.ends, v.openHolds, v.lastOver = map[scheduler.TaskID]*fakeRun{}, nil, nil, map[scheduler.TaskID]int64{}
}

// reach reports whether a call gets to a worker.
func (w *world) reach(id string) (scheduler.Outcome, bool) {
	if v := w.workers[id]; v == nil || !v.alive || w.cut[id] {
		return scheduler.OutcomeUnsent, false
	}
	return "", true
}

func (w *world) hold(h scheduler.Hold) {
	o, ok := w.reach(h.Worker)
	if !ok {
		w.later(time.Second, scheduler.Held{Worker: h.Worker, Sent: w.now, Outcome: o})
		return
	}
	v := w.workers[h.Worker]
	sent := w.now
	v.epoch = max(v.epoch, h.Epoch)
	if h.DeadlineMS > 0 {
		v.extend(h.DeadlineMS)
	}
	v.ends = slices.DeleteFunc(v.ends, func(e scheduler.End) bool {
		if e.Number <= h.Ack && e.How == scheduler.HowDone && !w.taskStep(e.Task).Lasts {
			w.acked[e.Task] = true
		}
		return e.Number <= h.Ack
	})
	v.openHolds = append(v.openHolds, &h)
	w.queue = append(w.queue, delivery{at: w.now.Add(h.Wait), do: func() { w.answerHold(v, &h, sent) }})
	if len(v.ends) > 0 {
		w.answerHold(v, &h, sent)
	}
}

// answerHold answers a hold that still waits.
func (w *world) answerHold(v *fakeWorker, h *scheduler.Hold, sent time.Time) {
	i := slices.Index(v.openHolds, h)
	if i < 0 {
		return
	}
	v.openHolds = slices.Delete(v.openHolds, i, i+1)
	if o, ok := w.reach(h.Worker); !ok {
		w.later(time.Second, scheduler.Held{Worker: h.Worker, Sent: sent, Outcome: o})
		return
	}
	e := scheduler.Held{Worker: h.Worker, Sent: sent, Outcome: scheduler.OutcomeDone, ClockMS: v.clock(w.now), Born: v.info.Born, Ack: h.Ack, Ends: slices.Clone(v.ends)}
	for _, id := range slices.SortedFunc(maps.Keys(v.runs), compare) {
		r := v.runs[id]
		percent := int(100 * (r.total - r.remaining) / r.total)
		if w.taskStep(id).Lasts {
			percent = 100 // it is at work
		}
		e.Running = append(e.Running, scheduler.Running{Task: id, Run: r.run, Percent: percent, Measure: v.tailNow(w)})
	}
	w.later(2*time.Millisecond, e)
}

// base returns the job of an occurrence.
func base(id string) string {
	job, _ := scheduler.SplitOccurrence(id)
	return job
}

func (w *world) taskStep(id scheduler.TaskID) scheduler.Step {
	return w.jobs[base(id.Job)].Job.Steps[id.Step]
}

func compare(a, b scheduler.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// step moves the time on.
func (w *world) step() error {
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
	due := w.queue
	w.queue = nil
	for _, d := range due {
		switch {
		case d.at.After(w.now), d.do == nil && w.now.Before(w.paused):
			w.queue = append(w.queue, d)
		case d.do != nil:
			d.do()
		default:
			w.feed(d.event)
		}
	}
	if w.now.Before(w.paused) {
		return w.check()
	}
	if w.now.Sub(w.began)%(800*time.Millisecond) == 0 && !w.unsure {
		w.feed(scheduler.Confirmed{Sent: w.now})
	}
	if w.now.Sub(w.began)%(100*time.Millisecond) == 0 {
		w.feed(scheduler.Ticked{})
	}
	return w.check()
}

// check reports a broken promise: more than fits, or two runs of one task.
func (w *world) check() error {
	if w.broken != "" {
		return fmt.Errorf("at %v: %s", w.now.Sub(w.began), w.broken)
	}
	at := map[scheduler.TaskID]string{}
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		v := w.workers[id]
		var used placer.Resources
		for k := range v.runs {
			need := w.taskStep(k).Need
			if w.taskStep(k).Fills {
				need.MilliCores = 0
			}
			used = used.Plus(need)
			if other, ok := at[k]; ok && v.alive && !w.taskStep(k).Speculative {
				return fmt.Errorf("at %v: task %v runs on %s and %s", w.now.Sub(w.began), k, other, id)
			}
			if v.alive {
				at[k] = id
			}
		}
		if !used.Fits(v.info.Capacity) {
			return fmt.Errorf("at %v: worker %s runs %+v of %+v", w.now.Sub(w.began), id, used, v.info.Capacity)
		}
	}
	return nil
}

func (w *world) running(job string) int {
	n := 0
	for _, v := range w.workers {
		for k := range v.runs {
			if base(k.Job) == job && v.alive {
				n++
			}
		}
	}
	return n
}
