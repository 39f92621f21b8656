package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	starvationTime    = 4 * time.Second  // for which work of a pool finds too few resources before a machine is moved there; a move takes 1.5 s and is charged
	moveInterval      = 3 * time.Second  // between two moves, so that the first one takes effect
	moveRetryDelay    = 30 * time.Second // before another attempt to move a machine that could not be moved
	maxMachineListAge = 2 * time.Second  // of a list of machines that decisions may use
	loanIdleTime      = 20 * time.Second // for which a machine on loan is idle before it is returned
	loanCheckInterval = 10 * time.Second // between requests for the list of machines while any is on loan
	idleDivisor       = 2                // more than 1/idleDivisor of the workers of a pool must be idle for it to lend a machine
	minIdleKept       = 1                // number of idle workers that a lending pool keeps
)

// MoveMachine moves a machine to another pool; all runs there end. It is
// idempotent.
type MoveMachine struct {
	Machine string
	Pool    string
	Epoch   int64
}

// MoveResult is the result of a MoveMachine effect.
type MoveResult struct {
	Move    MoveMachine
	Outcome Outcome // OutcomeObsolete if the machine or the pool does not allow it
}

// StoreLoans stores which machines are on loan, for the next leader.
type StoreLoans struct {
	Epoch  int64
	Number int64 // increases within the epoch; the store with the highest number is valid
	Loans  Loans
}

// Loans are the machines on loan, with the pools that own them.
type Loans map[string]string

// LoansRestored brings the loans that an earlier leader stored.
type LoansRestored struct{ Loans Loans }

func (MoveMachine) isEffect()  {}
func (MoveResult) isEvent()    {}
func (StoreLoans) isEffect()   {}
func (LoansRestored) isEvent() {}

// starvation is the state of a pool whose work finds too few resources.
type starvation struct {
	since time.Time
	need  placer.Resources // of one task
	label string           // required label of a worker, empty for none
}

// starvedNeed identifies equal work of a pool.
type starvedNeed struct {
	pool  string
	need  placer.Resources
	label string
}

// relocation is the state of the moves of machines between pools.
type relocation struct {
	starvedPools   map[string]starvation // by pool
	loans          Loans
	storeNumber    int64                // of the last StoreLoans
	idleSince      map[string]time.Time // when a machine on loan was first found idle, by machine
	refusedMoves   map[poolPair]bool    // moves that the platform does not allow
	failedAt       map[string]time.Time // time of the last failed move, by machine
	pendingMove    MoveMachine          // move in progress, else the zero value
	pendingMachine Machine              // its machine as last listed before the move
	moveInFlight   bool                 // the call is in flight
	lastMoveAt     time.Time            // when the last call was sent or answered
}

// poolPair identifies the moves from one pool to another.
type poolPair struct{ from, to string }

// recordStarvation records which pools have work that found too few resources in a
// pass.
func (s *Scheduler) recordStarvation(now time.Time, units []unit) {
	if len(s.config.Pools) <= 1 {
		return
	}
	found := map[string]starvation{}
	helped := map[string]bool{}
	tried := map[starvedNeed]bool{}
	for _, u := range units {
		pool := u.job.queue.Service
		if helped[pool] || len(u.step.waitingTasks()) == 0 || u.job.queue.Advice != nil || u.step.Filler {
			continue // more machines may not help
		}
		k := starvedNeed{pool, u.step.Need, u.step.Label}
		if tried[k] {
			continue
		}
		tried[k] = true
		n := starvation{since: now, need: u.step.Need, label: u.step.Label}
		if old, ok := s.relocation.starvedPools[pool]; ok {
			n.since = old.since
		}
		// Work that no machine can hold counts only if there is no other: the list of
		// machines, which is requested then, may be old.
		helped[pool] = s.anyMachineHolds(pool, n)
		if _, ok := found[pool]; !ok || helped[pool] {
			found[pool] = n
		}
	}
	s.relocation.starvedPools = found
}

