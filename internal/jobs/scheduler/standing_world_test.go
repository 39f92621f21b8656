package scheduler_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// The platform's bounds for jobs that stand.
const (
	longestStand        = 3 * time.Second // with nothing running
	longestLastingStand = 6 * time.Second // of a long-running task since its last run
	calmBefore          = 4 * time.Second // before longestStand
	roomFactor          = 2               // times a task or gang must fit
)

var errStands = errors.New("stands although there is room")

// standingWatch checks from what the workers know, not from what the scheduler has booked,
// that no accepted job stands in calm while its service has ample room.
type standingWatch struct {
	jobs        []watchedJob // that may still run, by offset
	read        int          // number of jobs of the world that were added
	epoch       int64
	disturbedAt time.Time
	done        map[scheduler.TaskID]bool // by first task for a gang
	failedRuns  map[scheduler.TaskID]map[int64]bool
	over        map[string]bool // jobs that have used up their attempts
	lastSeen    map[scheduler.TaskID]time.Time
	since       map[scheduler.TaskID]time.Time // since when a job (of index -1) or a long-running task stands
	announced   map[int]time.Time              // waves

	calm        time.Duration // in which the check applied
	waits       int           // of jobs and long-running tasks that waited in calm although there was ample room
	longestWait time.Duration // of them
}

type watchedJob struct {
	id  string // of the occurrence for a scheduled job
	job scheduler.Job
	due time.Time
}

func newStandingWatch(w *world) *standingWatch {
	return &standingWatch{
		epoch: w.epoch, disturbedAt: w.now, done: map[scheduler.TaskID]bool{}, failedRuns: map[scheduler.TaskID]map[int64]bool{}, over: map[string]bool{},
		lastSeen: map[scheduler.TaskID]time.Time{}, since: map[scheduler.TaskID]time.Time{}, announced: map[int]time.Time{},
	}
}

// unitID returns the task, or the first one of its gang.
func (w *world) unitID(id scheduler.TaskID) scheduler.TaskID {
	if w.taskStep(id).Gang {
		id.Index = 0
	}
	return id
}

func (s *standingWatch) noteStart(w *world, id scheduler.TaskID) {
	if s != nil {
		delete(s.done, w.unitID(id)) // its earlier end is lost
	}
}

func (s *standingWatch) noteEnd(w *world, id scheduler.TaskID, run int64, reason scheduler.EndReason) {
	if s == nil {
		return
	}
	unit := w.unitID(id)
	switch {
	case reason == scheduler.EndReasonDone && !w.taskStep(id).LongRunning:
		s.done[unit] = true
	case reason == scheduler.EndReasonFailed:
		if s.failedRuns[unit] == nil {
			s.failedRuns[unit] = map[int64]bool{}
		}
		s.failedRuns[unit][run] = true
		if len(s.failedRuns[unit]) >= w.config.Queues[w.jobs[baseJob(id.Job)].Job.Queue].MaxAttempts {
			s.over[id.Job] = true
		}
	}
}

// disturbance returns which disruption was injected since the last step or is in effect,
// empty for none.
func (s *standingWatch) disturbance(w *world) string {
	changed := w.epoch != s.epoch
	s.epoch = w.epoch
	switch {
	case changed:
		return "the leader changed"
	case w.releasedEpoch == w.epoch:
		return "the leader has released the leadership"
	case w.now.Before(w.pausedUntil):
		return "the leader is paused"
	case w.unreadJob != "":
		return "a job is not read"
	case !w.storeUp:
		return "the store is down"
	case w.renewalsLost:
		return "renewals are lost"
	case len(w.unreachable) > 0, len(w.answersLost) > 0:
		return "a worker is cut off"
	case s.upkeepInProgress(w):
		return "machines have upkeep"
	}
	for _, v := range w.workers {
		if !v.alive || v.info.Draining {
			return "a worker has crashed or drains"
		}
	}
	return ""
}

// upkeepInProgress reports whether machines of a wave still have to go down or to return,
// within the time that the wave may take.
func (s *standingWatch) upkeepInProgress(w *world) bool {
	for _, v := range w.knownWaves {
		if _, ok := s.announced[v.Number]; !ok {
			s.announced[v.Number] = w.now
		}
		waits := slices.ContainsFunc(v.Machines, func(m string) bool { return !slices.Contains(w.upkeepDone, m) })
		if (waits || w.down > 0) && w.now.Sub(s.announced[v.Number]) < v.Duration {
			return true
		}
	}
	return false
}

// check returns an error if a job stands.
func (s *standingWatch) check(w *world) error {
	s.readJobs(w)
	running := map[string]bool{}
	for _, v := range w.workers {
		if !v.alive {
			continue
		}
		for id := range v.runs {
			running[id.Job] = true
			if w.taskStep(id).LongRunning {
				s.lastSeen[id] = w.now
			}
		}
	}
	if s.disturbance(w) != "" {
		s.disturbedAt = w.now
	}
	if w.now.Sub(s.disturbedAt) < calmBefore {
		clear(s.since)
		return nil
	}
	s.calm += worldStep
	r := newRoomView(w)
	var err error
	s.jobs = slices.DeleteFunc(s.jobs, func(j watchedJob) bool {
		if s.over[j.id] || w.cancelled[j.job.ID] || w.stored[j.id].State.Ended() {
			return true
		}
		if e := s.checkJob(w, r, j, running[j.id]); e != nil && err == nil {
			err = e
		}
		return false
	})
	return err
}

