package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/profiler"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/quarantiner"
)

// Scheduler is the control state of the leading VM. Its exported fields are set
// before the first call of Reduce.
type Scheduler struct {
	Settings     Settings
	Epoch        int64 // of the leadership, higher than all before
	LeadingSince time.Time
	JobsUnread   bool // stored jobs of earlier leaders may follow until JobsRead

	// ConfirmedAt is the send time of the last claim or renewal of the leadership that the
	// store accepted; the zero value stands for LeadingSince.
	ConfirmedAt time.Time

	InheritedSpeeds profiler.Record // of workers, as an earlier leader stored them

	config    Config
	workers   map[string]*worker
	workerIDs []string // sorted
	jobs      map[string]*job
	active    []*job // jobs that have not ended, in the order of their events

	jobsReadAt      time.Time // when JobsRead came, else zero
	released        bool      // another VM may lead already
	releasedAt      time.Time // when released was set
	grantedUntil    time.Time // latest end of a lease that this leader has granted, by its own clock
	recovery        recoveryEnd
	ticked          bool  // the present call handles a tick
	tickedSincePass bool  // a tick was handled after the last placement pass
	recovering      bool  // workers that have not answered yet may have runs of earlier leaders
	lastRun         int64 // number of the last run
	placementDue    bool
	nextPassAt      time.Time // earliest time of the next placement pass
	waitsReportedAt time.Time

	rooms  map[roomKey]room     // for steps, in this pass
	listed map[string][]*worker // workers by service, in this pass, nil before they are needed

	storeInFlight   bool
	storedAt        time.Time
	storeSoon       bool // a worker or caller waits for the next store
	evacuations     evacuations
	foreign         foreignWorkers
	reclaimedAt     time.Time // of the last search for urgent runs to stop for a guarantee
	resigned        bool      // Resign was emitted
	coldUntil       time.Time // from when on no worker is cold
	waves           map[int]*wave
	machines        map[string]Machine // as listed last, nil before the first list
	machinesAskedAt time.Time          // time of the last request for the list

	machinesListedAt time.Time // time of the last list
	machinesInFlight bool      // a request for the list is in flight
	relocation       relocation
	held             []*heldStart
	openStarts       map[string][]openStart // by worker
	outage           quarantiner.Outage
	meanWork         map[string]float64  // core-seconds of a job, by queue
	usageKinds       map[bool]*kindUsage // of urgent jobs and of the others
	usedAt           time.Time           // when it was last updated
	adviceInFlight   bool
	adviceDue        *adviceRequest // found by the present pass
	nextAdviceAt     time.Time      // earliest time of the next call for advice
	tracking         tracking
	speeds           speeds
	effects          []Effect
}

// Reduce handles events and returns the resulting effects. All control decisions are
// made here. Events of one call share a placement pass, so that under load passes
// become fewer without delaying placements.
func (s *Scheduler) Reduce(now time.Time, events ...Event) []Effect {
	if s.workers == nil {
		s.workers = map[string]*worker{}
		s.jobs = map[string]*job{}
		s.tracking = newTracking()
		s.openStarts = map[string][]openStart{}
		s.recovering = true
		if s.ConfirmedAt.IsZero() {
			s.ConfirmedAt = s.LeadingSince
		}
		s.lastRun = s.Epoch * runsPerEpoch
		s.speeds.profiler.Restore(s.InheritedSpeeds)
		s.speeds.stored = s.InheritedSpeeds
	}
	s.effects = nil
	s.ticked = false
	for _, e := range events {
		s.handle(now, e)
	}
	s.checkRecovery(now)
	if s.placementDue && !now.Before(s.nextPassAt) {
		s.placementDue = false
		s.place(now)
		s.sendAdviceRequest(now)
	}
	s.sendHolds(now)
	s.storeProgress(now)
	return s.effects
}

// NextPass returns when a postponed placement pass is due, the zero value for none. Reduce
// should be called then, without events if there are none.
func (s *Scheduler) NextPass() time.Time {
	if !s.placementDue {
		return time.Time{}
	}
	return s.nextPassAt
}

