package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/quarantiner"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// placement is a run that occupies resources on a worker, or may do so.
type placement struct {
	task            TaskID
	run             int64
	need            placer.Resources
	sentAt          time.Time // when its start was decided, or when this leader adopted it
	confirmedAt     time.Time // when the worker first reported the run, zero before
	orphanSince     time.Time // when the run of a job that has not been read was first reported; else zero
	stopAnsweredAt  time.Time // when a stop was answered, zero before; a list requested later names the run if it still exists
	held            bool      // its start is not sent yet
	outlived        bool      // it was seen running long enough to crash no worker
	crashed         bool      // its worker crashed when it was fresh: the task is suspected if the run is lost
	alone           bool      // there were no fresh runs of other jobs then
	outage          bool      // other workers crashed then for another cause
	level           quarantiner.Level
	stopping        bool
	awaitedUntil    time.Time  // until when an urgent unit counts on its end
	stopCause       wasteCause // why it is being stopped, if that does not follow from its job
	serving         bool
	filler          bool
	stopSentAt      time.Time // time of the last stop
	stopInFlight    bool
	stopsSent       int
	startOpen       bool  // its start has not been answered
	tryOpen         bool  // an earlier try of its start has not been answered
	startDeadlineMS int64 // by the worker's clock; a later start is refused
	measure         int   // as last reported
	pace            int   // percent confirmed by the worker, or unknownPace
	paceInFlight    bool  // a change of the pace is in flight
	percent         int
	rateTaken       bool      // the profiler has learnt from it
	progressedAt    time.Time // when the percentage last rose
	listedAt        time.Time // when the worker last reported the run
}

// placementKey identifies a run on a worker.
type placementKey struct {
	task TaskID
	run  int64
}

// worker is the leader's state of a worker.
type worker struct {
	WorkerInfo
	listed   bool
	departed bool // its instance has ended: no machine runs it any more, or another worker has its address

	fenced            bool // it has answered a hold of this epoch
	endsMissing       bool // its last answer may not have listed all its ends
	holdInFlight      bool
	lookDue           bool      // a held start waits for its answer
	holdSentAt        time.Time // time of the last hold
	answeredAt        time.Time // earliest time at which the last answer to a hold can have been sent
	heardAt           time.Time // when that answer was handled
	openStarts        int       // starts without an answer
	unansweredStartAt time.Time // when the answer to a start was last given up, else zero
	instanceSince     time.Time // when this leader learnt of the present instance, zero for the first one
	clockWentBack     bool      // since that answer, the clock in another one showed a restart
	answerClockMS     int64     // the worker's clock in that answer, 0 before the first
	crashNoted        bool      // the end of its last known instance was noted
	callFailedAt      time.Time // time of the last unanswered call, zero after an answer
	unresponsiveSince time.Time // time of the first unanswered call since the last answer, else zero
	refuses           bool      // a call since its last answer found no connection
	clockMS           int64     // of its monotonic clock
	clockAt           time.Time // when clockMS was received
	leaseDeadlineMS   int64     // latest deadline sent, by its clock
	unconfirmedSince  time.Time // when this instance was found while another VM may have led; else zero
	runs              map[placementKey]*placement
	orphanEnds        []orphanEnd // ends of runs of jobs that have not been read, by number
	orphanRuns        int         // number of runs of such jobs
	used              placer.Resources
	servingRuns       int       // number of serving runs
	fillerRuns        int       // number of fillers
	suspectRuns       int       // runs of suspected tasks that have not outlived the suspicion
	aloneRuns         int       // those of them to which no run may be added
	noFillersUntil    time.Time // no new fillers before
	pacing            pacing    // of its fillers
	evacuating        bool      // its machine goes down for upkeep or moves
	zoneEvacuated     bool      // its availability zone is evacuated
	staysUntil        time.Time // earliest time at which a draining worker leaves
	handledEnd        int64     // number of the last end handled
	storedEnd         int64     // number of the last end stored
	ackedEnd          int64     // number of the last end acknowledged
	storingEnd        int64     // number of the last end covered by the store in flight
	withheldEnd       int64     // number of the first end that must not be acknowledged, 0 for none

	// Failures on the worker.
	failedRuns    int       // of different jobs since the last success
	failedJobs    []string  // jobs of the failed runs
	excludedUntil time.Time // no new tasks before

	speed      workerSpeed
	accepted   bool // this instance has accepted the fencing token of this leader
	rejections int  // of that token, since it last accepted it

	vanishedStarts     int // in a row: accepted, but not listed then
	vanishedExclusions int // because of them, since it last listed a run

	stalledAt time.Time // when its runs were last seen to stall, zero after progress

	// Membership in the indexes of the scheduler.
	touched       bool
	holdCandidate bool
	holdQueuedAt  time.Time // time of its earliest entry among the later holds, else zero
	usableIn      string    // service among whose usable workers it is, empty for none
	endsPending   bool      // it has ends that no store covers
	stoppingRuns  int
	order         []*placement // runs, sorted
}

// minClock returns a lower bound of the worker's clock.
func (w *worker) minClock(now time.Time) int64 {
	return w.clockMS + now.Sub(w.clockAt).Milliseconds()*minClockRatePercent/100
}

