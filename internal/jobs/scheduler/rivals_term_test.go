package scheduler_test

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// rivalTerm is a leadership of a VM: it runs a scheduler and carries out its effects.
type rivalTerm struct {
	vm       *rivalVM
	epoch    int64
	ended    bool
	released bool                 // its scheduler has handled a release
	s        *scheduler.Scheduler // nil until the stored jobs and progress are read
	inbox    []scheduler.Event
	handled  []func() // to be called once the inbox is handled
	tickedAt time.Time
	progress map[string]scheduler.Progress
}

func (t *rivalTerm) running() bool { return t != nil && !t.ended && t.s != nil }

func (t *rivalTerm) post(e scheduler.Event) { t.inbox = append(t.inbox, e) }

// end ends the term: nothing more is sent.
func (t *rivalTerm) end(reason string) {
	if t.ended {
		return
	}
	t.ended = true
	t.vm.w.log("%s no longer leads in epoch %d: %s", t.vm.name, t.epoch, reason)
	for _, do := range t.handled {
		do()
	}
	t.handled = nil
}

// after calls a function unless the term has ended.
func (t *rivalTerm) after(d time.Duration, do func()) {
	t.vm.after(d, func() {
		if !t.ended {
			do()
		}
	})
}

// retry makes a call to the store until it is answered or the term has ended.
func (t *rivalTerm) retry(timeout time.Duration, execute func(), done func()) {
	v := t.vm
	v.callStore(timeout, func(reply func()) {
		execute()
		v.w.after(v.w.between(0, v.readDelay), reply)
	}, func(ok bool) {
		switch {
		case t.ended:
		case ok:
			done()
		default:
			t.after(retryDelay, func() { t.retry(timeout, execute, done) })
		}
	})
}

// fence keeps earlier leaders from storing progress.
func (t *rivalTerm) fence() {
	ok := false
	t.retry(storeTimeout, func() { ok = t.vm.w.storeProgress(t.epoch, nil) }, func() {
		if !ok {
			t.end("its progress is fenced")
			return
		}
		t.read()
	})
}

// read reads the progress and then the jobs.
func (t *rivalTerm) read() {
	w := t.vm.w
	t.retry(readTimeout, func() { t.progress = w.readProgress() }, func() {
		var all []scheduler.Submitted
		t.retry(readTimeout, func() { all = slices.Clone(w.jobs) }, func() {
			t.vm.addJobs(all)
			t.begin()
		})
	})
}

// begin starts the scheduler.
func (t *rivalTerm) begin() {
	v := t.vm
	t.s = &scheduler.Scheduler{
		Settings: scheduler.Settings{Lease: lease, StopTime: rivalsStopTime, Machines: true},
		Epoch:    t.epoch, LeadingSince: v.w.now, ConfirmedAt: v.w.now,
	}
	if !v.lastConfirmed.IsZero() {
		t.s.ConfirmedAt = v.lastConfirmed
	}
	if !v.releasedAt.IsZero() {
		t.post(scheduler.Released{At: v.releasedAt})
	}
	t.post(scheduler.ConfigChanged{Config: scheduler.Config{Queues: map[string]scheduler.Queue{"q": rivalsQueue}, Pools: map[string]bool{"s": false}}})
	for _, j := range v.jobs {
		j.Progress, j.Inherited = t.progress[j.Job.ID], true
		t.post(j)
	}
	t.decide()
	t.readRecentWorkers()
}

// readRecentWorkers reads the workers that are listed or were until recently, and then
// follows the list.
func (t *rivalTerm) readRecentWorkers() {
	var all []scheduler.WorkerInfo
	t.retry(readTimeout, func() { all = t.vm.w.recentWorkers() }, func() {
		t.post(scheduler.WorkersListed{Workers: all})
		t.readWorkers()
	})
}

func (t *rivalTerm) readWorkers() {
	var all []scheduler.WorkerInfo
	t.retry(readTimeout, func() { all = t.vm.w.listedWorkers() }, func() {
		t.post(scheduler.WorkersListed{Workers: all})
		t.after(350*time.Millisecond, t.readWorkers)
	})
}

// decide lets the scheduler handle the inbox.
func (t *rivalTerm) decide() {
	now := t.vm.w.now
	tick := now.Sub(t.tickedAt) >= 100*time.Millisecond
	pass := t.s.NextPass()
	if len(t.inbox) == 0 && !tick && (pass.IsZero() || now.Before(pass)) {
		return
	}
	events, handled := t.inbox, t.handled
	t.inbox, t.handled = nil, nil
	if tick {
		t.tickedAt = now
		events = append(events, scheduler.Ticked{})
	}
	effects := t.s.Reduce(now, events...)
	for _, e := range events {
		if _, ok := e.(scheduler.Released); ok {
			t.released = true
		}
	}
	for _, f := range effects {
		t.execute(f)
	}
	for _, do := range handled {
		do()
	}
}

// execute carries out an effect.
func (t *rivalTerm) execute(f scheduler.Effect) {
	v, w := t.vm, t.vm.w
	delay := w.between(0, 3*time.Millisecond)
	switch f := f.(type) {
	case scheduler.Hold:
		t.after(delay, func() { t.hold(f) })
	case scheduler.Start:
		t.after(delay, func() { t.start(f, startTries, false) })
		if do := v.atStart; do != nil {
			v.atStart = nil
			do(w.index(f.Worker))
		}
	case scheduler.Stop:
		t.after(delay, func() { t.stop(f) })
	case scheduler.Store:
		t.store(encodeProgress(f.Progress))
	case scheduler.ListMachines:
		t.after(delay, t.listMachines)
	case scheduler.Resign:
		t.end("fenced by several workers")
	case scheduler.Decision:
		w.log("%s epoch %d: %s: %v run %d job %s on %s %v", v.name, t.epoch, f.Message, f.Task, f.Run, f.Job, f.Worker, f.Details)
	}
}

