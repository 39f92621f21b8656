package scheduler

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/quarantiner"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// maxHold is how long the start of a long-running task that has crashed one worker at most
// waits for the store: such tasks must run through its outages too.
const maxHold = 500 * time.Millisecond

// heldStart is a start that is sent once the record of it is stored, so that no leader can
// miss a crash that it causes, or once its worker has answered (needsLook).
type heldStart struct {
	start     Start
	run       *placement
	startedMS int64     // of the worker's instance
	unstored  bool      // the record must be stored first
	storing   bool      // the store in flight covers the record
	sendAt    time.Time // when it is sent without being stored, zero for never
}

// placeSuspects starts the suspected tasks of a step that is no gang, each on the worker
// with the fewest other runs that suits its level. It returns the tasks that may be placed
// like all others: those not suspected, and those that have waited for long enough.
func (p *pass) placeSuspects(u unit, waiting []int) []int {
	if !u.step.suspected(waiting) {
		return waiting
	}
	rest := make([]int, 0, len(waiting))
	for _, i := range waiting {
		t := &u.step.tasks[i]
		level := t.suspicion.Level()
		if level == quarantiner.Anywhere {
			rest = append(rest, i)
			continue
		}
		id, ok := p.leastShared(u, level)
		switch {
		case ok:
			p.s.lastRun++
			p.placeTask(u, i, id, p.s.lastRun)
		case t.outOfPatience(p.now, level):
			rest = append(rest, i)
		}
	}
	return rest
}

// outOfPatience reports whether a suspected task that finds no worker for its level has
// waited for long enough, and notes when it began to wait.
func (t *task) outOfPatience(now time.Time, level quarantiner.Level) bool {
	if t.apartSince.IsZero() {
		t.apartSince = now
	}
	return now.Sub(t.apartSince) >= level.Patience()
}

// suspected reports whether any of the tasks is suspected of crashing workers.
func (s *step) suspected(tasks []int) bool {
	return slices.ContainsFunc(tasks, func(i int) bool { return s.tasks[i].suspicion.Suspected() })
}

// suits reports whether a worker suits a task of a job at a level. Suspects of one job may
// share a worker: if it crashes, the job is at fault whichever of them did it.
func (w *worker) suits(job string, level quarantiner.Level) bool {
	if level == quarantiner.Alone {
		return w.hasOnly(job)
	}
	return w.suspectRuns == 0 || !slices.ContainsFunc(w.order, func(p *placement) bool {
		return p.level > quarantiner.Anywhere && !p.outlived && p.task.Job != job
	})
}

// leastShared returns the worker with the fewest runs of other jobs that suits a level and
// has the resources for one task.
func (p *pass) leastShared(u unit, level quarantiner.Level) (string, bool) {
	best, fewest := "", 0
	for _, v := range p.eligibleWorkers(u) {
		w := p.s.workers[v.ID]
		if placer.TasksThatFit(u.step.Need, v.Free) == 0 || !w.suits(u.job.ID, level) {
			continue
		}
		if n := w.runsOfOthers(u.job.ID); best == "" || n < fewest {
			best, fewest = v.ID, n
		}
	}
	return best, best != ""
}

func (w *worker) runsOfOthers(job string) int {
	n := 0
	for _, p := range w.order {
		if p.task.Job != job {
			n++
		}
	}
	return n
}

// findQuarantined searches a placement for a gang with suspected members. Those to be alone
// get workers that suit them, and which no other member uses if there are enough.
func (p *pass) findQuarantined(u unit, waiting []int, r placer.Request) (placer.Placement, bool) {
	var alone, others []int // positions in waiting
	for k, i := range waiting {
		if u.step.tasks[i].suspicion.Level() == quarantiner.Alone {
			alone = append(alone, k)
		} else {
			others = append(others, k)
		}
	}
	apart := p.suitable(u, quarantiner.Apart)
	if len(alone) == 0 {
		return placer.Place(r, apart)
	}
	empty := p.suitable(u, quarantiner.Alone)
	racks := []string{""}
	if r.Adjacency == placer.AdjacencyRack {
		racks = racksOf(empty)
	}
	for _, rack := range racks {
		first, rest := empty, apart
		if rack != "" {
			first, rest = inRack(empty, rack), inRack(apart, rack)
		}
		if at, ok := placeInParts(r, first, rest, alone, others); ok {
			return at, true
		}
	}
	return placer.Place(r, empty)
}

// placeInParts places the tasks at the positions alone on some workers, and the others on
// workers that these do not use.
func placeInParts(r placer.Request, first, rest []placer.Worker, alone, others []int) (placer.Placement, bool) {
	at := make(placer.Placement, len(alone)+len(others))
	r.Adjacency = placer.AdjacencyNone
	r.Tasks = len(alone)
	a, ok := placer.Place(r, first)
	if !ok {
		return nil, false
	}
	for k, i := range alone {
		at[i] = a[k]
	}
	if len(others) == 0 {
		return at, true
	}
	rest = slices.DeleteFunc(slices.Clone(rest), func(v placer.Worker) bool { return slices.Contains(a, v.ID) })
	r.Tasks = len(others)
	b, ok := placer.Place(r, rest)
	if !ok {
		return nil, false
	}
	for k, i := range others {
		at[i] = b[k]
	}
	return at, true
}

// suitable returns the eligible workers that suit a level.
func (p *pass) suitable(u unit, level quarantiner.Level) []placer.Worker {
	var out []placer.Worker
	for _, v := range p.eligibleWorkers(u) {
		if p.s.workers[v.ID].suits(u.job.ID, level) {
			out = append(out, v)
		}
	}
	return out
}

