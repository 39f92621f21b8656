package reducer

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// recovery is the first phase of a new leader: before it makes any decision, it
// fences every worker and reads its leases.
type recovery struct {
	active     bool
	since      time.Time
	majorityAt time.Time // when a majority of the workers had accepted a provisional leader, zero before
}

// becomeLeader takes leadership under an epoch and starts to read the workers.
func (t *transition) becomeLeader(e leaser.Epoch) {
	t.stepDown()
	t.epoch = e
	t.recovery = recovery{active: true, since: t.now}
	for i := t.workers.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		t.fence(id)
	}
}

// fence raises the epoch on a worker and requests its inventory.
func (t *transition) fence(id string) {
	t.changeWorker(id, func(w *worker) {
		if w.firstFence.IsZero() {
			w.firstFence = t.now
		}
		w.lastFence = t.now
		w.fencePending = true
		t.emit(Fence{Worker: id, Epoch: t.epoch, SentAt: t.now})
	})
	t.setTimer(timerWorker, id, t.now.Add(fenceRetryDelay))
}

// finishRecovery ends the recovery once every worker has been read, or has been
// silent for so long that its leases have expired. A provisional leader also needs a
// majority of the workers, and waits for peerDetectionTime after it has one.
func (t *transition) finishRecovery() {
	if !t.recovery.active || len(t.workerList) == 0 {
		return
	}
	accepted := 0
	for _, l := range t.workerList {
		w, ok := t.workers.Get(l.ID)
		switch {
		case !ok:
			return
		case w.fenced:
			accepted++
		case w.firstFence.IsZero() || t.now.Before(w.firstFence.Add(leaser.TTL)) || t.mayBePartitioned():
			return
		}
	}
	if t.epoch.SubTerm > 0 && (accepted*2 <= len(t.workerList) || !t.majoritySettled()) {
		return
	}
	t.recovery = recovery{}
	t.rebuildState()
}

// majoritySettled reports whether a majority of the workers accepted this provisional
// leader at least peerDetectionTime ago. When a network partition heals, they may all
// do so before it hears of the leader on the other side, of the decisions made there,
// and of the log.
func (t *transition) majoritySettled() bool {
	if t.recovery.majorityAt.IsZero() {
		t.recovery.majorityAt = t.now
	}
	return !t.now.Before(t.recovery.majorityAt.Add(peerDetectionTime))
}

// yieldProvisional makes a provisional leader in recovery step down when the log is
// available, when the leader named by the log is heard again, or when another VM is
// first in the list of live VMs.
func (t *transition) yieldProvisional() {
	if t.epoch.SubTerm == 0 || !t.recovery.active {
		return
	}
	leaderBack := t.leader != t.self && slices.Contains(t.livePeers, t.leader)
	if t.logUp || leaderBack || slices.Index(t.livePeers, t.self) != 0 {
		t.stepDown()
	}
}

// mayBePartitioned reports whether entry VMs went silent shortly before this VM led.
// If a worker is silent too, both may be on the other side of a network partition:
// its leases are renewed there, and this side does not know what it runs. After the
// VMs are heard again, the worker gets one lease TTL to be read too.
func (t *transition) mayBePartitioned() bool {
	if !t.peerReturnedAt.IsZero() && t.now.Before(t.peerReturnedAt.Add(leaser.TTL)) {
		return true
	}
	return !t.peerMissingSince.IsZero() && t.peerMissingSince.After(t.recovery.since.Add(-partitionLookback))
}

// foundAttempt is the newest attempt of a job that the workers' leases show.
type foundAttempt struct {
	attempt int
	leases  []leaser.Lease
	workers []string // worker of each lease
}

// rebuildState rebuilds the gangs from the leases that the workers hold. Only here
// does the cost grow with the number of tasks.
func (t *transition) rebuildState() {
	attempts := map[string]*foundAttempt{} // only looked up, never iterated
	for i := t.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		if w.fenced {
			t.rebuildWorker(attempts, w)
		}
	}
	t.rebuildGangs(attempts)
	for i := t.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.end == nil {
			t.rebuildJob(j)
		}
	}
	t.placementNeeded = true
}

