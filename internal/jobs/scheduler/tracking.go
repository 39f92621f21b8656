package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// tracking knows which workers and jobs need attention, so that the cost of an event does
// not depend on how many there are. Whatever changes a worker touches it; Reduce then
// updates the indexes of the touched workers only.
type tracking struct {
	touched        []*worker
	holdCandidates []*worker                  // touched ones that may be due for a hold
	holdTimes      holdTimes                  // workers that are due for a hold later
	watched        map[string]*worker         // workers on which something may become due by time alone
	unanswered     map[string]*worker         // workers that have not listed all their runs and ends in this epoch
	stalled        map[string]*worker         // workers with a stall that has not been forgotten
	orphaned       map[string]*worker         // workers with orphaned runs or ends
	usable         map[string][]placer.Worker // usable workers with their free resources, by service, sorted by ID
	busy           int                        // workers with runs
	scratch        map[string][]placer.Worker // copies for placement passes
	runs           map[string]map[*placement]*worker
	dirtyJobs      map[string]*job
	storingJobs    []*job    // those in the store in flight
	endsToStore    []*worker // workers with ends that are not covered by a store
	endsStoring    []*worker // workers with ends covered by the store in flight
	oldJobsAt      time.Time // time of the last search for jobs that ended long ago
}

func newTracking() tracking {
	return tracking{
		watched: map[string]*worker{}, unanswered: map[string]*worker{}, stalled: map[string]*worker{}, orphaned: map[string]*worker{},
		usable: map[string][]placer.Worker{}, scratch: map[string][]placer.Worker{},
		runs: map[string]map[*placement]*worker{}, dirtyJobs: map[string]*job{},
	}
}

// touch notes that the state of a worker has changed.
func (s *Scheduler) touch(w *worker) {
	if !w.touched {
		w.touched = true
		s.tracking.touched = append(s.tracking.touched, w)
	}
}

// settle updates the indexes of the touched workers.
func (s *Scheduler) settle(now time.Time) {
	k := &s.tracking
	for _, w := range k.touched {
		w.touched = false
		s.updateUsable(now, w)
		known := s.workers[w.ID] == w
		setMember(k.watched, w, known && w.needsWatch(now))
		setMember(k.unanswered, w, known && !w.hasListedAll())
		if !w.holdCandidate {
			w.holdCandidate = true
			k.holdCandidates = append(k.holdCandidates, w)
		}
	}
	k.touched = k.touched[:0]
}

func setMember(all map[string]*worker, w *worker, member bool) {
	if member {
		all[w.ID] = w
		return
	}
	delete(all, w.ID)
}

// needsWatch reports whether something may become due on the worker by time alone, other
// than a hold.
func (w *worker) needsWatch(now time.Time) bool {
	return !w.listed || w.Draining || w.evacuating || !w.unresponsiveSince.IsZero() || w.stoppingRuns > 0 ||
		w.orphanRuns > 0 || len(w.orphanEnds) > 0 || now.Before(w.excludedUntil)
}

// watchedWorkers returns the workers to be checked at a tick, sorted by ID.
func (s *Scheduler) watchedWorkers(now time.Time) []*worker {
	s.settle(now)
	return sortedWorkers(s.tracking.watched)
}

func sortedWorkers(all map[string]*worker) []*worker {
	out := slices.Collect(maps.Values(all))
	slices.SortFunc(out, compareWorkers)
	return out
}

func compareWorkers(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }

func compareID(v placer.Worker, id string) int { return cmp.Compare(v.ID, id) }

// updateUsable updates the entry of a worker in the index of usable workers.
func (s *Scheduler) updateUsable(now time.Time, w *worker) {
	k := &s.tracking
	usable := w.usable(now) && s.workers[w.ID] == w
	if w.usableIn != "" && (!usable || w.usableIn != w.Service) {
		v := k.usable[w.usableIn]
		if i, ok := slices.BinarySearchFunc(v, w.ID, compareID); ok {
			k.usable[w.usableIn] = slices.Delete(v, i, i+1)
		}
		w.usableIn = ""
	}
	if !usable {
		return
	}
	n := placer.Worker{ID: w.ID, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity, Free: w.free()}
	v := k.usable[w.Service]
	i, ok := slices.BinarySearchFunc(v, w.ID, compareID)
	if ok {
		v[i] = n
		return
	}
	k.usable[w.Service] = slices.Insert(v, i, n)
	w.usableIn = w.Service
}

