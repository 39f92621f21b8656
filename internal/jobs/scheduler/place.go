package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/ranker"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	avoidFailedTime = 2 * time.Second // a step that has waited for longer may use workers again on which it failed
	urgentRackWait  = time.Second     // an urgent gang within a guarantee that has waited for longer gives up the rack constraint
	crossRackFactor = 3               // by which gangs that should have one rack take longer on several

	// Which racks are large enough for a gang changes only with the usable workers.
	rackCheckInterval = 500 * time.Millisecond

	// While tasks wait, a pass costs milliseconds at a thousand workers, and each end of a
	// run would cause one.
	passInterval = 20 * time.Millisecond
)

// unit is what is placed at once: a gang, or the waiting tasks of a step.
type unit struct {
	job   *job
	index int
	step  *step
}

// pass is a placement pass over the workers of all services.
type pass struct {
	s                  *Scheduler
	now                time.Time
	workers            map[string][]placer.Worker   // usable ones, by service
	reservations       int                          // gangs with reserved resources
	urgentAccelerators map[string]int               // held by or reserved for urgent jobs, by organisation
	failedRequests     []failedRequest              // requests that did not fit in this pass
	failedSearches     []failedSearch               // for runs to stop, in this pass
	victimSearches     int                          // searches for runs to preempt or to wait for
	repeatedSearches   int                          // of them, of units whose last search found nothing
	postponed          map[string]bool              // services of units whose search is left to the next pass
	borrowers          map[string][]placer.Borrower // runs that urgent units may stop, by service, once collected
	withheld           map[*step]bool               // urgent steps whose reserved resources are withheld from others
	lookFirst          bool                         // the gang that is being started waits for a worker's answer
}

// place starts the tasks that fit, the most urgent first.
func (s *Scheduler) place(now time.Time) {
	s.forgetRooms()
	s.updateSpeeds(now)
	if !s.mayStart(now) {
		s.recordStarvation(now, nil)
		s.reportWaits(now, nil)
		return
	}
	units := s.guaranteedFirst(now, s.runnableUnits(now))
	if len(units) == 0 && !s.anyStalled(now) && !s.anySpeculative() {
		s.recordStarvation(now, nil)
		s.reportWaits(now, nil)
		return
	}
	p := &pass{s: s, now: now, workers: s.usableWorkers(now), urgentAccelerators: s.urgentAccelerators(), postponed: map[string]bool{}, borrowers: map[string][]placer.Borrower{}}
	if s.tickedSincePass {
		p.moveStalled()
	}
	p.withholdReserved(units)
	for _, u := range units {
		p.releaseReserved(u)
		// The next pass stops runs for an urgent unit whose search was postponed, so
		// others must not start meanwhile on what it needs.
		if u.job.urgent() || !p.postponed[u.job.queue.Service] {
			p.placeUnit(u)
		}
	}
	if s.tickedSincePass {
		p.placeStanding(units)
	}
	s.tickedSincePass = false
	waiting := map[string]bool{}
	for _, u := range units {
		if u.step.waiting > 0 && !waiting[u.job.queue.Service] {
			waiting[u.job.queue.Service] = true
			s.stopCopies(now, u.job.queue.Service)
		}
	}
	if len(waiting) == 0 {
		p.startCopies()
	} else {
		s.nextPassAt = now.Add(passInterval)
	}
	s.recordStarvation(now, units)
	s.reportWaits(now, p)
}