// anyMachineHolds reports whether a machine of another pool has the resources and the label
// for a task.
func (s *Scheduler) anyMachineHolds(pool string, n starvation) bool {
	for _, m := range s.machines {
		if m.Pool != pool && m.holds(n) {
			return true
		}
	}
	return false
}

// holds reports whether a machine has the resources and the label for a task.
func (m *Machine) holds(n starvation) bool {
	return n.need.Fits(m.Capacity) && (n.label == "" || slices.Contains(m.Labels, n.label))
}

// relocateMachines moves machines to pools whose work has found too few resources
// for starvationTime, and returns them once they are idle there. They come from
// pools that are switched off or mostly idle. Each move is charged, so only one is
// in progress at a time, and only idle machines move.
func (s *Scheduler) relocateMachines(now time.Time) {
	v := &s.relocation
	switch {
	case len(s.config.Pools) <= 1 || s.recovering || v.moveInFlight || s.unconfirmedFor(now) > 0:
		return
	case v.pendingMove != MoveMachine{}:
		if now.Sub(v.lastMoveAt) >= upkeepRetryDelay {
			s.sendMove(now)
		}
		return
	case now.Sub(v.lastMoveAt) < moveInterval:
		return
	}
	m, pool, reason := s.chooseMove(now)
	if pool == "" {
		return
	}
	v.pendingMove, v.pendingMachine = MoveMachine{Machine: m.ID, Pool: pool, Epoch: s.Epoch}, m
	if w, ok := s.workers[m.Worker]; ok {
		w.evacuating = true
		s.touch(w)
	}
	s.logDecision(Decision{Message: "machine is moved to another pool", Worker: m.Worker, Details: Details{detailMachine: m.ID, "from": m.Pool, "to": pool, "reason": reason}})
	s.sendMove(now)
}

func (s *Scheduler) sendMove(now time.Time) {
	s.relocation.moveInFlight, s.relocation.lastMoveAt = true, now
	s.emit(s.relocation.pendingMove)
}

// chooseMove returns the next machine to move, its new pool and the reason. The
// pool is empty if no machine is to move.
func (s *Scheduler) chooseMove(now time.Time) (Machine, string, string) {
	for _, pool := range slices.Sorted(maps.Keys(s.relocation.starvedPools)) {
		n := s.relocation.starvedPools[pool]
		if now.Sub(n.since) < starvationTime {
			continue
		}
		if now.Sub(s.machinesListedAt) > maxMachineListAge {
			s.requestMachines(now)
			return Machine{}, "", ""
		}
		if m, ok := s.spareMachine(now, pool, n); ok {
			return m, pool, "work finds too few resources"
		}
	}
	return s.chooseReturn(now)
}

// spareMachine returns a machine that another pool can lend, preferably one that
// is switched off.
func (s *Scheduler) spareMachine(now time.Time, pool string, n starvation) (Machine, bool) {
	var idle *Machine
	for _, id := range slices.Sorted(maps.Keys(s.machines)) {
		m := s.machines[id]
		if m.Pool == pool || s.relocation.refusedMoves[poolPair{m.Pool, pool}] || !m.holds(n) || s.awaitsUpkeep(id) || now.Sub(s.relocation.failedAt[id]) < moveRetryDelay || s.inEvacuatedZone(m.Worker) {
			continue
		}
		if s.config.Pools[m.Pool] && (m.Up || m.Down) {
			return m, true
		}
		if !m.Up {
			continue
		}
		if _, starved := s.relocation.starvedPools[m.Pool]; !starved && idle == nil && s.isIdle(now, m.Worker) && s.canLend(now, m) {
			idle = &m
		}
	}
	if idle == nil {
		return Machine{}, false
	}
	return *idle, true
}

