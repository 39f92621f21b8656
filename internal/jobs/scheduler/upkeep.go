package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	listInterval       = 700 * time.Millisecond // between requests for the list of machines while a wave is in progress
	evacuationTimeout  = 3 * time.Second        // for which runs without checkpoints may continue on a machine before its upkeep
	maxEvacuationStall = 6 * time.Second        // without the end of a run on a machine whose long-running tasks have to move
	evacuationPause    = 5 * time.Second        // after an evacuation that was suspended
	upkeepRetryDelay   = 500 * time.Millisecond // before a call without an answer is sent again
	upkeepBeginTime    = 500 * time.Millisecond // after which a machine whose upkeep was requested is listed as in upkeep
)

// Wave is a request for the upkeep of machines.
type Wave struct {
	Number    int
	Machines  []string
	Duration  time.Duration // within which the upkeep of all machines is due
	MaxDown   int           // maximum number of machines in upkeep at a time
	Started   []string      // machines whose upkeep has begun, as stored
	Completed bool          // all upkeep is complete, as stored
}

// Machine is a machine as the platform lists it.
type Machine struct {
	ID   string
	Up   bool
	Down bool // switched off or failed

	InUpkeep bool
	Worker   string // its current worker, empty for none

	Pool     string // service that its worker belongs to
	Capacity placer.Resources
	Labels   []string
}

// WavesChanged brings all known waves.
type WavesChanged struct{ Waves []Wave }

// MachinesListed is the result of a ListMachines effect.
type MachinesListed struct {
	OK       bool
	Machines []Machine
}

// UpkeepResult is the result of a BeginUpkeep effect.
type UpkeepResult struct {
	Begin   BeginUpkeep
	Outcome Outcome // OutcomeObsolete for a machine that no longer exists or is not in the wave
}

// ListMachines requests the list of machines.
type ListMachines struct{}

// BeginUpkeep takes a machine down for its upkeep; all runs there end. It is
// idempotent.
type BeginUpkeep struct {
	Machine string
	Wave    int
	Epoch   int64
}

// StoreWave stores the progress of a wave and reports it to the operator.
type StoreWave struct {
	Number    int
	Completed bool
	Started   []string
}

func (WavesChanged) isEvent()   {}
func (MachinesListed) isEvent() {}
func (UpkeepResult) isEvent()   {}
func (ListMachines) isEffect()  {}
func (BeginUpkeep) isEffect()   {}
func (StoreWave) isEffect()     {}

// phase is the state of the upkeep of a machine.
type phase int

const (
	phaseWaiting    phase = iota
	phaseEvacuating       // runs on the machine are being moved
	phaseRequested        // BeginUpkeep has been sent
	phaseDown             // the upkeep has begun
	phaseDone             // the machine is up again or no longer exists
)

// upkeep is the upkeep of one machine in a wave.
type upkeep struct {
	phase    phase
	since    time.Time
	worker   string // worker of the machine when its evacuation began
	inFlight bool   // a call is in flight

	refused        bool      // the platform knows a newer epoch for the machine
	suspendedUntil time.Time // no evacuation before
	runs           int       // on the worker, as seen last
	progressAt     time.Time // when that number last changed
}

// wave is a wave with the state of its machines.
type wave struct {
	Wave
	machines    map[string]*upkeep
	startStored bool // the start of the wave has been stored
}

// addWaves adds new waves. Known waves keep their state.
func (s *Scheduler) addWaves(now time.Time, all []Wave) {
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
			if slices.Contains(v.Started, m) {
				n.machines[m].phase = phaseDown
			}
		}
		s.waves[v.Number] = n
		s.logDecision(Decision{Message: "upkeep wave found", Details: Details{detailWave: v.Number, "machines": len(v.Machines), "cap": v.MaxDown, "over": v.Completed}})
	}
}

// advanceWaves advances the unfinished waves.
func (s *Scheduler) advanceWaves(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		v := s.waves[n]
		if v.Completed {
			continue
		}
		s.requestMachines(now)
		if now.Sub(s.machinesListedAt) > maxMachineListAge || s.recovering {
			s.suspendEvacuations(now, v)
			continue // the machines may have other workers by now
		}
		s.advanceWave(now, v)
	}
}

