package scheduler

import (
	"maps"
	"slices"
	"time"
)

// Scheduler is the control state of the leading VM. Its exported fields are set
// before the first call of Reduce.
type Scheduler struct {
	Settings Settings
	Epoch    int64 // of the leadership, higher than any before
	Began    time.Time
	Old      int64 // offset of the last job that earlier leaders may have started

	// Confirmed is when the last claim or renewal was sent that the store has taken;
	// Began when it is not set.
	Confirmed time.Time

	terms   Terms
	workers map[string]*worker
	order   []string // ids of workers, sorted
	jobs    map[string]*job
	active  []*job // jobs that have not ended, by offset

	recovering bool // runs of earlier leaders may be on workers not heard yet
	run        int64
	passDue    bool
	storing    bool
	storedAt   time.Time
	hurry      bool // somebody waits for the next store
	waves      map[int]*wave
	machines   map[string]Machine // as listed last, nil before
	machinesAt time.Time          // when they were asked for last

	machinesSeen time.Time // when they were listed last
	listing      bool      // a look at them is in flight
	movers       movers
	meanWork     map[string]float64 // core-seconds of a job, by queue
	advising     bool               // a call for advice is in flight
	adviseAt     time.Time          // no call before
	effects      []Effect
}

// Reduce takes in events and returns what is to be done. It is the only place
// where control decisions are made. Events that come together share one round of
// placements, so that a leader under load decides less often and not later.
func (s *Scheduler) Reduce(now time.Time, events ...Event) []Effect {
	if s.workers == nil {
		s.workers = map[string]*worker{}
		s.jobs = map[string]*job{}
		s.recovering = true
		if s.Confirmed.IsZero() {
			s.Confirmed = s.Began
		}
		s.run = s.Epoch * runsPerEpoch
	}
	s.effects = nil
	for _, e := range events {
		s.take(now, e)
	}
	s.recover(now)
	if s.passDue {
		s.passDue = false
		s.place(now)
	}
	s.hold(now)
	s.store(now)
	return s.effects
}

func (s *Scheduler) take(now time.Time, e Event) {
	switch e := e.(type) {
	case Ticked:
		s.passDue = true
		s.sweep(now)
	case Submitted:
		s.submit(now, e)
	case Cancelled:
		s.cancel(now, e.Job)
	case WorkersListed:
		s.list(now, e.Workers)
	case ConfigChanged:
		s.configure(e.Terms)
	case Held:
		s.held(now, e)
	case Started:
		s.started(now, e)
	case Stopped:
		s.stopped(now, e)
	case Paced:
		s.paced(e)
	case Advised:
		s.advised(now, e)
	case WavesChanged:
		s.setWaves(now, e.Waves)
	case MachinesListed:
		s.machinesListed(now, e)
	case UpkeepEnded:
		s.upkeepEnded(now, e)
	case MoveEnded:
		s.moveEnded(now, e)
	case LoansKnown:
		s.movers.loans = maps.Clone(e.Loans)
	case Stored:
		s.stored(now)
	case Confirmed:
		s.confirm(e)
	}
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Scheduler) note(n Noted) { s.emit(n) }

// find returns a task that is known.
func (s *Scheduler) find(id TaskID) (*job, *step, *task) {
	j, ok := s.jobs[id.Job]
	if !ok || id.Step < 0 || id.Step >= len(j.steps) {
		return nil, nil, nil
	}
	st := j.steps[id.Step]
	if id.Index < 0 || id.Index >= len(st.tasks) {
		return nil, nil, nil
	}
	return j, st, &st.tasks[id.Index]
}

func (s *Scheduler) configure(t Terms) {
	s.terms = t
	for _, j := range s.active {
		if q, ok := t.Queues[j.Queue]; ok {
			j.queue = q
		}
	}
	s.passDue = true
}

func (s *Scheduler) submit(now time.Time, e Submitted) {
	if _, ok := s.jobs[e.Job.ID]; ok {
		return
	}
	j := newJob(e.Job, e.Offset)
	j.doubt = s.doubt(now)
	if q, ok := s.terms.Queues[j.Queue]; ok {
		j.queue = q
	}
	j.restore(e.Progress)
	s.jobs[j.ID] = j
	s.learn(j)
	switch {
	case j.Times > 0:
		s.spread(j, e)
	case !j.state.Ended():
		s.active = append(s.active, j)
	}
	s.claimStrays(now, j.ID)
	if e.Cancelled {
		s.cancel(now, j.ID)
	}
	s.passDue = true
}

