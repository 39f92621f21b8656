package reducer

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// recovery is what a new leader does before it decides anything: it fences every
// worker and reads which leases it holds.
type recovery struct {
	active   bool
	since    time.Time
	majority time.Time // when most workers had accepted a provisional leader, zero before
}

// lead takes leadership under an epoch, and starts to read the workers.
func (t *turn) lead(e leaser.Epoch) {
	t.resign()
	t.epoch = e
	t.recovery = recovery{active: true, since: t.now}
	for i := t.workers.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		t.fence(id)
	}
}

// fence raises the epoch on a worker and asks for its inventory.
func (t *turn) fence(id string) {
	t.changeWorker(id, func(w *worker) {
		if w.triedAt.IsZero() {
			w.triedAt = t.now
		}
		w.asked = t.now
		w.asking = true
		t.emit(Fence{Worker: id, Epoch: t.epoch, Asked: t.now})
	})
	t.arm(timerWorker, id, t.now.Add(fenceRetry))
}

// recover ends the recovery once every worker has been read, or has been silent
// for so long that its leases are over. A provisional leader needs a majority of
// the workers besides, and waits a while when it has one.
func (t *turn) recover() {
	if !t.recovery.active || len(t.listed) == 0 {
		return
	}
	accepted := 0
	for _, l := range t.listed {
		w, ok := t.workers.Get(l.ID)
		switch {
		case !ok:
			return
		case w.fenced:
			accepted++
		case w.triedAt.IsZero() || t.now.Before(w.triedAt.Add(leaser.TTL)) || t.split():
			return
		}
	}
	if t.epoch.SubTerm > 0 && (accepted*2 <= len(t.listed) || !t.undisputed()) {
		return
	}
	t.recovery = recovery{}
	t.rebuild()
}

// undisputed reports whether most workers accepted this provisional leader for long
// enough ago. When a network that was split heals, they may all do so before it hears
// of the leader on the other side, of what was decided there, and of the log.
func (t *turn) undisputed() bool {
	if t.recovery.majority.IsZero() {
		t.recovery.majority = t.now
	}
	return !t.now.Before(t.recovery.majority.Add(disputeTime))
}

// giveWay has a provisional leader that has decided nothing yet resign when the log
// is back, when the leader that the log names is heard again, or when another VM is
// first.
func (t *turn) giveWay() {
	if t.epoch.SubTerm == 0 || !t.recovery.active {
		return
	}
	back := t.leader != t.self && slices.Contains(t.live, t.leader)
	if t.logUp || back || slices.Index(t.live, t.self) != 0 {
		t.resign()
	}
}

// split reports whether entry VMs fell silent shortly before this one led. If a
// worker is silent too, both may be on the other side of a network that has split:
// its leases are renewed there, and nobody knows here what it runs. When the VMs are
// heard again, the worker has the time of a lease to be read too.
func (t *turn) split() bool {
	if !t.rejoined.IsZero() && t.now.Before(t.rejoined.Add(leaser.TTL)) {
		return true
	}
	return !t.absent.IsZero() && t.absent.After(t.recovery.since.Add(-splitBefore))
}

// found is the newest attempt of a job that the workers' leases show.
type found struct {
	attempt int
	leases  []leaser.Lease
	workers []string // of the leases
}

// rebuild makes the gangs from the leases that the workers hold. This is the one
// place whose cost grows with the number of tasks.
func (t *turn) rebuild() {
	all := map[string]*found{} // looked up, never ranged over
	for i := t.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		if w.fenced {
			t.rebuildWorker(all, w)
		}
	}
	t.findGangs(all)
	for i := t.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.end == nil {
			t.rebuildJob(j)
		}
	}
	t.placeable = true
}

