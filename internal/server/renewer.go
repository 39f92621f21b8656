package server

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
)

// maxWorkerCalls is the maximum number of concurrent calls to workers.
const maxWorkerCalls = 64

// reportBatchInterval is the time between reports while nothing changes. A steady
// worker is read every SteadyInterval plus a tick; with this interval the leader
// gets its next reading before the last one is leaser.MaxCountAge old, at which the
// leader asks the worker itself.
const reportBatchInterval = leaser.CallTimeout / 2

// renewer renews the leases on the workers assigned to this VM and reports the
// readings to the leader. It depends neither on a leader nor on the log.
type renewer struct {
	s *Server

	mu              sync.Mutex
	readings        map[string]leaser.Reading    // by worker
	unreported      []leaser.Reading             // readings not yet reported
	changePending   bool                         // an unreported reading differs from the one before
	lastReport      time.Time                    // when readings were last taken for a report
	assigned        []connector.ListedVM         // workers that this VM calls
	assignedAt      time.Time                    // when assigned was computed
	callState       map[string]callState         // by worker
	peerCounts      map[string]leaser.GangReport // by entry VM
	reach           leaser.Reachability
	peerUnreachable map[string][]uint32 // by entry VM, the workers and racks that it reports as unreachable
	callSlots       chan struct{}       // semaphore of the concurrent calls
}

// callState is when a worker was last called and what decides its next call.
type callState struct {
	lastCall time.Time
	inFlight bool
	steady   bool // it answered, nothing has changed, and all its leases run
}

func newRenewer(s *Server) *renewer {
	return &renewer{
		s: s, readings: map[string]leaser.Reading{}, peerCounts: map[string]leaser.GangReport{}, peerUnreachable: map[string][]uint32{},
		callState: map[string]callState{}, callSlots: make(chan struct{}, maxWorkerCalls),
	}
}

// recordPeerDigest records the gangs that another VM sees running and the workers
// and racks that it cannot reach.
func (r *renewer) recordPeerDigest(now time.Time, d *peerv1.Digest) {
	t := leaser.GangReport{VM: d.GetVm(), At: now}
	for _, g := range d.GetGangs() {
		t.Gangs = append(t.Gangs, leaser.GangCount{Job: g.GetJob(), Attempt: int(g.GetAttempt()), Tasks: g.GetTasks()})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerCounts[t.VM] = t
	r.peerUnreachable[t.VM] = d.GetUnreached()
}

// partialGangs returns the gangs of which this VM sees only a part running, for its
// digest. Gangs that it sees whole are omitted: no other VM renews any of their
// leases.
func (r *renewer) partialGangs(now time.Time) []*peerv1.GangCount {
	gangSizes := r.gangSizes()
	var v []*peerv1.GangCount
	for _, g := range r.localCounts(now) {
		if g.Running() == gangSizes[gangKey{g.Job, g.Attempt}] {
			continue
		}
		v = append(v, &peerv1.GangCount{Job: g.Job, Attempt: int32(g.Attempt), Tasks: g.Tasks})
	}
	return v
}

// gangKey identifies an attempt of a job.
type gangKey struct {
	job     string
	attempt int
}

// gangSizes returns the sizes of the gangs with several tasks in the readings of
// this VM.
func (r *renewer) gangSizes() map[gangKey]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := map[gangKey]int{}
	for _, x := range r.readings {
		for _, l := range x.Inventory.Leases {
			if l.GangSize > 1 {
				v[gangKey{l.ID.Job, l.ID.Attempt}] = l.GangSize
			}
		}
	}
	return v
}

func (r *renewer) localCounts(now time.Time) []leaser.GangCount {
	r.mu.Lock()
	v := slices.Collect(maps.Values(r.readings))
	r.mu.Unlock()
	return leaser.Counts(now, v)
}

// allCounts returns the gang counts of all VMs, including this one.
func (r *renewer) allCounts(now time.Time) []leaser.GangReport {
	own := leaser.GangReport{VM: r.s.Settings.VM, At: now, Gangs: r.localCounts(now)}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]leaser.GangReport{own}, slices.Collect(maps.Values(r.peerCounts))...)
}

// runRenewals renews leases until ctx ends. A slow call does not delay the others.
func (r *renewer) runRenewals(ctx context.Context) {
	every(ctx, leaser.CallTick, func() { go r.callDueWorkers(ctx) })
}

// runReports reports readings until ctx ends: changes at the next tick, others in
// batches.
func (r *renewer) runReports(ctx context.Context) {
	every(ctx, leaser.CallTick, func() {
		if readings := r.takeBatch(r.s.Now()); len(readings) > 0 {
			r.s.reporter.report(ctx, readings)
		}
	})
}

