package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// placement is a run that holds room on a worker, or may hold it.
type placement struct {
	task      TaskID
	run       int64
	need      placer.Resources
	confirmed time.Time // when the worker first answered that it has the run, zero before
	stray     time.Time // when it was listed, while its job was not read yet; else zero
	settled   time.Time // a list asked for later names the run if it is there, zero before
	stopping  bool
	serves    bool
	fills     bool
	stopSent  time.Time // last attempt to stop it
	inFlight  bool      // a stop is in flight
	untilMS   int64     // a start that arrives later, by the worker's clock, is refused
	measure   int       // as its worker listed it last
	pace      int       // percent that its worker has agreed to, or unknownPace
	pacing    bool      // a change of the pace is in flight
	percent   int
	moved     time.Time // when the percentage last rose
	looked    time.Time // when the worker last listed it
}

// placementKey names a run on a worker.
type placementKey struct {
	task TaskID
	run  int64
}

// worker is what is known of a worker.
type worker struct {
	Listed
	listed bool
	gone   bool // it left, and no machine is it any more

	fenced    bool      // its lists were read under the own epoch
	holding   bool      // a hold is in flight
	heldAt    time.Time // when the last hold was sent
	heardAt   time.Time // since when a hold was answered last: it may have answered right then
	failedAt  time.Time // when a call last got no answer, zero since one did
	silent    time.Time // since when calls get no answer
	clockMS   int64     // of its steady clock
	clockAt   time.Time // when clockMS was received
	deadline  int64     // latest one sent, by its clock
	doubt     time.Time // when this life was learnt of, if another VM may have led by then; else zero
	runs      map[placementKey]*placement
	strays    []stray // ends of runs of jobs that were not read yet, by number
	strayRuns int     // runs of such jobs
	used      placer.Resources
	serving   int       // runs that serve
	filling   int       // runs that fill
	noFill    time.Time // no fillers until then
	pacing    pacing    // of its fillers
	evacuated bool      // its machine goes down for upkeep
	leaves    time.Time // a draining worker stays until then at least
	seen      int64     // last end that was taken in
	stored    int64     // last end that is stored
	acked     int64     // last end that was acknowledged
	covered   int64     // last end that the store in flight covers

	// Faults of the worker.
	faults int       // failed runs of different jobs since one succeeded
	blamed []string  // the jobs that failed
	shun   time.Time // no new tasks until then

	stalled time.Time // when its runs were last seen to stand still, zero since one went on
}

// clock returns a lower bound of the worker's clock.
func (w *worker) clock(now time.Time) int64 {
	return w.clockMS + now.Sub(w.clockAt).Milliseconds()*slowClockPercent/100
}

// lapsed reports whether all leases on the worker have run out, and runs have ended
// within slack.
func (w *worker) lapsed(now time.Time, slack time.Duration) bool {
	return w.clock(now) > w.deadline+slack.Milliseconds()
}

// note takes in the clock of an answer.
func (w *worker) note(now time.Time, clockMS int64) {
	w.failedAt = time.Time{}
	w.silent = time.Time{}
	if clockMS != 0 {
		w.clockMS = clockMS
		w.clockAt = now
	}
}

// missed notes that a call got no answer.
func (w *worker) missed(now time.Time) {
	w.failedAt = now
	if w.silent.IsZero() {
		w.silent = now
	}
}

func (w *worker) add(p *placement) {
	w.runs[placementKey{p.task, p.run}] = p
	w.used = w.used.Plus(p.need)
	w.count(p, 1)
}

func (w *worker) count(p *placement, n int) {
	if p.serves {
		w.serving += n
	}
	if p.fills {
		w.filling += n
	}
}

func (w *worker) remove(p *placement) {
	k := placementKey{p.task, p.run}
	if _, ok := w.runs[k]; ok {
		delete(w.runs, k)
		w.used = w.used.Minus(p.need)
		w.count(p, -1)
		if !p.stray.IsZero() {
			w.strayRuns--
		}
	}
}