func (s *Scheduler) handle(now time.Time, e Event) {
	switch e := e.(type) {
	case Ticked:
		s.ticked, s.tickedSincePass, s.placementDue = true, true, true
		s.runTimers(now)
	case Submitted:
		s.submit(now, e)
	case JobsRead:
		s.JobsUnread, s.jobsReadAt = false, now
	case Cancelled:
		s.cancel(now, e.Job)
	case WorkersListed:
		s.updateWorkers(now, s.ownWorkers(now, e.Workers))
	case ConfigChanged:
		s.nameServices(now, e.Config)
		s.configure(e.Config)
	case HoldResult:
		s.handleHoldResult(now, e)
	case StartResult:
		s.handleStartResult(now, e)
	case StopResult:
		s.handleStopResult(now, e)
	case PaceResult:
		s.handlePaceResult(now, e)
	case AdviceResult:
		s.handleAdviceResult(now, e)
	case MachinesListed:
		s.handleMachinesListed(now, e)
	case UpkeepResult:
		s.handleUpkeepResult(now, e)
	case MoveResult:
		s.handleMoveResult(now, e)
	case Stored:
		s.handleStored(now)
	case Released:
		s.release(now, e)
	case Confirmed:
		s.confirmLeadership(e)
	default:
		s.handleStoredState(now, e)
	}
}

// handleStoredState handles what the operator or an earlier leader has stored about machines
// and zones.
func (s *Scheduler) handleStoredState(now time.Time, e Event) {
	switch e := e.(type) {
	case EvacuationsChanged:
		s.changeEvacuations(now, e)
	case WavesChanged:
		s.addWaves(now, e.Waves)
	case LoansRestored:
		s.relocation.loans = maps.Clone(e.Loans)
	}
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Scheduler) logDecision(d Decision) { s.emit(d) }

