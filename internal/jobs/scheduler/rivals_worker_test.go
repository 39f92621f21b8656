package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

var rivalsQueue = scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 9, Stretch: 3, ObjectiveMS: 1000}

func rivalResources(n int) placer.Resources {
	return placer.Resources{MilliCores: 1000 * n, MemoryMB: 1000 * n, Accelerators: n}
}

// rivalWorker is a worker that any VM may call.
type rivalWorker struct {
	w    *rivals
	id   string
	info scheduler.WorkerInfo
	up   bool

	// Of its entry in the list.
	entry    *scheduler.WorkerInfo // nil if it has expired
	wroteAt  time.Time             // last heartbeat
	noStore  bool                  // its heartbeats do not reach the store
	capacity int

	// Of the instance.
	life     int
	started  time.Time
	rate     int // of its clock in permille
	epoch    int64
	deadline int64
	runs     []*rivalRun
	over     map[scheduler.TaskID]int64 // highest run that was stopped or has ended
	ends     []scheduler.End
	endTimes map[int64]time.Time
	lastEnd  int64
	holds    []*openHold
}

type rivalRun struct {
	task     scheduler.TaskID
	run      int64
	began    time.Time
	duration time.Duration
	stopAt   time.Time
	reason   scheduler.EndReason // of the end at stopAt
}

// openHold is a hold that waits for an end.
type openHold struct {
	until time.Time
	reply func()
}

// rivalAnswer is the answer of a worker.
type rivalAnswer struct {
	outcome scheduler.Outcome
	clock   int64
	born    int64
	running []scheduler.Running
	ends    []scheduler.End
}

func (w *rivals) addWorker(i int) {
	v := &rivalWorker{w: w, id: fmt.Sprintf("w-%02d", i+1), capacity: 4}
	v.info = scheduler.WorkerInfo{ID: v.id, Address: v.id, Service: "s", Rack: fmt.Sprintf("r%d", i%3), Capacity: rivalResources(v.capacity)}
	w.workers = append(w.workers, v)
	v.boot()
}

// index returns the index of a worker.
func (w *rivals) index(id string) int {
	return slices.IndexFunc(w.workers, func(v *rivalWorker) bool { return v.id == id })
}

// boot starts an instance that knows nothing of earlier ones.
func (v *rivalWorker) boot() {
	v.up = true
	v.life++
	v.started = v.w.now
	v.rate = 980 + v.w.rand.IntN(21)
	v.info.StartedMS = v.w.now.UnixMilli()
	v.epoch, v.deadline, v.lastEnd = 0, 0, 0
	v.runs, v.ends, v.holds = nil, nil, nil
	v.over, v.endTimes = map[scheduler.TaskID]int64{}, map[int64]time.Time{}
	v.wroteAt = time.Time{}
}

// restart ends the instance; another one starts after a while.
func (v *rivalWorker) restart(down time.Duration) {
	if !v.up {
		return
	}
	v.w.log("%s restarts within %v, %d runs end", v.id, down, len(v.runs))
	v.up = false
	v.life++
	v.w.restarts++
	v.runs, v.holds = nil, nil
	v.w.after(down, func() {
		v.boot()
		v.w.log("%s is up again", v.id)
	})
}

func (v *rivalWorker) clock() int64 {
	return 1 + v.w.now.Sub(v.started).Milliseconds()*int64(v.rate)/1000
}

// extend extends the lease.
func (v *rivalWorker) extend(deadline int64) {
	v.deadline = max(v.deadline, min(deadline, v.clock()+lease.Milliseconds()))
}

func (v *rivalWorker) answer(o scheduler.Outcome) rivalAnswer {
	return rivalAnswer{outcome: o, clock: v.clock(), born: v.info.StartedMS}
}

func (v *rivalWorker) find(id scheduler.TaskID, run int64) *rivalRun {
	for _, r := range v.runs {
		if r.task == id && r.run == run {
			return r
		}
	}
	return nil
}

func (v *rivalWorker) start(f scheduler.Start) rivalAnswer {
	if f.Epoch < v.epoch {
		return v.answer(scheduler.OutcomeFenced)
	}
	v.epoch = f.Epoch
	switch {
	case f.DeadlineMS < v.clock():
		return v.answer(scheduler.OutcomeLate)
	case f.Run <= v.over[f.Task]:
		v.extend(f.DeadlineMS)
		return v.answer(scheduler.OutcomeObsolete)
	}
	v.extend(f.DeadlineMS)
	if v.find(f.Task, f.Run) != nil {
		return v.answer(scheduler.OutcomeDone)
	}
	if len(v.runs) >= v.capacity {
		return v.answer(scheduler.OutcomeFull)
	}
	w := v.w
	w.starts++
	w.log("%s starts run %d of %v by epoch %d", v.id, f.Run, f.Task, f.Epoch)
	if at, ok := w.doneAt[f.Task]; ok {
		w.violation = fmt.Sprintf("at %.3f: run %d of task %v starts on %s after its success at %.3f was acknowledged", w.now.Sub(w.began).Seconds(), f.Run, f.Task, v.id, at.Sub(w.began).Seconds())
	}
	w.lastStart[f.Task] = w.now
	v.runs = append(v.runs, &rivalRun{task: f.Task, run: f.Run, began: w.now, duration: w.durations[f.Task.Job]})
	return v.answer(scheduler.OutcomeDone)
}

