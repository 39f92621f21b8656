package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/elector"
)

// rivalLink is what a link lets through. The zero value lets everything through.
type rivalLink struct {
	requestsLost, answersLost bool
	refused                   bool // a lost request is refused at once
	cuts                      int  // that have begun; the end of an older one does not end a newer one
}

// rivalVM is a VM that claims the leadership with a real elector.
type rivalVM struct {
	w           *rivals
	name        string
	links       []rivalLink // to the workers
	storeLink   rivalLink
	readDelay   time.Duration // of reads of the store
	frozenUntil time.Time
	atStart     func(worker int) // called once when it has decided a start
	backlog     []func()         // what became due while it stood still

	// Of the process.
	up            bool
	process       int
	instance      string
	elector       *elector.Elector
	electing      bool // an append or read by the elector is in flight
	electorQueue  []func()
	claimNumber   int64
	unconfirmed   map[int64]time.Time
	lastConfirmed time.Time
	leaving       bool
	releasedAt    time.Time // when it began to release the leadership, zero before
	failing       bool      // reads of claims fail
	term          *rivalTerm
	jobs          []scheduler.Submitted // as read, in order
}

// boot starts a process.
func (v *rivalVM) boot() {
	v.process++
	v.up, v.frozenUntil, v.backlog, v.atStart = true, time.Time{}, nil, nil
	v.instance = fmt.Sprintf("%s.%d", v.name, v.process)
	v.elector = &elector.Elector{Self: v.name, Instance: v.instance}
	v.electing, v.electorQueue, v.claimNumber, v.lastConfirmed = false, nil, 0, time.Time{}
	v.unconfirmed = map[int64]time.Time{}
	v.leaving, v.releasedAt, v.failing, v.term, v.jobs = false, time.Time{}, false, nil, nil
	v.tickElector()
	v.readClaims(-1, retryDelay)
	v.readJobs()
}

// exit ends the process; another one starts after a while.
func (v *rivalVM) exit(down time.Duration) {
	if !v.up {
		return
	}
	v.w.log("%s ends, again in %v", v.name, down)
	v.up = false
	v.process++
	if v.term != nil {
		v.term.ended = true
	}
	v.w.after(down, v.boot)
}

// shutDown lets the process release the leadership, lead on until another VM has claimed or
// the grace period is over, and exit.
func (v *rivalVM) shutDown(down time.Duration) {
	if !v.up || v.leaving {
		return
	}
	v.w.log("%s shuts down", v.name)
	v.leaving = true
	v.after(0, func() { v.elect(v.elector.Leave) })
	process, least := v.process, v.w.now.Add(2*time.Second)
	until := v.w.now.Add(gracePeriod)
	var wait func()
	wait = func() {
		led := v.term != nil && !v.term.ended
		if v.process == process && (!v.w.now.Before(until) || (!led && v.w.now.After(least))) {
			v.exit(down)
			return
		}
		if v.process == process {
			v.w.after(rivalsStep, wait)
		}
	}
	wait()
}

// freeze lets the VM stand still.
func (v *rivalVM) freeze(d time.Duration) {
	if !v.up || v.frozen() {
		return
	}
	v.w.log("%s stands still for %v", v.name, d)
	v.frozenUntil = v.w.now.Add(d)
	process := v.process
	v.w.after(d, func() {
		if v.process != process {
			return
		}
		v.frozenUntil = time.Time{}
		backlog := v.backlog
		v.backlog = nil
		if v.w.chance(50) { // timers, answers and queues have no common order
			v.w.rand.Shuffle(len(backlog), func(i, k int) { backlog[i], backlog[k] = backlog[k], backlog[i] })
		}
		v.w.log("%s goes on", v.name)
		for _, do := range backlog {
			if v.process == process {
				do()
			}
		}
	})
}

func (v *rivalVM) frozen() bool { return v.w.now.Before(v.frozenUntil) }

// after calls a function of the process, later if the VM stands still.
func (v *rivalVM) after(d time.Duration, do func()) {
	process := v.process
	v.w.after(d, func() {
		switch {
		case v.process != process:
		case v.frozen():
			v.backlog = append(v.backlog, do)
		default:
			do()
		}
	})
}