// sorted returns the runs on the worker in a fixed order.
func (w *worker) sorted() []*placement {
	all := make([]*placement, 0, len(w.runs))
	for _, p := range w.runs {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *placement) int { return cmp.Or(compareTask(a.task, b.task), cmp.Compare(a.run, b.run)) })
	return all
}

func compareTask(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// usable reports whether new tasks may be placed on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.fenced && w.doubt.IsZero() && w.strayRuns == 0 &&
		!w.Draining && !w.evacuated && w.silent.IsZero() && !now.Before(w.shun)
}

// blame counts a failed run against the worker. A job that fails everywhere
// counts once.
func (w *worker) blame(now time.Time, job string) {
	if slices.Contains(w.blamed, job) {
		return
	}
	w.blamed = append(w.blamed, job)
	w.faults++
	if w.faults >= faultyRuns {
		w.shun = now.Add(shunTime)
		w.faults = faultyRuns - 1 // one more failure shuns it again
		w.blamed = nil
	}
}

// absolve forgets the faults of a worker that has done its work.
func (w *worker) absolve() {
	w.faults = 0
	w.blamed = nil
}

// list takes in the platform's list.
func (s *Scheduler) list(now time.Time, all []Listed) {
	named := make(map[string]bool, len(all))
	for _, l := range all {
		named[l.ID] = true
		w, ok := s.workers[l.ID]
		if !ok {
			w = &worker{runs: map[placementKey]*placement{}, doubt: s.doubt(now)}
			s.workers[l.ID] = w
			s.order = append(s.order, l.ID)
		}
		if ok && l.Born > w.Born && w.Born != 0 {
			s.reborn(now, w, l.Born)
		}
		if l.Draining && (l.Left > 0 || !w.Draining) {
			w.leaves = now.Add(max(l.Left, 0))
		}
		if l.Draining && !w.Draining {
			s.note(Noted{Message: "worker is draining", Worker: l.ID})
		}
		born := max(w.Born, l.Born)
		w.Listed = l
		w.Born = born
		w.listed = !l.Lapsed
	}
	slices.Sort(s.order)
	for _, id := range s.order {
		if w := s.workers[id]; w.listed && !named[id] {
			w.listed = false
			s.note(Noted{Message: "worker left the list", Worker: id, Details: Details{detailRuns: len(w.runs)}})
		}
	}
	s.passDue = true
}

// reborn notes a new life of a worker. Whatever was started before the leader knew
// may run in either life, so the runs stay until the new life has listed them.
func (s *Scheduler) reborn(now time.Time, w *worker, born int64) {
	s.note(Noted{Message: "worker began a new life", Worker: w.ID, Details: Details{"born": born, detailRuns: len(w.runs)}})
	w.Born = born
	w.fenced = false
	w.doubt = s.doubt(now)
	w.strays = nil
	w.stalled = time.Time{}
	w.pacing = pacing{}
	w.gone = false
	w.seen, w.covered, w.stored, w.acked = 0, 0, 0, 0
	w.clockMS, w.clockAt = 0, now
	w.deadline = s.Settings.Lease.Milliseconds() // a start of before may have begun a lease just now
	for _, p := range w.runs {
		p.untilMS = 0 // it was on the clock of the life before
	}
	w.absolve()
	w.evacuated = false
}

// replaced drops all that a worker held whose address another one has now.
func (s *Scheduler) replaced(now time.Time, w *worker) {
	for _, p := range w.sorted() {
		s.lose(now, w, p, "another worker has its address")
	}
	s.reborn(now, w, w.Born)
	w.missed(now)
}

// lose takes a run off a worker that no longer has it, and lets its task wait
// for another. The other members of a gang are stopped.
func (s *Scheduler) lose(now time.Time, w *worker, p *placement, why string) {
	w.remove(p)
	s.passDue = true
	j, st, t := s.find(p.task)
	if t == nil || !t.drop(w.ID, p.run) {
		return
	}
	s.note(Noted{Message: "run is lost", Job: j.ID, Task: p.task, Run: p.run, Worker: w.ID, Details: Details{"reason": why}})
	if st.Gang {
		s.breakGang(now, j, p.task.Step, p.run)
	}
}