// takeBatch returns the readings that are due for a report.
func (r *renewer) takeBatch(now time.Time) []leaser.Reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changePending && now.Sub(r.lastReport) < reportBatchInterval {
		return nil
	}
	readings := r.unreported
	r.unreported, r.changePending, r.lastReport = nil, false, now
	return readings
}

// callDueWorkers calls the workers that are due.
func (r *renewer) callDueWorkers(ctx context.Context) {
	now := r.s.Now()
	if r.reassignmentDue(now) {
		r.assign(r.workersToCall(now))
	}
	due := r.takeDueWorkers(now)
	if len(due) == 0 {
		return
	}
	counts := []leaser.GangReport{leaser.Merge(now, r.allCounts(now))}
	var wg sync.WaitGroup
	for _, w := range due {
		r.callSlots <- struct{}{}
		wg.Go(func() {
			defer func() { <-r.callSlots }()
			r.renewWorker(ctx, w, counts)
		})
	}
	wg.Wait()
}

// reassignmentDue reports whether the workers that this VM calls should be computed
// again, and if so records the time.
func (r *renewer) reassignmentDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.assignedAt) < leaser.CallInterval {
		return false
	}
	r.assignedAt = now
	return true
}

// takeDueWorkers returns the workers that are due and marks them as in flight.
func (r *renewer) takeDueWorkers(now time.Time) []connector.ListedVM {
	waiting := r.s.view.Load().jobsWaiting(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []connector.ListedVM
	for _, w := range r.assigned {
		p := r.callState[w.ID]
		interval := leaser.CallInterval
		if p.steady && !waiting {
			interval = leaser.SteadyInterval
		}
		if !p.inFlight && leaser.CallDue(now, p.lastCall, w.ID, interval) {
			p.lastCall, p.inFlight = now, true
			r.callState[w.ID] = p
			due = append(due, w)
		}
	}
	return due
}

// assign sets the workers that this VM calls and drops the state of all others.
func (r *renewer) assign(workers []connector.ListedVM) {
	keep := make(map[string]bool, len(workers))
	for _, w := range workers {
		keep[w.ID] = true
	}
	unassigned := func(worker string) bool { return !keep[worker] }
	r.mu.Lock()
	r.assigned = workers
	maps.DeleteFunc(r.readings, func(w string, _ leaser.Reading) bool { return unassigned(w) })
	maps.DeleteFunc(r.callState, func(w string, p callState) bool { return unassigned(w) && !p.inFlight })
	r.mu.Unlock()
	r.s.reporter.forget(unassigned)
}

// renewWorker renews the leases of one worker and stores its answer.
func (r *renewer) renewWorker(ctx context.Context, l connector.ListedVM, counts []leaser.GangReport) {
	c, cancel := context.WithTimeout(ctx, leaser.CallTimeout)
	defer cancel()
	last := r.lastInventory(l.ID)
	at := r.s.Now()
	a, err := r.s.worker(l.Address).Renew(c, r.renewRequest(at, last, counts))
	if err != nil {
		r.s.throttled.log("renew", l.ID, err)
		r.recordFailure(at, l.ID)
		return
	}
	i, ok := a.Expand(last)
	if !ok {
		r.s.throttled.log("renew", l.ID, fmt.Errorf("renew leases at worker %s: brief answer does not match the last inventory", l.ID))
		i = leaser.Inventory{Worker: l.ID} // makes the next call ask for the full inventory
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x := leaser.Reading{At: at, Inventory: i}
	r.readings[l.ID] = x
	r.reach = r.reach.WithAnswer(l.ID)
	r.callState[l.ID] = callState{lastCall: at, steady: ok && i.Mark != "" && i.Mark == last.Mark && i.Steady()}
	if ok {
		r.unreported = append(r.unreported, x)
		r.changePending = r.changePending || i.Mark == "" || i.Mark != last.Mark
	}
}

// renewRequest returns the shortest request that renews the leases of a worker.
func (r *renewer) renewRequest(now time.Time, last leaser.Inventory, counts []leaser.GangReport) connector.RenewRequest {
	q := connector.RenewRequest{
		TTLMS:        leaser.TTL.Milliseconds(),
		Renew:        leaser.Renewals(now, last, counts),
		Acknowledged: leaser.Acknowledgements(last, r.s.attemptEnded),
		Known:        last.Mark,
	}
	if last.Mark != "" && last.CoversRunning(q.Renew) {
		q.Renew, q.RenewKnown = nil, true
	}
	return q
}

func (r *renewer) lastInventory(worker string) leaser.Inventory {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readings[worker].Inventory
}

// attemptEnded reports whether workers need not list the ended leases of an attempt
// any more, since its job has ended or is unknown to the log.
func (s *Server) attemptEnded(job string, attempt int) bool {
	v := s.view.Load()
	return v.controlCaughtUp && v.control.AttemptEnded(job, attempt)
}
