package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	starveTime  = 4 * time.Second  // that work of a pool finds no room before a machine is moved there; a move takes 1.5 s and is paid for
	movePause   = 3 * time.Second  // between two moves, so that the first one shows
	moveRetry   = 30 * time.Second // before a machine that could not be moved is tried again
	machinesNew = 2 * time.Second  // age up to which the list of machines is good enough to choose one
	loanIdle    = 20 * time.Second // that a machine on loan runs nothing before it goes home
	loanLook    = 10 * time.Second // between two looks at the list of machines while some are on loan
	idleShare   = 2                // one in so many workers of a pool must be empty for the pool to give a machine away
	idleKept    = 1                // empty worker that stays in a pool which gives a machine away
)

// MoveMachine moves a machine to another pool; all that runs there ends. It may be
// asked for again: what is done is not done twice.
type MoveMachine struct {
	Machine string
	Pool    string
	Epoch   int64
}

// MoveEnded is the result of a MoveMachine effect.
type MoveEnded struct {
	Move    MoveMachine
	Outcome Outcome // OutcomeObsolete where the machine or the pool does not allow it
}

// StoreLoans stores which machines are away from their pools, for the next leader.
type StoreLoans struct {
	Epoch  int64
	Number int64 // rises within the epoch; of two stores the one with the higher number counts
	Loans  Loans
}

// Loans are the machines that are away, with the pools that they belong to.
type Loans map[string]string

// LoansKnown brings the loans that an earlier leader has stored.
type LoansKnown struct{ Loans Loans }

func (MoveMachine) isEffect() {}
func (MoveEnded) isEvent()    {}
func (StoreLoans) isEffect()  {}
func (LoansKnown) isEvent()   {}

// starving is work of a pool that finds no room.
type starving struct {
	since time.Time
	need  placer.Resources // of one task
	label string           // that its worker must have
}

// movers is what moves between pools need to know.
type movers struct {
	starving map[string]starving // by pool
	loans    Loans
	stored   int64                // number of the last store of them
	idle     map[string]time.Time // by machine on loan: since when it runs nothing
	refused  map[move]bool        // by the platform
	failed   map[string]time.Time // when a machine could not be moved
	order    MoveMachine          // under way, empty when there is none
	from     Machine              // as it was when the order was given
	flying   bool                 // an order is in flight
	at       time.Time            // of the last order
}

// move is a way between two pools.
type move struct{ from, to string }

// starve notes which pools have work that found no room in a pass.
func (s *Scheduler) starve(now time.Time, units []unit) {
	if len(s.terms.Pools) <= 1 {
		return
	}
	found := map[string]starving{}
	for _, u := range units {
		pool := u.job.queue.Service
		if _, ok := found[pool]; ok || len(u.step.waitingTasks()) == 0 || u.job.queue.Advice != nil || u.step.Fills {
			continue // more machines might not help
		}
		n := starving{since: now, need: u.step.Need, label: u.step.Label}
		if old, ok := s.relocation.starving[pool]; ok {
			n.since = old.since
		}
		found[pool] = n
	}
	s.relocation.starving = found
}

// relocate moves machines to pools whose work finds no room for a while, from pools
// that are switched off or mostly idle, and back when they are idle there. It answers
// for load that moves between services; each move is paid for, so there is one at a
// time, of empty machines only.
func (s *Scheduler) relocate(now time.Time) {
	v := &s.relocation
	switch {
	case len(s.terms.Pools) <= 1 || s.recovering || v.flying:
		return
	case v.order != MoveMachine{}:
		if now.Sub(v.at) >= upkeepRetry {
			s.sendMove(now)
		}
		return
	case now.Sub(v.at) < movePause:
		return
	}
	m, pool, why := s.chooseMove(now)
	if pool == "" {
		return
	}
	v.order, v.from = MoveMachine{Machine: m.ID, Pool: pool, Epoch: s.Epoch}, m
	if w, ok := s.workers[m.Worker]; ok {
		w.evacuating = true
	}
	s.logDecision(Noted{Message: "machine is moved to another pool", Worker: m.Worker, Details: Details{detailMachine: m.ID, "from": m.Pool, "to": pool, "reason": why}})
	s.sendMove(now)
}

func (s *Scheduler) sendMove(now time.Time) {
	s.relocation.flying, s.relocation.at = true, now
	s.emit(s.relocation.order)
}

// chooseMove returns a machine and the pool that it is to go to, which is empty where
// none is to.
func (s *Scheduler) chooseMove(now time.Time) (Machine, string, string) {
	for _, pool := range slices.Sorted(maps.Keys(s.relocation.starving)) {
		n := s.relocation.starving[pool]
		if now.Sub(n.since) < starveTime {
			continue
		}
		if now.Sub(s.machinesListedAt) > machinesNew {
			s.requestMachines(now)
			return Machine{}, "", ""
		}
		if m, ok := s.spare(now, pool, n); ok {
			return m, pool, "work finds no room"
		}
	}
	return s.homeward(now)
}