// callStore calls the store. done gets false if there was no answer in time.
func (v *rivalVM) callStore(timeout time.Duration, execute func(reply func()), done func(ok bool)) {
	settled, process := false, v.process
	settle := func(ok bool) {
		if !settled && v.process == process {
			settled = true
			done(ok)
		}
	}
	w := v.w
	v.after(timeout, func() { settle(false) })
	w.after(w.between(time.Millisecond, 8*time.Millisecond), func() {
		if w.storeDown || v.storeLink.requestsLost {
			if v.storeLink.refused || w.chance(50) {
				v.after(5*time.Millisecond, func() { settle(false) })
			}
			return
		}
		execute(func() {
			if v.storeLink.answersLost || w.storeDown {
				return
			}
			v.after(w.between(time.Millisecond, 8*time.Millisecond), func() { settle(true) })
		})
	})
}

// readStore is callStore for a read, which may be delayed.
func (v *rivalVM) readStore(read func(), done func(ok bool)) {
	v.callStore(readTimeout, func(reply func()) { read(); v.w.after(v.w.between(0, v.readDelay), reply) }, done)
}

// readClaims follows the topic of the leadership from an offset, -1 for its newest record.
func (v *rivalVM) readClaims(next int64, delay time.Duration) {
	w := v.w
	wait := time.Second
	if v.term != nil {
		wait = 300 * time.Millisecond
	}
	var records []elector.Claim
	from := next
	v.callStore(wait+readTimeout, func(reply func()) {
		answer := func() {
			end := int64(len(w.claims))
			if from < 0 {
				from = max(0, end-1)
			}
			records = slices.Clone(w.claims[from:])
			w.after(w.between(0, v.readDelay), reply)
		}
		if from < 0 || from < int64(len(w.claims)) {
			answer()
			return
		}
		answered := false
		once := func() {
			if !answered {
				answered = true
				answer()
			}
		}
		w.claimWaiters = append(w.claimWaiters, once)
		w.after(wait, once)
	}, func(ok bool) {
		if !ok {
			if !v.failing {
				v.failing = true
				v.elect(func() { v.elector.SetStoreUp(w.now, false) })
			}
			v.after(delay, func() { v.readClaims(next, min(2*delay, 800*time.Millisecond)) })
			return
		}
		v.elect(func() { v.applyClaims(from, records) })
		if v.failing {
			v.failing = false
			v.elect(func() { v.elector.SetStoreUp(w.now, true) })
		}
		v.after(w.between(0, 100*time.Millisecond), func() { v.readClaims(from+int64(len(records)), retryDelay) })
	})
}

func (v *rivalVM) applyClaims(from int64, records []elector.Claim) {
	for i, c := range records {
		v.elector.Apply(v.w.now, from+int64(i), c)
		v.confirm(c)
	}
	v.elector.CaughtUp(v.w.now, from+int64(len(records)))
}

// confirm tells the scheduler the send time of a claim or renewal that is in the topic.
func (v *rivalVM) confirm(c elector.Claim) {
	sent, ok := v.unconfirmed[c.Number]
	if c.Instance != v.instance || !ok {
		return
	}
	for n := range v.unconfirmed {
		if n <= c.Number {
			delete(v.unconfirmed, n)
		}
	}
	v.lastConfirmed = sent
	if v.term.running() {
		v.term.post(scheduler.Confirmed{Sent: sent})
	}
}

func (v *rivalVM) tickElector() {
	v.after(200*time.Millisecond, func() {
		v.elect(func() {})
		v.tickElector()
	})
}

// elect handles an event and what the elector decides, once no call by it is in flight.
func (v *rivalVM) elect(event func()) {
	if v.electing {
		v.electorQueue = append(v.electorQueue, event)
		return
	}
	event()
	e := v.elector
	switch e.Decide(v.w.now) {
	case elector.MakeClaim:
		v.claim(0)
	case elector.Renew:
		v.claim(e.Epoch())
	case elector.Release:
		v.release()
	case elector.NoAction:
	}
	if !v.electing {
		v.updateLeadership()
	}
}