// advanceWave advances the upkeep of the machines of a wave, with at most Cap of
// them in progress.
func (s *Scheduler) advanceWave(now time.Time, v *wave) {
	if !v.startStored {
		v.startStored = true
		s.emit(StoreWave{Number: v.Number, Started: v.Started})
	}
	started := 0
	for _, u := range v.machines {
		if u.phase == phaseEvacuating || u.phase == phaseRequested || u.phase == phaseDown {
			started++
		}
	}
	unfinished := 0
	for _, id := range s.machinesByLoad(v) {
		u := v.machines[id]
		switch u.phase {
		case phaseWaiting:
			if started < v.MaxDown && !u.refused && !now.Before(u.suspendedUntil) {
				started++
				s.evacuate(now, v, id, u)
			}
		case phaseEvacuating:
			s.beginUpkeep(now, v, id, u)
		case phaseRequested:
			if !u.inFlight && now.Sub(u.since) >= upkeepRetryDelay {
				s.sendUpkeep(now, v, id, u)
			}
		case phaseDown, phaseDone:
		}
		if u.phase != phaseDone {
			unfinished++
		}
	}
	if unfinished == 0 {
		v.Completed = true
		s.logDecision(Decision{Message: "upkeep wave completed", Details: Details{detailWave: v.Number}})
		s.emit(StoreWave{Number: v.Number, Completed: true, Started: v.Started})
	}
}

// suspendEvacuations lets the machines of a wave run tasks again whose evacuation goes on for
// long because the list of machines is not available.
func (s *Scheduler) suspendEvacuations(now time.Time, v *wave) {
	for id, u := range v.machines {
		evacuated := u.phase == phaseEvacuating || (u.phase == phaseRequested && !u.inFlight)
		if evacuated && now.Sub(u.since) > evacuationTimeout {
			s.suspendEvacuation(now, v, id, u)
		}
	}
}

// suspendEvacuation ends an evacuation for evacuationPause at least.
func (s *Scheduler) suspendEvacuation(now time.Time, v *wave, id string, u *upkeep) {
	s.logDecision(Decision{Message: "evacuation of a machine is suspended", Worker: u.worker, Details: Details{detailMachine: id, detailWave: v.Number, detailAfterMS: now.Sub(u.since).Milliseconds()}})
	u.phase, u.since, u.suspendedUntil = phaseWaiting, now, now.Add(evacuationPause)
	s.endEvacuation(u.worker)
}