// cancel ends a job on its caller's word and stops what runs of it.
func (s *Scheduler) cancel(now time.Time, id string) {
	j, ok := s.jobs[id]
	if !ok || j.state.Ended() {
		return
	}
	s.end(now, j, StateCancelled, "cancelled by its caller")
}

// end ends a job and stops all that runs of it.
func (s *Scheduler) end(now time.Time, j *job, state State, why string) {
	j.state = state
	j.ended = now
	j.dirty = true
	s.hurry = true
	s.active = slices.DeleteFunc(s.active, func(o *job) bool { return o == j })
	s.note(Noted{Message: "job ended", Job: j.ID, Details: Details{"state": state, "reason": why, "after-ms": now.Sub(j.accepted).Milliseconds()}})
	for _, id := range s.order {
		w := s.workers[id]
		for _, p := range w.sorted() {
			if p.task.Job == j.ID {
				s.stop(now, w, p)
			}
		}
	}
	for _, st := range j.steps {
		st.claim = nil
	}
	for _, c := range j.children {
		if !c.state.Ended() {
			s.end(now, c, state, why)
		}
	}
	if j.parent != nil {
		s.childEnded(now, j.parent)
	}
}

// sweep does what is due by time alone.
func (s *Scheduler) sweep(now time.Time) {
	for _, id := range s.order {
		w := s.workers[id]
		if len(w.runs) > 0 && !w.silent.IsZero() && w.lapsed(now, s.Settings.lapseSlack()) {
			s.note(Noted{Message: "leases on a silent worker have run out", Worker: id, Details: Details{"silent-ms": now.Sub(w.silent).Milliseconds()}})
			for _, p := range w.sorted() {
				s.lose(now, w, p, "its lease ran out on a silent worker")
			}
			w.fenced = false
		}
		for _, p := range w.sorted() {
			if p.stopping && !p.inFlight && p.settled.IsZero() && now.Sub(p.stopSent) >= stopPause {
				s.sendStop(now, w, p)
			}
		}
		s.dropStrays(now, w)
	}
	s.order = slices.DeleteFunc(s.order, func(id string) bool {
		w := s.workers[id]
		if w.listed || w.holding || len(w.runs) > 0 || (s.recovering && !w.fenced) {
			return false
		}
		delete(s.workers, id)
		return true
	})
	s.leave(now)
	s.maintain(now)
	s.relocate(now)
	s.forget(now)
}

// forget drops jobs that ended long ago.
func (s *Scheduler) forget(now time.Time) {
	var old []string
	for id, j := range s.jobs {
		if j.state.Ended() && !j.dirty && now.Sub(j.ended) > retention {
			old = append(old, id)
		}
	}
	if len(old) == 0 {
		return
	}
	slices.Sort(old)
	for _, id := range old {
		delete(s.jobs, id)
	}
	s.emit(Forget{Jobs: old})
}

// store stores the progress of changed jobs, one batch at a time.
func (s *Scheduler) store(now time.Time) {
	pause := progressPause
	if s.hurry {
		pause = hurryPause
	}
	if s.storing || now.Sub(s.storedAt) < pause {
		return
	}
	s.hurry = false
	for _, w := range s.workers {
		w.covered = w.acknowledgeable()
	}
	p := map[string]Progress{}
	for id, j := range s.jobs {
		if j.dirty {
			p[id] = j.progress()
			j.dirty = false
		}
	}
	if len(p) == 0 {
		s.keep()
		return
	}
	s.storing = true
	s.storedAt = now
	s.emit(Store{Progress: p})
}

// stored takes in that the batch in flight is stored.
func (s *Scheduler) stored(now time.Time) {
	s.storing = false
	s.storedAt = now
	s.keep()
}

// keep notes that all ends in the last batch are stored.
func (s *Scheduler) keep() {
	for _, w := range s.workers {
		w.stored = max(w.stored, w.covered)
	}
}