// chooseReturn returns a machine on loan that has been idle for loanIdleTime, its
// own pool and the reason.
func (s *Scheduler) chooseReturn(now time.Time) (Machine, string, string) {
	v := &s.relocation
	if len(v.loans) > 0 && now.Sub(s.machinesAskedAt) >= loanCheckInterval {
		s.requestMachines(now)
	}
	for _, id := range slices.Sorted(maps.Keys(v.loans)) {
		m, ok := s.machines[id]
		_, starved := v.starvedPools[m.Pool]
		if !ok || starved || !m.Up || !s.isIdle(now, m.Worker) || s.awaitsUpkeep(id) || v.refusedMoves[poolPair{m.Pool, v.loans[id]}] || now.Sub(v.failedAt[id]) < moveRetryDelay {
			delete(v.idleSince, id)
			continue
		}
		if v.idleSince == nil {
			v.idleSince = map[string]time.Time{}
		}
		since, ok := v.idleSince[id]
		if !ok {
			v.idleSince[id] = now
			continue
		}
		if now.Sub(since) < loanIdleTime {
			continue
		}
		if now.Sub(s.machinesListedAt) > maxMachineListAge {
			s.requestMachines(now)
			return Machine{}, "", ""
		}
		return m, v.loans[id], "idle on loan"
	}
	return Machine{}, "", ""
}

// isIdle reports whether a worker is usable and runs nothing.
func (s *Scheduler) isIdle(now time.Time, id string) bool {
	w, ok := s.workers[id]
	return ok && w.usable(now) && len(w.runs) == 0
}

// canLend reports whether the pool of a machine can lend it: enough of its workers
// are idle, and the others have the resources for all guarantees.
func (s *Scheduler) canLend(now time.Time, m Machine) bool {
	all, idle, accelerators, guaranteed := 0, 0, -m.Capacity.Accelerators, 0
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if w.Service != m.Pool || !w.listed || w.zoneEvacuated {
			continue
		}
		all++
		accelerators += w.Capacity.Accelerators
		if s.isIdle(now, id) {
			idle++
		}
	}
	for _, n := range s.config.Guaranteed {
		guaranteed += n
	}
	return idle > minIdleKept && idle*idleDivisor > all && accelerators >= guaranteed
}

// awaitsUpkeep reports whether a machine has upkeep that is not complete.
func (s *Scheduler) awaitsUpkeep(id string) bool {
	for _, v := range s.waves {
		if u, ok := v.machines[id]; ok && !v.Completed && u.phase != phaseDone {
			return true
		}
	}
	return false
}

// handleMoveResult handles the result of a move. A move without an answer may have
// been executed, so it is sent again.
func (s *Scheduler) handleMoveResult(now time.Time, e MoveResult) {
	v := &s.relocation
	if v.pendingMove != e.Move {
		return
	}
	v.moveInFlight, v.lastMoveAt = false, now
	s.logDecision(Decision{Message: "move of a machine to another pool was requested", Worker: v.pendingMachine.Worker, Details: Details{detailMachine: e.Move.Machine, "to": e.Move.Pool, detailOutcome: e.Outcome}})
	if e.Outcome == OutcomeUnknown {
		return
	}
	v.pendingMove = MoveMachine{}
	if e.Outcome != OutcomeDone {
		s.handleMoveFailure(now, e)
		return
	}
	if v.loans == nil {
		v.loans = Loans{}
	}
	if v.loans[e.Move.Machine] == e.Move.Pool {
		delete(v.loans, e.Move.Machine)
	} else if _, ok := v.loans[e.Move.Machine]; !ok {
		v.loans[e.Move.Machine] = v.pendingMachine.Pool
	}
	delete(v.idleSince, e.Move.Machine)
	v.storeNumber++
	s.emit(StoreLoans{Epoch: s.Epoch, Number: v.storeNumber, Loans: maps.Clone(v.loans)})
}

// handleMoveFailure lets the worker of a machine that was not moved take tasks
// again.
func (s *Scheduler) handleMoveFailure(now time.Time, e MoveResult) {
	v := &s.relocation
	s.endEvacuation(v.pendingMachine.Worker)
	if v.failedAt == nil {
		v.failedAt, v.refusedMoves = map[string]time.Time{}, map[poolPair]bool{}
	}
	v.failedAt[e.Move.Machine] = now
	if e.Outcome == OutcomeObsolete {
		v.refusedMoves[poolPair{v.pendingMachine.Pool, e.Move.Pool}] = true
	}
}