// readJobs adds the jobs that were submitted since the last step.
func (s *standingWatch) readJobs(w *world) {
	if len(w.jobs) == s.read {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(w.jobs), func(a, b string) int { return int(w.jobs[a].Offset - w.jobs[b].Offset) }) {
		j := w.jobs[id]
		if int(j.Offset) < s.read {
			continue
		}
		if j.Job.Times == 0 {
			s.jobs = append(s.jobs, watchedJob{id, j.Job, time.UnixMilli(j.Job.AcceptedMS)})
		}
		for k := range j.Job.Times {
			due := time.UnixMilli(j.Job.FirstMS + int64(k)*j.Job.IntervalMS)
			s.jobs = append(s.jobs, watchedJob{scheduler.OccurrenceID(id, k), j.Job, due})
		}
	}
	s.read = len(w.jobs)
}

// checkJob returns an error if a job or one of its long-running tasks stands.
func (s *standingWatch) checkJob(w *world, r *roomView, j watchedJob, running bool) error {
	now := w.now
	job := scheduler.TaskID{Job: j.id, Index: -1}
	if now.Before(j.due) {
		return nil
	}
	stands := false
	for i, st := range j.job.Steps {
		if !s.turnHasCome(j, st) {
			continue
		}
		if st.LongRunning {
			if err := s.checkLasting(w, r, j, i, st); err != nil {
				return err
			}
			continue
		}
		if !running && !stands && s.taskIsLeft(j.id, i, st) && r.ample(w, j, i, st) {
			stands = true
		}
	}
	if !stands {
		delete(s.since, job)
		return nil
	}
	if stood := s.noteStand(now, job); stood >= longestStand {
		return fmt.Errorf("at %v: job %s %w: nothing has run for %v", now.Sub(w.began), j.id, errStands, stood)
	}
	return nil
}

// checkLasting returns an error if a task of a long-running step stands.
func (s *standingWatch) checkLasting(w *world, r *roomView, j watchedJob, index int, st scheduler.Step) error {
	now := w.now
	for k := range st.Tasks {
		id := scheduler.TaskID{Job: j.id, Step: index, Index: k}
		last := s.lastSeen[id]
		if last.IsZero() {
			last = j.due
		}
		if last.Equal(now) || !r.ample(w, j, index, st) {
			delete(s.since, id)
			continue
		}
		if stood := s.noteStand(now, id); stood >= longestStand && now.Sub(last) >= longestLastingStand {
			return fmt.Errorf("at %v: long-running task %v %w: its last run was %v ago", now.Sub(w.began), id, errStands, now.Sub(last))
		}
	}
	return nil
}

// noteStand returns for how long a job or task has stood in calm while there was room.
func (s *standingWatch) noteStand(now time.Time, id scheduler.TaskID) time.Duration {
	if _, ok := s.since[id]; !ok {
		s.since[id] = now
		s.waits++
	}
	stood := now.Sub(s.since[id])
	s.longestWait = max(s.longestWait, stood)
	return stood
}

// turnHasCome reports whether all steps that a step depends on are done.
func (s *standingWatch) turnHasCome(j watchedJob, st scheduler.Step) bool {
	return !slices.ContainsFunc(st.After, func(i int) bool { return s.taskIsLeft(j.id, i, j.job.Steps[i]) })
}

func (s *standingWatch) taskIsLeft(job string, index int, st scheduler.Step) bool {
	if st.Gang {
		return !s.done[scheduler.TaskID{Job: job, Step: index}]
	}
	for k := range st.Tasks {
		if !s.done[scheduler.TaskID{Job: job, Step: index, Index: k}] {
			return true
		}
	}
	return false
}

// roomView answers for one step of time how much room there is.
type roomView struct {
	free []freeWorker // workers that may get tasks
}

type freeWorker struct {
	*fakeWorker
	id   string
	free placer.Resources
}

func newRoomView(w *world) *roomView {
	r := &roomView{}
	for id, v := range w.workers {
		if !v.alive || !v.inList {
			continue
		}
		n := w.used(v)
		if !v.info.Draining && n.Fits(v.info.Capacity) { // one that has shrunk below its runs refuses all starts
			r.free = append(r.free, freeWorker{v, id, v.info.Capacity.Minus(n)})
		}
	}
	return r
}

// ample reports whether a task of a step, or the whole gang, fits roomFactor times on the
// workers that may run it, however full the service is.
func (r *roomView) ample(w *world, j watchedJob, index int, st scheduler.Step) bool {
	queue := w.config.Queues[j.job.Queue]
	need, wanted := st.Need, roomFactor
	if st.Gang {
		wanted *= st.Tasks
	}
	if st.Filler {
		need.MilliCores = 0
	}
	room := 0
	for _, f := range r.free {
		info := &f.info
		if info.Service != queue.Service || (st.Label != "" && !slices.Contains(info.Labels, st.Label)) || (queue.Advice != nil && !w.allowed[f.id]) {
			continue
		}
		n := placer.TasksThatFit(need, f.free)
		if st.PerWorker > 0 {
			n = min(n, st.PerWorker-f.countTasks(j.id, index))
		}
		if room += min(max(0, n), wanted); room >= wanted {
			return true
		}
	}
	return false
}

// countTasks returns how many tasks of a step run on the worker.
func (v *fakeWorker) countTasks(job string, step int) int {
	n := 0
	for id := range v.runs {
		if id.Job == job && id.Step == step {
			n++
		}
	}
	return n
}

// addStandingCommands adds the commands of scripts in which no job may stand.
func (w *world) addStandingCommands(c scripter.Commands) {
	c["watch"] = func() { w.watch = newStandingWatch(w) }
	c["leave"] = func(id string) { // a drained worker
		delete(w.workers, id)
		w.sendList()
	}
}