func (t *rivalTerm) store(all map[string]json.RawMessage) {
	ok := false
	t.retry(storeTimeout, func() { ok = t.vm.w.storeProgress(t.epoch, all) }, func() {
		if !ok {
			t.end("its progress is fenced")
			return
		}
		t.post(scheduler.Stored{})
	})
}

func (t *rivalTerm) listMachines() {
	w := t.vm.w
	if w.cloudDown {
		t.after(w.between(0, 3*time.Second), func() { t.post(scheduler.MachinesListed{}) })
		return
	}
	w.after(w.between(time.Millisecond, 100*time.Millisecond), func() {
		e := w.machines()
		t.after(w.between(time.Millisecond, 100*time.Millisecond), func() { t.post(e) })
	})
}

// call calls a worker. done gets its answer, or the outcome unknown or unsent.
func (t *rivalTerm) call(worker string, sendTimeout, timeout time.Duration, execute func(x *rivalWorker, reply func(rivalAnswer)), done func(rivalAnswer)) {
	v, w := t.vm, t.vm.w
	settled := false
	settle := func(a rivalAnswer) {
		if settled || t.ended {
			return
		}
		settled = true
		done(a)
	}
	i := w.index(worker)
	x, link := w.workers[i], &v.links[i]
	v.after(timeout, func() { settle(rivalAnswer{outcome: scheduler.OutcomeUnknown}) })
	latency := w.between(time.Millisecond, 10*time.Millisecond)
	if w.chance(2) {
		latency = w.between(0, timeout)
	}
	if w.chance(w.lateCalls) {
		life := x.life
		w.late++
		w.after(w.between(2*time.Second, 12*time.Second), func() {
			if x.life == life && x.up {
				execute(x, func(rivalAnswer) {})
			}
		})
		return
	}
	deadline, instance := w.now.Add(sendTimeout), x.life
	var arrive func()
	arrive = func() {
		life := x.life
		switch {
		case !link.requestsLost && x.up && (x.life == instance || w.now.Before(deadline)): // an open connection ends with its instance
			execute(x, func(a rivalAnswer) {
				if x.life == life && !link.answersLost {
					v.after(latency, func() { settle(a) })
				}
			})
		case link.refused || (!x.up && w.chance(80)):
			v.after(latency, func() { settle(rivalAnswer{outcome: scheduler.OutcomeUnsent}) })
		case w.now.Before(deadline): // it is sent again for a while
			w.after(rivalsStep+w.between(0, sendTimeout), func() {
				if !settled && !t.ended && w.now.Before(deadline) {
					arrive()
				}
			})
		}
	}
	w.after(latency, arrive)
}

func (t *rivalTerm) hold(f scheduler.Hold) {
	h := f.At(t.vm.w.now)
	sent := t.vm.w.now
	t.call(f.Worker, callMargin+f.Wait, callMargin+f.Wait, func(x *rivalWorker, reply func(rivalAnswer)) { x.hold(h, reply) }, func(a rivalAnswer) {
		t.post(scheduler.HoldResult{Worker: f.Worker, Sent: sent, Outcome: a.outcome, ClockMS: a.clock, StartedMS: a.born, Ack: h.Ack, Running: a.running, Ends: a.ends})
	})
}

// start sends a start, again if it gets no answer, as the commander does.
func (t *rivalTerm) start(f scheduler.Start, tries int, unanswered bool) {
	sendTimeout := callMargin
	if t.vm.w.broken != breakStarts {
		if t.released {
			f = f.WithRelease()
		}
		sendTimeout = min(sendTimeout, f.TimeLeft(t.vm.w.now))
	}
	if sendTimeout <= 0 || tries == 0 {
		o := scheduler.OutcomeDropped
		if unanswered {
			o = scheduler.OutcomeUnknown
		}
		t.post(scheduler.StartResult{Start: f, Outcome: o, Unanswered: startTries-tries > 1})
		return
	}
	t.call(f.Worker, sendTimeout, callMargin, func(x *rivalWorker, reply func(rivalAnswer)) { reply(x.start(f)) }, func(a rivalAnswer) {
		o := a.outcome
		if unanswered {
			o = afterUnansweredStart(o)
		}
		if o == scheduler.OutcomeUnknown {
			t.start(f, tries-1, true)
			return
		}
		t.post(scheduler.StartResult{Start: f, Outcome: o, ClockMS: a.clock, Unanswered: unanswered})
	})
}

// afterUnansweredStart returns the outcome of a start that follows one without an answer, as
// the commander does.
func afterUnansweredStart(o scheduler.Outcome) scheduler.Outcome {
	switch o {
	case scheduler.OutcomeObsolete:
		return scheduler.OutcomeDone
	case scheduler.OutcomeUnsent, scheduler.OutcomeLate, scheduler.OutcomeFull, scheduler.OutcomeUnhealthy, scheduler.OutcomeTicket, scheduler.OutcomeInvalid:
		return scheduler.OutcomeUnknown
	default:
		return o
	}
}

func (t *rivalTerm) stop(f scheduler.Stop) {
	t.call(f.Worker, callMargin, callMargin, func(x *rivalWorker, reply func(rivalAnswer)) { reply(x.stop(f)) }, func(a rivalAnswer) {
		t.post(scheduler.StopResult{Stop: f, Outcome: a.outcome})
	})
}