// leasesExpired reports whether all leases on the worker expired at least slack ago.
func (w *worker) leasesExpired(now time.Time, slack time.Duration) bool {
	return w.minClock(now) > w.leaseDeadlineMS+slack.Milliseconds()
}

// restartedSince reports whether this leader has learnt of a restart since a call was decided.
// Its answer may come from the previous instance.
func (w *worker) restartedSince(decided time.Time) bool {
	return !decided.After(w.instanceSince) && !w.instanceSince.IsZero()
}

// noteAnswer records an answered call and the clock in the answer.
func (w *worker) noteAnswer(now time.Time, clockMS int64) {
	w.callFailedAt = time.Time{}
	w.unresponsiveSince = time.Time{}
	w.refuses = false
	if clockMS != 0 {
		w.clockMS = clockMS
		w.clockAt = now
	}
}

// noteAnswerTime records the earliest time at which an answer can have been sent. When it
// was read tells nothing, as this VM may have been paused before. It was sent after the
// request, and, as clocks of workers do not run fast, no sooner after the answer before
// than the worker's clock advanced.
func (w *worker) noteAnswerTime(e HoldResult) {
	at := e.Sent
	if sinceLast := e.ClockMS - w.answerClockMS; w.answerClockMS != 0 && sinceLast >= 0 {
		t := w.answeredAt.Add(time.Duration(sinceLast) * time.Millisecond)
		at = at.Add(max(0, leastElapsed(t, at))) // t would keep a wall clock that was set since
	}
	w.answeredAt, w.answerClockMS = at, e.ClockMS
}

// noteFailedCall records that a call got no answer.
func (w *worker) noteFailedCall(now time.Time) {
	w.callFailedAt = now
	if w.unresponsiveSince.IsZero() {
		w.unresponsiveSince = now
	}
}

func (w *worker) add(p *placement) {
	w.runs[placementKey{p.task, p.run}] = p
	i, _ := slices.BinarySearchFunc(w.order, p, comparePlacements)
	w.order = slices.Insert(w.order, i, p)
	w.used = w.used.Plus(p.need)
	w.adjustCounts(p, 1)
}

func (w *worker) adjustCounts(p *placement, n int) {
	if p.serving {
		w.servingRuns += n
	}
	if p.filler {
		w.fillerRuns += n
	}
	if p.stopping {
		w.stoppingRuns += n
	}
	if p.startOpen {
		w.openStarts += n
	}
	if p.level > quarantiner.Anywhere && !p.outlived {
		w.suspectRuns += n
		if p.level == quarantiner.Alone {
			w.aloneRuns += n
		}
	}
}

func (w *worker) remove(p *placement) {
	k := placementKey{p.task, p.run}
	if _, ok := w.runs[k]; ok {
		delete(w.runs, k)
		w.order = slices.DeleteFunc(w.order, func(o *placement) bool { return o == p })
		w.used = w.used.Minus(p.need)
		w.adjustCounts(p, -1)
		if !p.orphanSince.IsZero() {
			w.orphanRuns--
		}
	}
}

// sortedRuns returns a copy of the runs on the worker in a fixed order.
func (w *worker) sortedRuns() []*placement { return slices.Clone(w.order) }

func comparePlacements(a, b *placement) int {
	return cmp.Or(compareTask(a.task, b.task), cmp.Compare(a.run, b.run))
}