// free returns the free resources of a worker. If its capacity has shrunk below what runs
// there, nothing is free: a task that needs none of the exceeded resource would start beyond
// the capacity too.
func (w *worker) free() placer.Resources {
	f := w.Capacity.Minus(w.used)
	if none := (placer.Resources{}); !none.Fits(f) {
		return componentMin(f, none)
	}
	return f
}

// usableWorkers returns copies of the usable workers of each service for a pass, valid
// until the next one.
func (s *Scheduler) usableWorkers(now time.Time) map[string][]placer.Worker {
	s.settle(now)
	k := &s.tracking
	for service, v := range k.usable {
		k.scratch[service] = append(k.scratch[service][:0], v...)
	}
	return k.scratch
}

// addRun adds a run to a worker.
func (s *Scheduler) addRun(w *worker, p *placement) {
	if len(w.runs) == 0 {
		s.tracking.busy++
	}
	w.add(p)
	s.touch(w)
	all, ok := s.tracking.runs[p.task.Job]
	if !ok {
		all = map[*placement]*worker{}
		s.tracking.runs[p.task.Job] = all
	}
	all[p] = w
}

// removeRun removes a run from its worker.
func (s *Scheduler) removeRun(w *worker, p *placement) {
	before := len(w.runs)
	w.remove(p)
	if before > 0 && len(w.runs) == 0 {
		s.tracking.busy--
	}
	s.touch(w)
	all := s.tracking.runs[p.task.Job]
	delete(all, p)
	if len(all) == 0 {
		delete(s.tracking.runs, p.task.Job)
	}
}

// workerRun is a run with its worker.
type workerRun struct {
	worker *worker
	run    *placement
}

// runsOf returns the runs of a job in the order of their workers.
func (s *Scheduler) runsOf(job string) []workerRun {
	all := make([]workerRun, 0, len(s.tracking.runs[job]))
	for p, w := range s.tracking.runs[job] {
		all = append(all, workerRun{w, p})
	}
	slices.SortFunc(all, func(a, b workerRun) int {
		return cmp.Or(compareWorkers(a.worker, b.worker), comparePlacements(a.run, b.run))
	})
	return all
}

// markDirty notes that the progress of a job has to be stored.
func (s *Scheduler) markDirty(j *job) {
	j.dirty = true
	s.tracking.dirtyJobs[j.ID] = j
}

// noteEnds notes that more ends of a worker may have to be covered by a store.
func (s *Scheduler) noteEnds(w *worker) {
	if !w.endsPending {
		w.endsPending = true
		s.tracking.endsToStore = append(s.tracking.endsToStore, w)
	}
}

// holdTime is a time at which a worker may be due for a hold.
type holdTime struct {
	at     time.Time
	worker *worker
}

// holdTimes is a heap of holds that are due later, the earliest first.
type holdTimes []holdTime

func (h holdTimes) Len() int           { return len(h) }
func (h holdTimes) Less(i, k int) bool { return h[i].at.Before(h[k].at) }
func (h holdTimes) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *holdTimes) Push(v any) {
	e, _ := v.(holdTime) // only holdTime values are pushed
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *holdTimes) Pop() any {
	e := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = holdTime{}
	*h = (*h)[:len(*h)-1]
	return e
}

// dueHolds returns the workers that are due for a hold, sorted by ID, and notes when the
// other candidates will be.
func (s *Scheduler) dueHolds(now time.Time) []*worker {
	s.settle(now)
	k := &s.tracking
	for len(k.holdTimes) > 0 && !k.holdTimes[0].at.After(now) {
		e, _ := heap.Pop(&k.holdTimes).(holdTime)
		e.worker.holdQueuedAt = time.Time{}
		if !e.worker.holdCandidate {
			e.worker.holdCandidate = true
			k.holdCandidates = append(k.holdCandidates, e.worker)
		}
	}
	var due []*worker
	for _, w := range k.holdCandidates {
		w.holdCandidate = false
		if s.workers[w.ID] != w || w.holdInFlight {
			continue
		}
		at, ok := w.nextHold(s.recovering)
		switch {
		case !ok:
		case !at.After(now):
			due = append(due, w)
		case w.holdQueuedAt.IsZero() || at.Before(w.holdQueuedAt):
			w.holdQueuedAt = at
			heap.Push(&k.holdTimes, holdTime{at, w})
		}
	}
	k.holdCandidates = k.holdCandidates[:0]
	slices.SortFunc(due, compareWorkers)
	return due
}
