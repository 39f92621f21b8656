package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	listPause      = 700 * time.Millisecond // between two looks at the list of machines while a wave runs
	evacuationTime = 3 * time.Second        // runs that save nothing may go on for so long on a machine whose upkeep is due
	upkeepRetry    = 500 * time.Millisecond // before an order without an answer is sent again
)

// Wave asks for the upkeep of machines.
type Wave struct {
	Number   int
	Machines []string
	Duration time.Duration // within which all of them are due
	Cap      int           // most machines that are down for it at a time
	Done     []string      // machines whose upkeep has begun, as stored
	Over     bool          // as stored
}

// Machine is a machine as the platform lists it.
type Machine struct {
	ID     string
	Up     bool
	Down   bool   // switched off, or failed
	Worker string // the worker that it is now, empty where there is none

	Pool     string // service whose worker it is
	Capacity placer.Resources
	Labels   []string
}

// WavesChanged brings all waves that are known.
type WavesChanged struct{ Waves []Wave }

// MachinesListed is the result of a ListMachines effect.
type MachinesListed struct {
	OK       bool
	Machines []Machine
}

// UpkeepEnded is the result of a BeginUpkeep effect.
type UpkeepEnded struct {
	Begin   BeginUpkeep
	Outcome Outcome // OutcomeObsolete for a machine that is gone or not of the wave
}

// ListMachines asks for the machines.
type ListMachines struct{}

// BeginUpkeep takes a machine down for its upkeep; all that runs there ends. It
// may be asked for again: what is done is not done twice.
type BeginUpkeep struct {
	Machine string
	Wave    int
	Epoch   int64
}

// StoreWave stores how far a wave is, and tells the operator.
type StoreWave struct {
	Number int
	Over   bool
	Done   []string
}

func (WavesChanged) isEvent()   {}
func (MachinesListed) isEvent() {}
func (UpkeepEnded) isEvent()    {}
func (ListMachines) isEffect()  {}
func (BeginUpkeep) isEffect()   {}
func (StoreWave) isEffect()     {}

// phase is where the upkeep of a machine stands.
type phase int

const (
	phaseWaiting    phase = iota
	phaseEvacuating       // what runs there is being moved
	phaseOrdered          // the order is sent
	phaseDown             // the upkeep has begun
	phaseDone             // the machine is up again, or gone
)

// upkeep is the upkeep of one machine of a wave.
type upkeep struct {
	phase  phase
	since  time.Time
	worker string // that the machine was when its upkeep was decided
	flying bool   // an order is in flight
}

// wave is a wave that is being carried out.
type wave struct {
	Wave
	machines map[string]*upkeep
	stored   bool // that it runs
}

// setWaves takes in the waves; those that are over stay so.
func (s *Scheduler) setWaves(now time.Time, all []Wave) {
	if s.waves == nil {
		s.waves = map[int]*wave{}
	}
	for _, v := range all {
		if _, ok := s.waves[v.Number]; ok {
			continue
		}
		n := &wave{Wave: v, machines: map[string]*upkeep{}}
		for _, m := range v.Machines {
			n.machines[m] = &upkeep{since: now}
			if slices.Contains(v.Done, m) {
				n.machines[m].phase = phaseDown
			}
		}
		s.waves[v.Number] = n
		s.logDecision(Noted{Message: "wave of upkeep is known", Details: Details{detailWave: v.Number, "machines": len(v.Machines), "cap": v.Cap, "over": v.Over}})
	}
}

// maintain carries the waves on.
func (s *Scheduler) maintain(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		v := s.waves[n]
		if v.Over {
			continue
		}
		s.requestMachines(now)
		if now.Sub(s.machinesListedAt) > machinesNew || s.recovering {
			return // a machine may be another worker by now
		}
		s.carryOn(now, v)
	}
}