// electorDone goes on after a call by the elector.
func (v *rivalVM) electorDone() {
	v.electing = false
	v.updateLeadership()
	for len(v.electorQueue) > 0 && !v.electing {
		event := v.electorQueue[0]
		v.electorQueue = v.electorQueue[1:]
		v.elect(event)
	}
}

// claim appends a claim if epoch is 0, else a renewal.
func (v *rivalVM) claim(epoch int64) {
	v.claimNumber++
	c := elector.Claim{Holder: v.name, Instance: v.instance, Epoch: epoch, Number: v.claimNumber}
	timeout := time.Second
	if epoch != 0 {
		timeout = 500 * time.Millisecond
	}
	v.unconfirmed[c.Number] = v.w.now
	v.appendClaim(c, timeout)
}

// release tells the scheduler and then the other VMs that these may claim.
func (v *rivalVM) release() {
	v.electing = true
	if v.releasedAt.IsZero() {
		v.releasedAt = v.w.now
	}
	c := elector.Claim{Holder: v.name, Instance: v.instance, Epoch: v.elector.Epoch(), Released: true}
	if v.term.running() {
		v.term.post(scheduler.Released{At: v.releasedAt})
		v.term.handled = append(v.term.handled, func() { v.appendClaim(c, time.Second) })
		return
	}
	v.appendClaim(c, time.Second)
}

// appendClaim appends to the topic of the leadership where this VM believes that it ends.
func (v *rivalVM) appendClaim(c elector.Claim, timeout time.Duration) {
	w := v.w
	v.electing = true
	at := v.elector.NextOffset()
	appended := false
	v.callStore(timeout, func(reply func()) {
		execute := func() { _, appended = w.appendClaim(c, at) }
		if !w.chance(w.lostClaims) {
			execute()
			reply()
			return
		}
		switch w.rand.IntN(3) {
		case 0: // lost
		case 1:
			w.after(w.between(2*time.Second, 12*time.Second), func() { w.appendClaim(c, at) })
		default: // not answered
			execute()
		}
	}, func(ok bool) {
		switch {
		case !ok:
			v.electorDone()
		case appended:
			if c.Epoch == 0 {
				c.Epoch = at + 1
			}
			v.elector.Apply(w.now, at, c)
			v.confirm(c)
			v.electorDone()
		default:
			v.readRivalClaims()
		}
	})
}

// readRivalClaims reads what other VMs have appended.
func (v *rivalVM) readRivalClaims() {
	from := v.elector.NextOffset()
	var records []elector.Claim
	v.readStore(func() { records = slices.Clone(v.w.claims[min(int(from), len(v.w.claims)):]) }, func(ok bool) {
		if ok {
			v.applyClaims(from, records)
		}
		v.electorDone()
	})
}

// updateLeadership starts or ends a term to match the elector's state.
func (v *rivalVM) updateLeadership() {
	e, t := v.elector, v.term
	if e.Leading() && t != nil && t.epoch == e.Epoch() {
		if !t.ended {
			return
		}
		e.End(t.epoch)
	}
	if t != nil {
		t.end("another leads, or none")
		v.term = nil
	}
	if e.Leading() {
		v.term = &rivalTerm{vm: v, epoch: e.Epoch()}
		v.w.log("%s begins to lead in epoch %d", v.name, v.term.epoch)
		v.term.fence()
	}
}

// readJobs follows the topic of jobs.
func (v *rivalVM) readJobs() {
	pause := time.Second
	if v.term != nil {
		pause = v.w.between(0, 30*time.Millisecond)
	}
	var all []scheduler.Submitted
	v.readStore(func() { all = slices.Clone(v.w.jobs) }, func(ok bool) {
		if ok {
			v.addJobs(all)
		}
		v.after(pause, v.readJobs)
	})
}

// addJobs notes the jobs that were read and tells the scheduler the new ones.
func (v *rivalVM) addJobs(all []scheduler.Submitted) {
	for _, j := range all[min(len(v.jobs), len(all)):] {
		v.jobs = append(v.jobs, j)
		if v.term.running() {
			v.term.post(j)
		}
	}
}

// decide lets the scheduler handle what was posted since the last step.
func (v *rivalVM) decide() {
	if t := v.term; v.up && !v.frozen() && t.running() {
		t.decide()
	}
}