func (v *rivalWorker) stop(f scheduler.Stop) rivalAnswer {
	if f.Epoch < v.epoch {
		return v.answer(scheduler.OutcomeFenced)
	}
	v.epoch = f.Epoch
	v.over[f.Task] = max(v.over[f.Task], f.Run)
	if r := v.find(f.Task, f.Run); r != nil && r.stopAt.IsZero() {
		r.stopAt, r.reason = v.w.now.Add(v.w.between(0, rivalsStopTime)), scheduler.EndReasonStopped
	}
	return v.answer(scheduler.OutcomeDone)
}

// hold handles a hold, which is answered once there is an end or its wait is over.
func (v *rivalWorker) hold(h scheduler.Hold, reply func(rivalAnswer)) {
	if h.Epoch < v.epoch {
		reply(v.answer(scheduler.OutcomeFenced))
		return
	}
	v.epoch = h.Epoch
	switch {
	case v.w.broken == breakLeases && len(v.runs) > 0 && (h.DeadlineMS != 0 || !h.Unheard):
		v.extend(v.clock() + lease.Milliseconds())
	case h.DeadlineMS != 0:
		v.extend(h.DeadlineMS)
	}
	for len(v.ends) > 0 && v.ends[0].Number <= h.Ack {
		v.acknowledge(v.ends[0])
		v.ends = v.ends[1:]
	}
	list := func() {
		a := v.answer(scheduler.OutcomeDone)
		a.ends = slices.Clone(v.ends)
		for _, r := range v.runs {
			a.running = append(a.running, scheduler.Running{Task: r.task, Run: r.run, Percent: int(100 * v.w.now.Sub(r.began) / r.duration)})
		}
		reply(a)
	}
	if len(v.ends) > 0 || h.Wait == 0 {
		list()
		return
	}
	v.holds = append(v.holds, &openHold{v.w.now.Add(h.Wait), list})
}

// acknowledge checks that no run began after a success that is acknowledged.
func (v *rivalWorker) acknowledge(e scheduler.End) {
	if e.Reason != scheduler.EndReasonDone {
		return
	}
	w := v.w
	at := v.endTimes[e.Number]
	w.doneAt[e.Task] = at
	if w.lastStart[e.Task].After(at) {
		w.violation = fmt.Sprintf("at %.3f: the success of run %d of task %v on %s is acknowledged although the task started again", w.now.Sub(w.began).Seconds(), e.Run, e.Task, v.id)
	}
}

func (v *rivalWorker) end(r *rivalRun, reason scheduler.EndReason) {
	v.runs = slices.DeleteFunc(v.runs, func(o *rivalRun) bool { return o == r })
	v.lastEnd++
	v.over[r.task] = max(v.over[r.task], r.run)
	v.ends = append(v.ends, scheduler.End{Number: v.lastEnd, Task: r.task, Run: r.run, Reason: reason})
	v.endTimes[v.lastEnd] = v.w.now
	v.w.log("run %d of %v on %s ends %s", r.run, r.task, v.id, reason)
}

// step lets runs end, answers holds and writes the entry.
func (v *rivalWorker) step() {
	v.heartbeat()
	if !v.up {
		return
	}
	lapsed := len(v.runs) > 0 && v.clock() > v.deadline
	for _, r := range slices.Clone(v.runs) {
		switch {
		case !r.stopAt.IsZero() && !v.w.now.Before(r.stopAt):
			v.end(r, r.reason)
		case v.w.now.Sub(r.began) >= r.duration:
			v.end(r, scheduler.EndReasonDone)
		case lapsed && r.stopAt.IsZero():
			r.stopAt, r.reason = v.w.now.Add(v.w.between(0, rivalsStopTime)), scheduler.EndReasonLeaseExpired
			v.w.expired++
		}
	}
	holds := v.holds
	v.holds = nil
	for _, h := range holds {
		if len(v.ends) > 0 || !v.w.now.Before(h.until) {
			h.reply()
			continue
		}
		v.holds = append(v.holds, h)
	}
}

// heartbeat writes the entry of the worker or lets it expire.
func (v *rivalWorker) heartbeat() {
	w := v.w
	since := w.now.Sub(v.wroteAt)
	switch {
	case v.up && !v.noStore && !w.storeDown && since >= rivalsHeartbeat:
		v.wroteAt = w.now
		l := v.info
		v.entry = &l
		w.entries = append(w.entries, rivalEntry{v, &l})
	case v.entry != nil && since > entryLifetime && (!w.storeDown || w.entriesExpire):
		v.entry = nil
		w.entries = append(w.entries, rivalEntry{v, nil})
		w.log("entry of %s expires", v.id)
	}
}