// spare returns a machine that another pool can do without, one that is switched off
// where there is any.
func (s *Scheduler) spare(now time.Time, pool string, n starving) (Machine, bool) {
	var idle *Machine
	for _, id := range slices.Sorted(maps.Keys(s.machines)) {
		m := s.machines[id]
		if m.Pool == pool || s.relocation.refused[move{m.Pool, pool}] || !n.need.Fits(m.Capacity) || (n.label != "" && !slices.Contains(m.Labels, n.label)) || s.inWave(id) || now.Sub(s.relocation.failed[id]) < moveRetry {
			continue
		}
		if s.terms.Pools[m.Pool] && (m.Up || m.Down) {
			return m, true
		}
		if !m.Up {
			continue
		}
		if _, hungry := s.relocation.starving[m.Pool]; !hungry && idle == nil && s.empty(now, m.Worker) && s.canGive(now, m) {
			idle = &m
		}
	}
	if idle == nil {
		return Machine{}, false
	}
	return *idle, true
}

// homeward returns a machine on loan that has run nothing for a while.
func (s *Scheduler) homeward(now time.Time) (Machine, string, string) {
	v := &s.relocation
	if len(v.loans) > 0 && now.Sub(s.machinesAskedAt) >= loanLook {
		s.requestMachines(now)
	}
	for _, id := range slices.Sorted(maps.Keys(v.loans)) {
		m, ok := s.machines[id]
		_, hungry := v.starving[m.Pool]
		if !ok || hungry || !m.Up || !s.empty(now, m.Worker) || s.inWave(id) || v.refused[move{m.Pool, v.loans[id]}] || now.Sub(v.failed[id]) < moveRetry {
			delete(v.idle, id)
			continue
		}
		if v.idle == nil {
			v.idle = map[string]time.Time{}
		}
		since, ok := v.idle[id]
		if !ok {
			v.idle[id] = now
			continue
		}
		if now.Sub(since) < loanIdle {
			continue
		}
		if now.Sub(s.machinesListedAt) > machinesNew {
			s.requestMachines(now)
			return Machine{}, "", ""
		}
		return m, v.loans[id], "on loan and idle"
	}
	return Machine{}, "", ""
}

// empty reports whether a worker is known to run nothing.
func (s *Scheduler) empty(now time.Time, id string) bool {
	w, ok := s.workers[id]
	return ok && w.usable(now) && len(w.runs) == 0
}

// canGive reports whether the pool of a machine can do without it: enough of its
// workers run nothing, and the others have room for all guarantees.
func (s *Scheduler) canGive(now time.Time, m Machine) bool {
	all, idle, accelerators, guaranteed := 0, 0, -m.Capacity.Accelerators, 0
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if w.Service != m.Pool || !w.listed {
			continue
		}
		all++
		accelerators += w.Capacity.Accelerators
		if s.empty(now, id) {
			idle++
		}
	}
	for _, n := range s.terms.Guaranteed {
		guaranteed += n
	}
	return idle > idleKept && idle*idleShare > all && accelerators >= guaranteed
}

// inWave reports whether a machine still waits for its upkeep.
func (s *Scheduler) inWave(id string) bool {
	for _, v := range s.waves {
		if u, ok := v.machines[id]; ok && !v.Over && u.phase != phaseDone {
			return true
		}
	}
	return false
}

// moveEnded takes in the answer to an order. One without an answer is given again, as
// it may have been carried out.
func (s *Scheduler) moveEnded(now time.Time, e MoveEnded) {
	v := &s.relocation
	if v.order != e.Move {
		return
	}
	v.flying, v.at = false, now
	s.logDecision(Noted{Message: "machine was ordered to another pool", Worker: v.from.Worker, Details: Details{detailMachine: e.Move.Machine, "to": e.Move.Pool, detailOutcome: e.Outcome}})
	if e.Outcome == OutcomeUnknown {
		return
	}
	v.order = MoveMachine{}
	if e.Outcome != OutcomeDone {
		s.moveFailed(now, e)
		return
	}
	if v.loans == nil {
		v.loans = Loans{}
	}
	if v.loans[e.Move.Machine] == e.Move.Pool {
		delete(v.loans, e.Move.Machine)
	} else if _, ok := v.loans[e.Move.Machine]; !ok {
		v.loans[e.Move.Machine] = v.from.Pool
	}
	delete(v.idle, e.Move.Machine)
	v.stored++
	s.emit(StoreLoans{Epoch: s.Epoch, Number: v.stored, Loans: maps.Clone(v.loans)})
}

// moveFailed lets a machine that stays take tasks again.
func (s *Scheduler) moveFailed(now time.Time, e MoveEnded) {
	v := &s.relocation
	if w, ok := s.workers[v.from.Worker]; ok {
		w.evacuating = false
		s.placementDue = true
	}
	if v.failed == nil {
		v.failed, v.refused = map[string]time.Time{}, map[move]bool{}
	}
	v.failed[e.Move.Machine] = now
	if e.Outcome == OutcomeObsolete {
		v.refused[move{v.from.Pool, e.Move.Pool}] = true
	}
}