// machinesByLoad returns the machines of a wave, those with the fewest runs first.
func (s *Scheduler) machinesByLoad(v *wave) []string {
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

// evacuate withholds new tasks from a machine and stops the runs that can resume
// elsewhere from a checkpoint.
func (s *Scheduler) evacuate(now time.Time, v *wave, id string, u *upkeep) {
	u.phase, u.since, u.worker, u.progressAt = phaseEvacuating, now, s.machines[id].Worker, now
	s.logDecision(Decision{Message: "machine is evacuated for upkeep", Worker: u.worker, Details: Details{detailMachine: id, detailWave: v.Number}})
	w, ok := s.workers[u.worker]
	if !ok {
		return
	}
	w.evacuating = true
	s.touch(w)
	for _, p := range w.sortedRuns() {
		if _, st, t := s.findTask(p.task); t != nil && st.Checkpoints && !st.LongRunning {
			p.blameStop(wasteMoved)
			s.stopRun(now, w, p)
		}
	}
}

// beginUpkeep requests the upkeep of a machine that is idle or has been evacuating
// for evacuationTimeout. Long-running tasks are moved first. If one can't move, as too many of
// its step are unavailable, the evacuation is suspended.
func (s *Scheduler) beginUpkeep(now time.Time, v *wave, id string, u *upkeep) {
	w, ok := s.workers[u.worker]
	if !ok {
		s.sendUpkeep(now, v, id, u)
		return
	}
	if n := len(w.runs); n != u.runs {
		u.runs, u.progressAt = n, now
	}
	if now.Sub(u.since) < evacuationTimeout && len(w.runs) > 0 {
		return
	}
	for _, p := range w.order {
		if !s.isLongRunning(p) {
			continue
		}
		if now.Sub(u.progressAt) > maxEvacuationStall {
			s.suspendEvacuation(now, v, id, u)
		}
		return
	}
	s.sendUpkeep(now, v, id, u)
}

func (s *Scheduler) sendUpkeep(now time.Time, v *wave, id string, u *upkeep) {
	if s.unconfirmedFor(now) > 0 {
		return
	}
	u.phase, u.since, u.inFlight = phaseRequested, now, true
	s.emit(BeginUpkeep{Machine: id, Wave: v.Number, Epoch: s.Epoch})
}

// handleUpkeepResult handles the result of a BeginUpkeep effect.
func (s *Scheduler) handleUpkeepResult(now time.Time, e UpkeepResult) {
	v, ok := s.waves[e.Begin.Wave]
	if !ok {
		return
	}
	u, ok := v.machines[e.Begin.Machine]
	if !ok {
		return
	}
	u.inFlight = false
	s.logDecision(Decision{Message: "upkeep was requested", Worker: u.worker, Details: Details{detailMachine: e.Begin.Machine, detailWave: v.Number, detailOutcome: e.Outcome}})
	switch e.Outcome {
	case OutcomeDone:
		u.phase, u.since = phaseDown, now
		if !slices.Contains(v.Started, e.Begin.Machine) {
			v.Started = append(v.Started, e.Begin.Machine)
		}
		s.emit(StoreWave{Number: v.Number, Started: v.Started})
	case OutcomeObsolete:
		u.phase = phaseDone
		s.endEvacuation(u.worker)
	case OutcomeFenced: // repeating it in this epoch would be refused again
		u.phase, u.since, u.refused = phaseWaiting, now, true
		s.endEvacuation(u.worker)
	default:
		u.since = now
	}
}

// handleMachinesListed applies the list of machines.
func (s *Scheduler) handleMachinesListed(now time.Time, e MachinesListed) {
	s.machinesInFlight = false
	if !e.OK {
		return
	}
	s.machinesListedAt = now
	s.machines = make(map[string]Machine, len(e.Machines))
	for _, m := range e.Machines {
		s.machines[m.ID] = m
	}
	s.markGoneWorkers(now)
	for _, v := range s.waves {
		for id, u := range v.machines {
			s.updateUpkeep(now, v, id, u)
		}
	}
}

// updateUpkeep updates the upkeep of a machine after a list of machines.
func (s *Scheduler) updateUpkeep(now time.Time, v *wave, id string, u *upkeep) {
	m, ok := s.machines[id]
	switch {
	case u.phase == phaseDone || v.Completed:
	case !ok:
		u.phase = phaseDone
	case m.InUpkeep && u.phase == phaseWaiting && !s.hasUpkeepIn(id, v): // an earlier leader began it
		u.phase, u.since, u.worker = phaseDown, now, m.Worker
		v.Started = append(v.Started, id)
		s.emit(StoreWave{Number: v.Number, Started: v.Started})
	case u.phase != phaseDown || !m.Up:
	case m.Worker != u.worker:
		u.phase = phaseDone
	case s.machinesAskedAt.Sub(u.since) > upkeepBeginTime: // it was over before it was requested again
		u.phase = phaseDone
		s.logDecision(Decision{Message: "upkeep of a machine was complete already", Worker: u.worker, Details: Details{detailMachine: id, detailWave: v.Number}})
		s.endEvacuation(u.worker)
	}
}

// hasUpkeepIn reports whether another unfinished wave than the given one has a machine.
func (s *Scheduler) hasUpkeepIn(id string, except *wave) bool {
	for _, v := range s.waves {
		if _, ok := v.machines[id]; ok && v != except && !v.Completed {
			return true
		}
	}
	return false
}

// endEvacuation lets a worker whose machine stays up take tasks again.
func (s *Scheduler) endEvacuation(id string) {
	if w, ok := s.workers[id]; ok && w.evacuating {
		w.evacuating = false
		s.touch(w)
		s.placementDue = true
	}
}