// rebuildGangs sets the attempts and gangs that the leases show. It changes nearly
// every job, so it builds new maps, which takes a fraction of the memory of replacing
// their entries one by one.
func (t *transition) rebuildGangs(attempts map[string]*foundAttempt) {
	jobs := immutable.NewSortedMapBuilder[string, *job](nil)
	gangs := immutable.NewSortedMapBuilder[string, *gang](nil)
	for i := t.jobs.Iterator(); !i.Done(); {
		id, j, _ := i.Next()
		if j.end == nil {
			f, ok := attempts[id]
			if !ok {
				f = &foundAttempt{}
			}
			n := *j
			n.attempt = f.attempt
			n.endPending = false
			j = &n
			if g := gangFromLeases(t.now, j, f); g != nil {
				gangs.Set(id, g)
			}
		}
		jobs.Set(id, j)
	}
	t.jobs = jobs.Map()
	t.gangs = gangs.Map()
}

// rebuildWorker adopts the leases of a worker as holds. Leases of ended or unknown
// jobs are released; the others are grouped by job.
func (t *transition) rebuildWorker(attempts map[string]*foundAttempt, w *worker) {
	t.adoptHolds(w)
	for _, l := range w.inventory.Leases {
		if j, ok := t.jobs.Get(l.ID.Job); !ok || j.end != nil {
			t.releaseLease(w.id, l.ID, t.now)
			continue
		}
		f, ok := attempts[l.ID.Job]
		if !ok {
			f = &foundAttempt{}
			attempts[l.ID.Job] = f
		}
		t.addFoundLease(f, w.id, l)
	}
}

// adoptHolds makes holds of the live leases in a worker's inventory.
func (t *transition) adoptHolds(w *worker) {
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

// addFoundLease adds a lease to its job's attempt. Leases of older attempts are
// released.
func (t *transition) addFoundLease(f *foundAttempt, worker string, l leaser.Lease) {
	switch {
	case l.ID.Attempt < f.attempt:
		t.releaseLease(worker, l.ID, t.now)
		return
	case l.ID.Attempt > f.attempt:
		for i, old := range f.leases {
			t.releaseLease(f.workers[i], old.ID, t.now)
		}
		f.attempt = l.ID.Attempt
		f.leases = nil
		f.workers = nil
	}
	f.leases = append(f.leases, l)
	f.workers = append(f.workers, worker)
}

func holdOf(l leaser.Lease, now time.Time) hold {
	return hold{id: l.ID, owner: l.Organisation, resources: l.Resources, since: now, answeredAt: now}
}

// rebuildJob adopts the gang of a job if it is complete. Otherwise its remaining
// tasks are stopped, and the job waits for its next attempt.
func (t *transition) rebuildJob(j *job) {
	t.scheduleReappend(j)
	g, ok := t.gangs.Get(j.ID)
	if ok {
		t.addUsage(j.Job)
	}
	switch {
	case ok && g.complete():
		t.adoptGang(g)
	case ok:
		t.stopGang(g, t.partialGangEnding(j, g), "part of the gang was missing when the leader changed")
	case j.NonIdempotent && j.start.offset != 0:
		t.endJob(j, OutcomeUnknown, "started before the leader changed, and no lease of it was found", 0)
	default:
		t.admit(j)
	}
	if j.cancelOffset != 0 {
		t.cancelJob(j)
	}
}

// partialGangEnding returns how a job ends when only part of its gang was found. A
// non-idempotent job has certainly not run if no start of it was recorded, or if
// every task of that attempt is still only staged, as the workers are fenced against
// the previous leader.
func (t *transition) partialGangEnding(j *job, g *gang) ending {
	staged := !slices.ContainsFunc(g.tasks, func(v task) bool { return v.state != taskPrepared })
	if j.start.offset == 0 || staged && j.start.record.Attempt == g.attempt {
		return ending{}
	}
	return t.endingAfterLoss(j)
}

// adoptGang continues a complete gang.
func (t *transition) adoptGang(g *gang) {
	if g.succeeded() {
		t.finishGang(g)
	}
}