// findGangs notes the attempts and gangs that the leases show. It changes nearly
// every job, so it builds the maps anew, which takes a fraction of the memory of
// replacing their entries one by one.
func (t *turn) findGangs(all map[string]*found) {
	jobs := immutable.NewSortedMapBuilder[string, *job](nil)
	gangs := immutable.NewSortedMapBuilder[string, *gang](nil)
	for i := t.jobs.Iterator(); !i.Done(); {
		id, j, _ := i.Next()
		if j.end == nil {
			f, ok := all[id]
			if !ok {
				f = &found{}
			}
			n := *j
			n.attempt = f.attempt
			n.closing = false
			j = &n
			if g := gangOf(t.now, j, f); g != nil {
				gangs.Set(id, g)
			}
		}
		jobs.Set(id, j)
	}
	t.jobs = jobs.Map()
	t.gangs = gangs.Map()
}

// rebuildWorker takes the leases of a worker into its holds. Those of jobs that
// are over or unknown are released; the others are collected by job.
func (t *turn) rebuildWorker(all map[string]*found, w *worker) {
	t.holdAll(w)
	for _, l := range w.inventory.Leases {
		if j, ok := t.jobs.Get(l.ID.Job); !ok || j.end != nil {
			t.release(w.id, l.ID, t.now)
			continue
		}
		f, ok := all[l.ID.Job]
		if !ok {
			f = &found{}
			all[l.ID.Job] = f
		}
		t.collect(f, w.id, l)
	}
}

// holdAll takes every lease that a worker shows into its holds.
func (t *turn) holdAll(w *worker) {
	n := w.clone()
	n.holds = make([]hold, 0, len(w.inventory.Leases))
	n.used = placer.Resources{}
	for _, l := range w.inventory.Leases {
		if !l.State.Ended() {
			n.holds = append(n.holds, holdOf(l, t.now))
			n.used = n.used.Plus(l.Resources)
		}
	}
	slices.SortFunc(n.holds, func(a, b hold) int { return leaser.Compare(a.id, b.id) })
	t.setWorker(n)
}

// collect adds a lease to what was found of its job. Leases of older attempts are
// released.
func (t *turn) collect(f *found, worker string, l leaser.Lease) {
	switch {
	case l.ID.Attempt < f.attempt:
		t.release(worker, l.ID, t.now)
		return
	case l.ID.Attempt > f.attempt:
		for i, old := range f.leases {
			t.release(f.workers[i], old.ID, t.now)
		}
		f.attempt = l.ID.Attempt
		f.leases = nil
		f.workers = nil
	}
	f.leases = append(f.leases, l)
	f.workers = append(f.workers, worker)
}

func holdOf(l leaser.Lease, now time.Time) hold {
	return hold{id: l.ID, owner: l.Organisation, resources: l.Resources, since: now, settled: now}
}

// rebuildJob adopts the gang of a job if it runs whole. Else what is left of it
// is stopped, and the job waits for its next attempt.
func (t *turn) rebuildJob(j *job) {
	t.armKeep(j)
	g, ok := t.gangs.Get(j.ID)
	if ok {
		t.charge(j.Job)
	}
	switch {
	case ok && g.whole():
		t.adopted(g)
	case ok:
		t.stopGang(g, t.leftOver(j, g), "part of the gang was missing when the leader changed")
	case j.NonIdempotent && j.start.offset != 0:
		t.end(j, OutcomeUnknown, "started before the leader changed, and no lease of it was found", 0)
	default:
		t.admit(j)
	}
	if j.cancelled != 0 {
		t.cancel(j)
	}
}

// leftOver returns what becomes of a job of which only a part of a gang was found.
// A non-idempotent one has not run for sure if no start of it was recorded, or if
// every task of that attempt is still just staged, on workers that obey the old
// leader no more.
func (t *turn) leftOver(j *job, g *gang) ending {
	staged := !slices.ContainsFunc(g.tasks, func(v task) bool { return v.state != taskPrepared })
	if j.start.offset == 0 || staged && j.start.record.Attempt == g.attempt {
		return ending{}
	}
	return t.lossOf(j)
}

// adopted goes on with a gang that runs whole.
func (t *turn) adopted(g *gang) {
	if g.succeeded() {
		t.finish(g)
	}
}