// runnableUnits returns the unfinished steps whose dependencies have succeeded, in the order of
// value (package ranker).
func (s *Scheduler) runnableUnits(now time.Time) []unit {
	type ranked struct {
		unit
		rank ranker.Rank
	}
	var all []ranked
	s.updateUsage(now)
	used := s.urgentAccelerators()
	for _, j := range s.active {
		if (s.recovering && j.inherited) || now.Before(j.notBefore) || !j.unconfirmedSince.IsZero() || j.awaitingStore || !j.hasWaiting() {
			continue
		}
		rank := s.rankOf(now, j, used)
		for i, st := range j.steps {
			if j.ready(st) && st.waiting > 0 {
				all = append(all, ranked{unit{j, i, st}, rank})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return ranker.Compare(a.rank, b.rank) })
	units := make([]unit, len(all))
	for i, r := range all {
		units[i] = r.unit
	}
	return units
}

// urgentAccelerators returns the accelerators held by urgent jobs, by organisation.
func (s *Scheduler) urgentAccelerators() map[string]int {
	n := map[string]int{}
	for _, j := range s.active {
		if !j.urgent() {
			continue
		}
		for _, st := range j.steps {
			for i := range st.tasks {
				if st.tasks[i].state == taskPlaced {
					n[j.Organisation] += st.Need.Accelerators
				}
			}
		}
	}
	return n
}

// placeUnit starts as much of a unit as fits, or frees resources for it.
func (p *pass) placeUnit(u unit) {
	waiting := u.step.waitingTasks()
	if len(waiting) == 0 {
		return
	}
	if u.step.Gang && len(waiting) < len(u.step.tasks) {
		p.stopBrokenGang(u)
		return
	}
	request := placer.Request{Tasks: len(waiting), PerTask: u.step.Need, Adjacency: placer.AdjacencyNone}
	if u.step.SameRack {
		request.Adjacency = placer.AdjacencyRack
	}
	if !u.step.Gang {
		p.placeTasks(u, waiting, request)
		return
	}
	p.placeGang(u, waiting, request)
}

// stopBrokenGang stops the remaining members of a gang that has lost others.
func (p *pass) stopBrokenGang(u unit) {
	for i := range u.step.tasks {
		if t := &u.step.tasks[i]; t.state == taskPlaced && !p.s.recovering {
			p.s.stopGang(p.now, u.job, u.index, t.run)
			return
		}
	}
}

// placeTasks starts as many tasks of a step that is no gang as fit, near its data if
// possible.
func (p *pass) placeTasks(u unit, waiting []int, r placer.Request) {
	r.Adjacency = placer.AdjacencyNone
	if waiting = p.placeSuspects(u, waiting); len(waiting) == 0 {
		return
	}
	r.Tasks = len(waiting)
	single := r
	single.Tasks = 1
	if len(u.step.reserved) == 0 && p.knownNotToFit(u.job.queue.Service, single) {
		u.step.noteBlocked(p.now)
		p.handleShortage(u, r)
		return
	}
	all := p.eligibleWorkers(u)
	if rack := u.step.DataRack; rack != "" {
		if near := inRack(all, rack); countFitting(r, near) > 0 {
			all = near
		}
	}
	r.Tasks = min(len(waiting), countFitting(r, all))
	if r.Tasks > 0 {
		for k, id := range p.placeTasksBySpeed(u, r, all) {
			p.s.lastRun++
			p.placeTask(u, waiting[k], id, p.s.lastRun)
		}
		u.step.reserved = nil
		u.step.blockedSince = time.Time{}
	} else {
		u.step.noteBlocked(p.now)
	}
	if r.Tasks == 0 && p.triesAll(u) {
		p.failedRequests = append(p.failedRequests, failedRequest{u.job.queue.Service, single})
	}
	if left := len(waiting) - r.Tasks; left > 0 {
		r.Tasks = left
		p.handleShortage(u, r)
	}
}

// noteBlocked notes that the step found too few resources.
func (s *step) noteBlocked(now time.Time) {
	if s.blockedSince.IsZero() {
		s.blockedSince = now
	}
}

// handleShortage tries to find resources for the tasks of a step that did not fit.
func (p *pass) handleShortage(u unit, r placer.Request) {
	if u.job.queue.Advice != nil {
		p.requestAdvice(u, r)
	}
	if u.step.Serving {
		p.s.evictFillers(p.now, u.job, u.step)
	}
	if u.job.urgent() {
		p.preemptOrReserve(u, p.withinRemaining(u, r))
	}
}

// placeGang starts a whole gang, or frees resources for it.
func (p *pass) placeGang(u unit, waiting []int, r placer.Request) {
	if p.placeSuspectGang(u, waiting, r) {
		return
	}
	at, ok := p.findPlacement(u, r)
	if !ok && r.Adjacency == placer.AdjacencyRack && p.mayCrossRacks(u, r) {
		r.Adjacency = placer.AdjacencyNone
		at, ok = p.findPlacement(u, r)
	}
	if !ok {
		u.step.noteBlocked(p.now)
		if u.job.queue.Advice != nil {
			p.requestAdvice(u, r)
		}
		if u.step.Serving {
			p.s.evictFillers(p.now, u.job, u.step)
		}
		p.preemptOrReserve(u, r)
		return
	}
	p.startGang(u, waiting, at)
}

// startGang starts all tasks of a gang in one run.
func (p *pass) startGang(u unit, waiting []int, at placer.Placement) {
	u.step.reserved = nil
	u.step.blockedSince = time.Time{}
	p.s.lastRun++
	p.lookFirst = slices.ContainsFunc(at, func(id string) bool { return p.s.needsLook(p.now, p.s.workers[id]) })
	for k, id := range at {
		p.placeTask(u, waiting[k], id, p.s.lastRun)
	}
	p.lookFirst = false
}

// placeTask starts a task on a worker.
func (p *pass) placeTask(u unit, index int, id string, run int64) {
	s := p.s
	t := &u.step.tasks[index]
	u.step.setState(index, taskPlaced)
	if !u.step.LongRunning || u.step.waiting == 0 { // each long-running task stands for itself
		u.step.ampleSince = time.Time{}
	}
	t.worker, t.run = id, run
	t.apartSince = time.Time{}
	p.startRun(u, index, id, run)
	d := Details{"waited-ms": p.now.Sub(u.job.acceptedAt).Milliseconds()}
	s.describePrevious(p.now, d, u.job, t)
	s.logDecision(Decision{Message: "task placed", Job: u.job.ID, Task: TaskID{u.job.ID, u.index, index}, Run: run, Worker: id, Details: d})
}

// startRun sends the start of a run.
func (p *pass) startRun(u unit, index int, id string, run int64) {
	s, w := p.s, p.s.workers[id]
	task := TaskID{u.job.ID, u.index, index}
	deadlineMS := w.minClock(p.now) + s.Settings.startWindow().Milliseconds()
	unstored := u.step.mustHold(index)
	hold := unstored || p.lookFirst || s.needsLook(p.now, w)
	r := &placement{
		task: task, run: run, need: u.step.Need, startDeadlineMS: deadlineMS, sentAt: p.now, progressedAt: p.now, startOpen: !hold, held: hold,
		serving: u.step.Serving, filler: u.step.Filler, pace: fullPace, level: u.step.tasks[index].suspicion.Level(),
	}
	s.addRun(w, r)
	s.noteGrant(p.now, w, deadlineMS)
	p.reduceFree(u.job.queue.Service, id, u.step.Need)
	if w.aloneRuns > 0 {
		p.withhold(u.job.queue.Service, id)
	}
	if u.job.urgent() {
		p.urgentAccelerators[u.job.Organisation] += u.step.Need.Accelerators
	}
	f := Start{
		Worker: id, Address: w.Address, Epoch: s.Epoch, Task: task, Run: run,
		Spec: u.job.Spec, DeadlineMS: deadlineMS, Checkpoint: u.step.primary(index).checkpoint,
		Ticket: u.step.tickets[id].value, DecidedAt: p.now, MaxDelay: s.maxStartDelay(p.now, w),
		Zone: w.Zone,
	}
	if v := u.step.tasks[index].suspicion.Open; v != nil && !unstored {
		s.closeStart(task, v.Run)
	}
	if hold {
		s.hold(p.now, f, w, r, unstored)
		return
	}
	s.emit(f)
}

// withhold makes a worker unusable for the rest of the pass.
func (p *pass) withhold(service, id string) {
	v := p.workers[service]
	if i, ok := slices.BinarySearchFunc(v, id, compareID); ok {
		v[i].Free = placer.Resources{}
	}
}

// reduceFree reduces the free resources of a worker for the rest of the pass.
func (p *pass) reduceFree(service, id string, need placer.Resources) {
	v := p.workers[service]
	i, ok := slices.BinarySearchFunc(v, id, func(w placer.Worker, id string) int { return cmp.Compare(w.ID, id) })
	if ok {
		v[i].Free = v[i].Free.Minus(need)
	}
}