// findTask returns a task with its job and step, or nil values if it is unknown.
func (s *Scheduler) findTask(id TaskID) (*job, *step, *task) {
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

func (s *Scheduler) configure(t Config) {
	s.config = t
	for _, j := range s.active {
		if q, ok := t.Queues[j.Queue]; ok {
			j.queue = q
		}
	}
	s.placementDue = true
}

func (s *Scheduler) submit(now time.Time, e Submitted) {
	if _, ok := s.jobs[e.Job.ID]; ok {
		return
	}
	s.nameService(now, e.Job.QueueConfig.Service)
	j := newJob(e.Job, e.Inherited)
	j.unconfirmedSince = s.unconfirmedSince(now)
	if q, ok := s.config.Queues[j.Queue]; ok {
		j.queue = q
	}
	j.restore(e.Progress)
	s.jobs[j.ID] = j
	s.updateMeanWork(j)
	switch {
	case j.Times > 0:
		s.addOccurrences(j, e)
	case !j.state.Ended():
		s.active = append(s.active, j)
	}
	s.inheritOpenStarts(j)
	for _, c := range j.occurrences {
		s.inheritOpenStarts(c)
	}
	s.adoptOrphans(now, j.ID)
	s.abandonLate(j)
	if e.Cancelled {
		s.cancel(now, j.ID)
	}
	s.placementDue = true
}

// cancel ends a job at its caller's request and stops its runs.
func (s *Scheduler) cancel(now time.Time, id string) {
	j, ok := s.jobs[id]
	if !ok || j.state.Ended() {
		return
	}
	s.endJob(now, j, StateCancelled, "cancelled by its caller")
}

// endJob ends a job and stops all its runs.
func (s *Scheduler) endJob(now time.Time, j *job, state State, reason string) {
	j.state = state
	j.endedAt = now
	s.markDirty(j)
	s.storeSoon = true
	s.active = slices.DeleteFunc(s.active, func(o *job) bool { return o == j })
	s.logDecision(Decision{Message: "job ended", Job: j.ID, Details: Details{"state": state, "reason": reason, detailAfterMS: now.Sub(j.acceptedAt).Milliseconds()}})
	for _, r := range s.runsOf(j.ID) {
		s.stopRun(now, r.worker, r.run)
	}
	for _, st := range j.steps {
		st.reserved = nil
	}
	for _, c := range j.occurrences {
		if !c.state.Ended() {
			s.endJob(now, c, state, reason)
		}
	}
	if j.parent != nil {
		s.handleOccurrenceEnd(now, j.parent)
	}
}

// runTimers performs the actions that depend on time alone.
func (s *Scheduler) runTimers(now time.Time) {
	watched := s.watchedWorkers(now)
	unheard := s.givesUpAfter(s.Settings.Lease) - s.Settings.Lease
	gone := false
	for _, w := range watched {
		s.touch(w)
		s.expireLeases(now, w, unheard)
		s.retryStops(now, w)
		s.dropOrphans(now, w)
		if w.listed || w.holdInFlight || len(w.runs) > 0 || s.recovering {
			continue
		}
		gone = true
		delete(s.workers, w.ID)
		delete(s.tracking.stalled, w.ID)
		delete(s.tracking.orphaned, w.ID)
	}
	if gone {
		s.workerIDs = slices.DeleteFunc(s.workerIDs, func(id string) bool { return s.workers[id] == nil })
	}
	if len(s.held) > 0 {
		s.sendHeldStarts(now, false)
	}
	s.reportEvacuations(now)
	s.vacateWorkers(now, watched)
	s.advanceWaves(now)
	s.relocateMachines(now)
	s.reportSpeeds(now)
	s.deleteOldJobs(now)
}

// expireLeases gives up the runs on a worker that has been silent until all its leases
// have expired, and for the given time after that if it is listed.
func (s *Scheduler) expireLeases(now time.Time, w *worker, unheard time.Duration) {
	slack := s.Settings.leaseEndSlack()
	if w.listed {
		slack += unheard
	}
	if len(w.runs) == 0 || w.unresponsiveSince.IsZero() || !w.leasesExpired(now, slack) {
		return
	}
	s.logDecision(Decision{Message: "leases on an unresponsive worker have expired", Worker: w.ID, Details: Details{"silent-ms": now.Sub(w.unresponsiveSince).Milliseconds()}})
	s.keepOpenStarts(w)
	for _, p := range w.sortedRuns() {
		s.abandonRun(w, p)
		s.giveUpRun(now, w, p, "its lease expired on an unresponsive worker")
	}
	w.fenced = false
}

// retryStops sends the stops again that got no answer.
func (s *Scheduler) retryStops(now time.Time, w *worker) {
	if w.stoppingRuns == 0 {
		return
	}
	for _, p := range w.sortedRuns() {
		if p.stopping && !p.stopInFlight && p.stopAnsweredAt.IsZero() && now.Sub(p.stopSentAt) >= p.stopRetryPause() {
			s.sendStop(now, w, p)
		}
	}
}

// deleteOldJobs deletes jobs that ended long ago, with their occurrences: one that has ended
// would run again if its job went on without its progress. Of those that ended less long ago it
// forgets the steps.
func (s *Scheduler) deleteOldJobs(now time.Time) {
	if s.storeInFlight || now.Sub(s.tracking.oldJobsAt) < oldJobsInterval { // the end of a job must be stored
		return
	}
	s.tracking.oldJobsAt = now
	var old []string
	for id, j := range s.jobs {
		if !j.state.Ended() || j.dirty {
			continue
		}
		if now.Sub(j.endedAt) > endedTaskRetention {
			j.Job, j.steps = j.WithoutSteps(), nil
		}
		if j.parent != nil || now.Sub(j.endedAt) <= endedJobRetention {
			continue
		}
		old = append(old, id)
		for _, c := range j.occurrences {
			old = append(old, c.ID)
		}
	}
	if len(old) == 0 {
		return
	}
	slices.Sort(old)
	for _, id := range old {
		delete(s.jobs, id)
		delete(s.tracking.dirtyJobs, id)
	}
	s.emit(DeleteJobs{Jobs: old})
}

// storeProgress stores the progress of changed jobs, one batch at a time.
func (s *Scheduler) storeProgress(now time.Time) {
	pause := storeInterval
	if s.storeSoon {
		pause = urgentStoreInterval
	}
	if s.storeInFlight || now.Sub(s.storedAt) < pause {
		return
	}
	s.storeSoon = false
	k := &s.tracking
	for _, w := range k.endsToStore {
		w.endsPending = false
		w.storingEnd = w.lastAckable()
	}
	k.endsStoring, k.endsToStore = k.endsToStore, k.endsStoring[:0]
	if len(k.dirtyJobs) == 0 {
		s.markEndsStored()
		return
	}
	s.noteStoring()
	p := make(map[string]Progress, len(k.dirtyJobs))
	k.storingJobs = k.storingJobs[:0]
	for id, j := range k.dirtyJobs {
		p[id] = j.progress()
		j.dirty = false
		k.storingJobs = append(k.storingJobs, j)
	}
	clear(k.dirtyJobs)
	s.storeInFlight = true
	s.storedAt = now
	s.emit(Store{Progress: p})
}

// handleStored records that the batch in flight is stored.
func (s *Scheduler) handleStored(now time.Time) {
	s.storeInFlight = false
	s.storedAt = now
	s.markEndsStored()
	for _, j := range s.tracking.storingJobs {
		if j.awaitingStore && !j.dirty {
			j.awaitingStore = false
			s.placementDue = true
		}
	}
	s.tracking.storingJobs = s.tracking.storingJobs[:0]
	s.sendHeldStarts(now, true)
}

// markEndsStored records that all ends covered by the last batch are stored.
func (s *Scheduler) markEndsStored() {
	for _, w := range s.tracking.endsStoring {
		w.storedEnd = max(w.storedEnd, w.storingEnd)
		s.touch(w)
	}
	s.tracking.endsStoring = s.tracking.endsStoring[:0]
}