// racksOf returns the racks of workers, each once.
func racksOf(all []placer.Worker) []string {
	var out []string
	for _, v := range all {
		if !slices.Contains(out, v.Rack) {
			out = append(out, v.Rack)
		}
	}
	return out
}

// placeSuspectGang starts a gang with suspected members where they suit, and reports whether
// the gang is started or waits for such workers.
func (p *pass) placeSuspectGang(u unit, waiting []int, r placer.Request) bool {
	if !u.step.suspected(waiting) {
		return false
	}
	at, ok := p.findQuarantined(u, waiting, r)
	if !ok && r.Adjacency == placer.AdjacencyRack && p.mayCrossRacks(u, r) {
		r.Adjacency = placer.AdjacencyNone
		at, ok = p.findQuarantined(u, waiting, r)
	}
	if ok {
		p.startGang(u, waiting, at)
		return true
	}
	return !u.step.tasks[0].outOfPatience(p.now, u.step.highestLevel())
}

// highestLevel returns the most restrictive level of the tasks.
func (s *step) highestLevel() quarantiner.Level {
	level := quarantiner.Anywhere
	for i := range s.tasks {
		level = max(level, s.tasks[i].suspicion.Level())
	}
	return level
}

// mustHold reports whether the starts of a task are held until they are stored: it is
// suspected, or a member of its gang is, which must not wait for it alone.
func (s *step) mustHold(index int) bool {
	if s.Gang {
		return slices.ContainsFunc(s.tasks, func(t task) bool { return t.suspicion.Suspected() })
	}
	return s.tasks[index].suspicion.Suspected()
}

// mayStartUnstored reports whether the held start of a task may be sent without being stored.
func (s *step) mayStartUnstored() bool {
	return s.LongRunning && s.highestLevel() <= quarantiner.Apart
}

// hold keeps a start until its worker has answered and, if it is unstored, the record of it
// is stored.
func (s *Scheduler) hold(now time.Time, f Start, w *worker, p *placement, unstored bool) {
	p.startDeadlineMS = 0 // set when it is sent
	h := &heldStart{start: f, run: p, startedMS: w.StartedMS, unstored: unstored}
	s.held = append(s.held, h)
	if !unstored {
		w.lookDue = s.needsLook(now, w)
		return
	}
	j, st, t := s.findTask(p.task)
	if st.mayStartUnstored() {
		h.sendAt = now.Add(maxHold)
	}
	if t.suspicion.Suspected() {
		s.recordOpenStart(w, p)
	} else {
		s.markDirty(j)
		s.storeSoon = true
	}
}

// noteStoring marks the held starts whose records the next store covers.
func (s *Scheduler) noteStoring() {
	for _, h := range s.held {
		h.storing = true
	}
}

// sendHeldStarts sends the starts whose records are stored, if the store in flight has just
// been completed, and those that wait for it no longer.
func (s *Scheduler) sendHeldStarts(now time.Time, stored bool) {
	held := s.held
	s.held = nil
	lookDue := s.gangsToLookAt(now, held)
	for _, h := range held {
		w, ok := s.workers[h.start.Worker]
		if !ok || w.runs[placementKey{h.start.Task, h.start.Run}] != h.run {
			continue
		}
		if h.storing && stored {
			h.unstored = false
		}
		switch {
		case h.unstored && (h.sendAt.IsZero() || now.Before(h.sendAt)):
			s.held = append(s.held, h)
		case h.run.stopping || !s.mayStart(now) || !w.reachable() || !w.used.Fits(w.Capacity) || w.StartedMS != h.startedMS:
			s.loseRun(now, w, h.run, "its start was not sent")
		case s.needsLook(now, w) || lookDue[gangRun{h.start.Task.Job, h.start.Task.Step, h.start.Run}]:
			if s.needsLook(now, w) {
				w.lookDue = true
				s.touch(w)
			}
			s.held = append(s.held, h)
		default:
			s.sendHeldStart(now, w, h)
		}
	}
}

// gangRun identifies a run of a gang.
type gangRun struct {
	job  string
	step int
	run  int64
}

// gangsToLookAt returns the runs of gangs of which a worker has to answer before any member
// starts: a member that started alone would wait for the others.
func (s *Scheduler) gangsToLookAt(now time.Time, held []*heldStart) map[gangRun]bool {
	due := map[gangRun]bool{}
	for _, h := range held {
		_, st, _ := s.findTask(h.start.Task)
		w, ok := s.workers[h.start.Worker]
		if ok && st != nil && st.Gang && s.needsLook(now, w) {
			due[gangRun{h.start.Task.Job, h.start.Task.Step, h.start.Run}] = true
		}
	}
	return due
}

func (s *Scheduler) sendHeldStart(now time.Time, w *worker, h *heldStart) {
	p := h.run
	w.adjustCounts(p, -1)
	p.held, p.startOpen = false, true
	w.adjustCounts(p, 1)
	s.touch(w)
	p.sentAt, p.progressedAt = now, now
	p.startDeadlineMS = w.minClock(now) + s.Settings.startWindow().Milliseconds()
	s.noteGrant(now, w, p.startDeadlineMS)
	h.start.DeadlineMS, h.start.Address = p.startDeadlineMS, w.Address
	h.start.DecidedAt, h.start.MaxDelay = now, s.maxStartDelay(now, w)
	s.emit(h.start)
	s.logDecision(Decision{Message: "held start is sent", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID, Details: Details{"quarantine": p.level.String(), "other-runs": len(w.order) - 1}})
}