func compareTask(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// usable reports whether new tasks may be placed on the worker.
func (w *worker) usable(now time.Time) bool { return w.aloneRuns == 0 && w.available(now) }

// available reports whether tasks may be started on the worker.
func (w *worker) available(now time.Time) bool { return w.reachable() && !now.Before(w.excludedUntil) }

// reachable reports whether the worker would carry out a start, whatever it failed lately.
func (w *worker) reachable() bool {
	return w.listed && w.fenced && w.unconfirmedSince.IsZero() && w.orphanRuns == 0 &&
		!w.listsTooManyEnds() && !w.Draining && !w.evacuating && !w.zoneEvacuated && w.unresponsiveSince.IsZero()
}

// countFailure counts a failed run against the worker, once per job: a job may fail
// on all workers.
func (w *worker) countFailure(now time.Time, job string) {
	if slices.Contains(w.failedJobs, job) {
		return
	}
	w.failedJobs = append(w.failedJobs, job)
	w.failedRuns++
	if w.failedRuns >= exclusionFailures {
		w.excludedUntil = now.Add(exclusionTime)
		w.failedRuns = exclusionFailures - 1 // the next failure of yet another job excludes it again
	}
}

// clearFailures resets the failures of a worker after a success.
func (w *worker) clearFailures() {
	w.failedRuns = 0
	w.failedJobs = nil
}

// updateWorkers applies the platform's list of workers.
func (s *Scheduler) updateWorkers(now time.Time, all []WorkerInfo) {
	inList := make(map[string]bool, len(all))
	for _, l := range all {
		inList[l.ID] = true
		w, ok := s.workers[l.ID]
		if !ok {
			w = &worker{runs: map[placementKey]*placement{}, unconfirmedSince: s.unconfirmedSince(now)}
			s.workers[l.ID] = w
			s.workerIDs = append(s.workerIDs, l.ID)
		}
		if ok && l.StartedMS > w.StartedMS && w.StartedMS != 0 {
			s.workerRestarted(now, w, l.StartedMS)
		}
		if l.Draining && (l.MinRemaining > 0 || !w.Draining) {
			w.staysUntil = now.Add(max(l.MinRemaining, 0))
		}
		if l.Draining && !w.Draining {
			s.logDecision(Decision{Message: "worker is draining", Worker: l.ID})
		}
		born := max(w.StartedMS, l.StartedMS)
		w.WorkerInfo = l
		w.StartedMS = born
		w.listed = !l.Expired
		w.zoneEvacuated = s.evacuations.has(l.Zone)
		if l.ColdUntil.After(s.coldUntil) {
			s.coldUntil = l.ColdUntil
		}
		s.notePlace(w)
		s.touch(w)
	}
	slices.Sort(s.workerIDs)
	s.checkAddresses(now)
	for _, id := range s.workerIDs {
		if w := s.workers[id]; w.listed && !inList[id] {
			w.listed = false
			s.touch(w)
			s.logDecision(Decision{Message: "worker is no longer listed", Worker: id, Details: Details{detailRuns: len(w.runs)}})
		}
	}
	s.placementDue = true
}

// workerRestarted handles a restart of a worker. Runs started before the leader
// learnt of it may be in either instance, so they are kept until the new instance
// has listed its runs.
func (s *Scheduler) workerRestarted(now time.Time, w *worker, born int64) {
	s.logDecision(Decision{Message: "worker restarted", Worker: w.ID, Details: Details{"born": born, detailRuns: len(w.runs)}})
	s.noteCrash(now, w, evidenceRestarted)
	w.crashNoted = w.crashNoted && w.StartedMS == born
	w.StartedMS = born
	w.instanceSince = now
	w.fenced = false
	w.forgetRejections()
	w.unconfirmedSince = s.unconfirmedSince(now)
	w.orphanEnds = nil
	s.setStalled(w, time.Time{})
	if w.orphanRuns == 0 {
		delete(s.tracking.orphaned, w.ID)
	}
	s.touch(w)
	w.pacing = pacing{}
	w.departed = false
	w.handledEnd, w.storingEnd, w.storedEnd, w.ackedEnd, w.withheldEnd = 0, 0, 0, 0, 0
	w.clockMS, w.clockAt, w.answerClockMS = 0, now, 0
	w.leaseDeadlineMS = s.Settings.Lease.Milliseconds() // an earlier start may have begun a lease just now
	for _, p := range w.sortedRuns() {
		p.startDeadlineMS = 0 // it referred to the clock of the previous instance
		if !p.startOpen && !p.tryOpen {
			continue
		}
		p.confirmedAt, p.stopAnsweredAt = time.Time{}, time.Time{} // a try may reach the new instance
		if !p.startOpen {
			s.stopRun(now, w, p) // which then rejects it
		}
	}
	w.clearFailures()
	w.evacuating = false
}

// workerReplaced drops all runs of a worker whose address now belongs to another
// one.
func (s *Scheduler) workerReplaced(now time.Time, w *worker) {
	s.noteCrash(now, w, evidenceReplaced)
	for _, p := range w.sortedRuns() {
		s.giveUpRun(now, w, p, "another worker now has its address")
	}
	s.workerRestarted(now, w, w.StartedMS)
	w.departed = true
	w.noteFailedCall(now)
}

// giveUpRun loses a run of an instance that has ended. Outside the confirmed time, a later
// leader may have acknowledged its success before, so its job waits for a renewal.
func (s *Scheduler) giveUpRun(now time.Time, w *worker, p *placement, reason string) {
	if j, st, _ := s.findTask(p.task); st != nil && !st.LongRunning && !st.Speculative && j.unconfirmedSince.IsZero() {
		j.unconfirmedSince = s.unconfirmedSince(now)
	}
	s.loseRun(now, w, p, reason)
}

// loseRun removes a run that its worker no longer has and requeues its task. The
// other members of a gang are stopped.
func (s *Scheduler) loseRun(now time.Time, w *worker, p *placement, reason string) {
	s.countLostWaste(now, w, p)
	s.removeRun(w, p)
	s.placementDue = true
	j, st, t := s.findTask(p.task)
	if p.crashed {
		s.blame(now, p.task, p.run, w.ID, p.alone, p.outage)
	} else {
		s.closeStart(p.task, p.run)
	}
	if t == nil || !st.removeRun(p.task.Index, w.ID, p.run) {
		return
	}
	t.requeuedAt = now
	t.previous = &previousRun{run: p.run, worker: w.ID, proof: reason, at: now}
	s.logDecision(Decision{Message: "run is lost", Job: j.ID, Task: p.task, Run: p.run, Worker: w.ID, Details: Details{"reason": reason, detailAfterMS: now.Sub(p.sentAt).Milliseconds()}})
	if st.Gang {
		s.stopGang(now, j, p.task.Step, p.run)
	}
}