func (s *Scheduler) carryOn(now time.Time, v *wave) {
	if !v.stored {
		v.stored = true
		s.emit(StoreWave{Number: v.Number, Done: v.Done})
	}
	busy := 0
	for _, u := range v.machines {
		if u.phase == phaseEvacuating || u.phase == phaseOrdered || u.phase == phaseDown {
			busy++
		}
	}
	open := 0
	for _, id := range s.byLoad(v) {
		u := v.machines[id]
		switch u.phase {
		case phaseWaiting:
			if busy < v.Cap {
				busy++
				s.evacuate(now, v, id, u)
			}
		case phaseEvacuating:
			s.orderUpkeep(now, v, id, u)
		case phaseOrdered:
			if !u.flying && now.Sub(u.since) >= upkeepRetry {
				s.sendUpkeep(now, v, id, u)
			}
		case phaseDown, phaseDone:
		}
		if u.phase != phaseDone {
			open++
		}
	}
	if open == 0 {
		v.Over = true
		s.logDecision(Noted{Message: "wave of upkeep is over", Details: Details{detailWave: v.Number}})
		s.emit(StoreWave{Number: v.Number, Over: true, Done: v.Done})
	}
}

// byLoad returns the machines of a wave, those on which least runs first.
func (s *Scheduler) byLoad(v *wave) []string {
	load := func(id string) int {
		if w, ok := s.workers[s.machines[id].Worker]; ok {
			return len(w.runs)
		}
		return 0
	}
	return slices.SortedFunc(maps.Keys(v.machines), func(a, b string) int {
		return cmp.Or(cmp.Compare(load(a), load(b)), cmp.Compare(a, b))
	})
}

// evacuate keeps new tasks from a machine and stops what can resume elsewhere.
func (s *Scheduler) evacuate(now time.Time, v *wave, id string, u *upkeep) {
	u.phase, u.since, u.worker = phaseEvacuating, now, s.machines[id].Worker
	s.logDecision(Noted{Message: "machine is evacuated for its upkeep", Worker: u.worker, Details: Details{detailMachine: id, detailWave: v.Number}})
	w, ok := s.workers[u.worker]
	if !ok {
		return
	}
	w.evacuating = true
	for _, p := range w.sortedRuns() {
		if _, st, t := s.findTask(p.task); t != nil && st.Checkpoints && !st.Lasts {
			s.stopRun(now, w, p)
		}
	}
}

// orderUpkeep orders the upkeep of a machine that is empty, or whose runs had time
// enough. Tasks that last are moved first, however long that takes.
func (s *Scheduler) orderUpkeep(now time.Time, v *wave, id string, u *upkeep) {
	if w, ok := s.workers[u.worker]; ok {
		if now.Sub(u.since) < evacuationTime && len(w.runs) > 0 {
			return
		}
		for _, p := range w.runs {
			if _, st, t := s.findTask(p.task); t != nil && st.Lasts {
				return
			}
		}
	}
	s.sendUpkeep(now, v, id, u)
}

func (s *Scheduler) sendUpkeep(now time.Time, v *wave, id string, u *upkeep) {
	u.phase, u.since, u.flying = phaseOrdered, now, true
	s.emit(BeginUpkeep{Machine: id, Wave: v.Number, Epoch: s.Epoch})
}

// upkeepEnded takes in the answer to an order.
func (s *Scheduler) upkeepEnded(now time.Time, e UpkeepEnded) {
	v, ok := s.waves[e.Begin.Wave]
	if !ok {
		return
	}
	u, ok := v.machines[e.Begin.Machine]
	if !ok {
		return
	}
	u.flying = false
	s.logDecision(Noted{Message: "upkeep was ordered", Worker: u.worker, Details: Details{detailMachine: e.Begin.Machine, detailWave: v.Number, detailOutcome: e.Outcome}})
	switch e.Outcome {
	case OutcomeDone:
		u.phase, u.since = phaseDown, now
		if !slices.Contains(v.Done, e.Begin.Machine) {
			v.Done = append(v.Done, e.Begin.Machine)
		}
		s.emit(StoreWave{Number: v.Number, Done: v.Done})
	case OutcomeObsolete:
		u.phase = phaseDone
	default:
		u.since = now
	}
}

// machinesListed takes in the list of machines.
func (s *Scheduler) machinesListed(now time.Time, e MachinesListed) {
	s.machinesInFlight = false
	if !e.OK {
		return
	}
	s.machinesListedAt = now
	s.machines = make(map[string]Machine, len(e.Machines))
	for _, m := range e.Machines {
		s.machines[m.ID] = m
	}
	s.markGoneWorkers()
	for _, v := range s.waves {
		for id, u := range v.machines {
			m, ok := s.machines[id]
			back := u.phase == phaseDown && m.Up && m.Worker != u.worker
			if !ok || back {
				u.phase = phaseDone
			}
		}
	}
}
