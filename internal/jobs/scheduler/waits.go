package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/quarantiner"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	minReportedWait  = time.Second            // for which a task is ready before its wait is logged
	waitsInterval    = 500 * time.Millisecond // between two reports of waits
	waitLogInterval  = 10 * time.Second       // between two lines about the same wait
	maxWaitsReported = 20                     // per report; the others follow in later ones
)

// condition is what keeps a ready task from being started.
type condition string

// The conditions.
const (
	conditionRecovery    condition = "recovery"         // workers that an earlier leader may have used have not answered yet
	conditionUnconfirmed condition = "unconfirmed"      // another VM may lead, or may have led when the job was read, and no renewal has succeeded since
	conditionStore       condition = "store"            // a mark on its tasks is not stored yet
	conditionGangStops   condition = "gang-stops"       // members of its gang are being stopped
	conditionQuarantine  condition = "quarantine"       // it is suspected of crashing workers, and none suits its level
	conditionTooLarge    condition = "too-large"        // it would not fit if nothing ran
	conditionResources   condition = "resources"        // it does not fit
	conditionEvacuated   condition = "evacuated-zone"   // it would fit if no zone were evacuated
	conditionUnusable    condition = "unusable-workers" // it would fit if listed workers were usable
	conditionAdvice      condition = "advice"           // too few workers have a ticket
	conditionColocation  condition = "colocation"       // fillers and serving tasks do not share a worker
	conditionAvoided     condition = "avoided-workers"  // it would fit on workers on which it failed, or that are stalled
	conditionPostponed   condition = "postponed-search" // an urgent unit has to search for runs to stop first
	conditionReservation condition = "reservation"      // resources are reserved for other units
	conditionRack        condition = "rack"             // it fits on several racks only
	conditionNone        condition = "none"             // nothing: it starts in the next pass
)

// wait is the state of a step whose tasks are ready and need a worker.
type wait struct {
	since          time.Time // when it was first seen, zero while no task waits
	condition      condition // as last logged
	conditionSince time.Time
	loggedAt       time.Time
}

// room is the number of tasks of a step for which workers have room, limited to maxRoom.
// Tickets, racks, reservations and avoided workers are left aside.
type room struct {
	usable   int // on usable workers
	excluded int // on workers that are excluded for failures
	unusable int // on listed workers that are not usable, with those
	empty    int // on listed workers if nothing ran there

	evacuated      int // on workers that are not usable only because their zone is evacuated
	evacuatedEmpty int // on listed workers in evacuated zones if nothing ran there
}

// remaining returns the room on the listed workers outside evacuated zones if nothing ran there.
func (n room) remaining() int { return n.empty - n.evacuatedEmpty }

const maxRoom = 1 << 20 // tasks; a task that needs no resources fits without limit

// roomKey is what the room for a step depends on.
type roomKey struct {
	service, label string
	need           placer.Resources
	perWorker      int
}

// roomFor returns the room for the tasks of a unit as of the first time that it is asked for
// in a pass.
func (s *Scheduler) roomFor(now time.Time, u unit) room {
	k := roomKey{u.job.queue.Service, u.step.Label, u.step.Need, u.step.PerWorker}
	if n, ok := s.rooms[k]; ok {
		return n
	}
	var n room
	for _, w := range s.listedWorkers(k.service) {
		if !w.hasLabel(k.label) {
			continue
		}
		n.empty += u.step.tasksOn(w.Capacity)
		free := u.step.tasksOn(w.free())
		if w.usable(now) {
			n.usable += free
			continue
		}
		n.unusable += free
		if w.zoneEvacuated {
			n.evacuatedEmpty += u.step.tasksOn(w.Capacity)
			if w.unusableReason(now) == reasonZoneEvacuated {
				n.evacuated += free
			}
		}
		if w.aloneRuns == 0 && w.reachable() {
			n.excluded += free
		}
	}
	s.rooms[k] = n
	return n
}

// forgetRooms begins a pass.
func (s *Scheduler) forgetRooms() {
	s.rooms, s.listed = map[roomKey]room{}, nil
}

// listedWorkers returns the listed workers of a service, sorted by ID.
func (s *Scheduler) listedWorkers(service string) []*worker {
	if s.listed == nil {
		s.listed = map[string][]*worker{}
		for _, id := range s.workerIDs {
			if w := s.workers[id]; w.listed {
				s.listed[w.Service] = append(s.listed[w.Service], w)
			}
		}
	}
	return s.listed[service]
}

// tasksOn returns how many tasks of the step one worker may have in free resources.
func (s *step) tasksOn(free placer.Resources) int {
	n := min(placer.TasksThatFit(s.Need, free), maxRoom)
	if s.PerWorker > 0 {
		n = min(n, s.PerWorker)
	}
	return n
}

// tasksAtOnce returns how many tasks of the step have to be placed at once.
func (s *step) tasksAtOnce() int {
	if s.Gang {
		return len(s.tasks)
	}
	return 1
}

// heldBy returns what keeps all tasks of a job from being placed, conditionNone if nothing
// does.
func (s *Scheduler) heldBy(now time.Time, j *job) condition {
	switch {
	case s.recovering && j.inherited:
		return conditionRecovery
	case !j.unconfirmedSince.IsZero() || !s.mayStart(now):
		return conditionUnconfirmed
	case j.awaitingStore:
		return conditionStore
	default:
		return conditionNone
	}
}

// reportWaits logs the ready tasks that have waited for a worker for minReportedWait, with
// the condition that holds them. p is the pass that has just ended, nil if there was none.
func (s *Scheduler) reportWaits(now time.Time, p *pass) {
	if now.Sub(s.waitsReportedAt) < waitsInterval {
		return
	}
	s.waitsReportedAt = now
	var due []unit
	for _, j := range s.active {
		if now.Before(j.notBefore) {
			continue
		}
		for i, st := range j.steps {
			if !j.ready(st) || st.waiting == 0 {
				st.wait = wait{}
				continue
			}
			if st.wait.since.IsZero() {
				st.wait.since = now
			}
			if now.Sub(st.wait.since) >= minReportedWait {
				due = append(due, unit{j, i, st})
			}
		}
	}
	// First lines go before repeated ones, so that none is hidden by the waits of many others.
	slices.SortStableFunc(due, func(a, b unit) int { return a.step.wait.loggedAt.Compare(b.step.wait.loggedAt) })
	left := maxWaitsReported
	for _, u := range due {
		if left > 0 && s.reportWait(now, p, u) {
			left--
		}
	}
}

// reportWait logs why the tasks of a unit wait, if the condition has changed or was last
// logged long ago, and reports whether it did.
func (s *Scheduler) reportWait(now time.Time, p *pass, u unit) bool {
	n := s.roomFor(now, u)
	c := s.heldBy(now, u.job)
	if c == conditionNone && p != nil {
		c = p.waitCondition(u, n)
	}
	v := &u.step.wait
	if c == v.condition && now.Sub(v.loggedAt) < waitLogInterval {
		return false
	}
	if c != v.condition {
		v.condition, v.conditionSince = c, now
	}
	v.loggedAt = now
	s.logDecision(Decision{
		Message: "tasks wait", Counter: "waits-" + string(c), Job: u.job.ID,
		Details: Details{
			"condition": c, detailStep: u.index, "tasks": u.step.waiting, "at-once": u.step.tasksAtOnce(), "need": needString(u.step.Need),
			"room": n.usable, "room-unusable": n.unusable, "waiting-ms": now.Sub(v.since).Milliseconds(),
			"condition-ms": now.Sub(v.conditionSince).Milliseconds(), "in-use-percent": s.usage(u.job.queue.Service).percent(),
			"unusable": s.unusableWorkers(now, u.job.queue.Service),
		},
	})
	return true
}

// waitCondition returns what keeps a unit from being placed that its job does not hold back,
// after a pass in which it was not placed.
func (p *pass) waitCondition(u unit, n room) condition {
	need := u.step.tasksAtOnce()
	switch {
	case u.step.Gang && u.step.waiting < len(u.step.tasks):
		return conditionGangStops
	case u.step.waitsApart(p.now):
		return conditionQuarantine
	case n.empty < need:
		return conditionTooLarge
	case n.remaining() < need, n.usable < need && n.usable+n.evacuated >= need:
		return conditionEvacuated
	case n.usable+n.unusable < need:
		return conditionResources
	case n.usable < need:
		return conditionUnusable
	default:
		return p.preferenceOf(u, need)
	}
}

// waitsApart reports whether a suspicion still holds back all waiting tasks of the step, or the
// gang.
func (s *step) waitsApart(now time.Time) bool {
	held := func(t *task, level quarantiner.Level) bool {
		return level > quarantiner.Anywhere && !t.apartSince.IsZero() && now.Sub(t.apartSince) < level.Patience()
	}
	if s.Gang {
		return held(&s.tasks[0], s.highestLevel())
	}
	for _, i := range s.waitingTasks() {
		if !held(&s.tasks[i], s.tasks[i].suspicion.Level()) {
			return false
		}
	}
	return true
}

// preferenceOf returns which rule other than free resources keeps a unit from being placed.
func (p *pass) preferenceOf(u unit, need int) condition {
	request := placer.Request{Tasks: need, PerTask: u.step.Need, Adjacency: placer.AdjacencyNone}
	permitted, colocated, free := 0, 0, 0
	for _, v := range p.workers[u.job.queue.Service] {
		w := p.s.workers[v.ID]
		if !w.hasLabel(u.step.Label) {
			continue
		}
		fits := u.step.tasksOn(w.free())
		if u.job.queue.Advice != nil && !u.step.hasTicket(p.now, w) {
			continue
		}
		permitted += fits
		if p.s.colocationAllowed(p.now, u.step, w) {
			colocated += fits
			free += u.step.tasksOn(v.Free)
		}
	}
	switch {
	case permitted < need:
		return conditionAdvice
	case colocated < need:
		return conditionColocation
	case !u.job.urgent() && p.postponed[u.job.queue.Service]:
		return conditionPostponed
	case free < need:
		return conditionReservation
	case countFitting(request, p.eligibleWorkers(u)) < need:
		return conditionAvoided
	case u.step.Gang && u.step.SameRack:
		return conditionRack
	default:
		return conditionNone
	}
}

// hasLabel reports whether a worker has a label; every worker has the empty one.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// serviceUsage is what is in use of the resources of a service.
type serviceUsage struct{ used, capacity placer.Resources }

// usage returns the usage of the listed workers of a service outside evacuated zones.
func (s *Scheduler) usage(service string) serviceUsage {
	var n serviceUsage
	for _, w := range s.listedWorkers(service) {
		if w.zoneEvacuated {
			continue // nobody can use what is free there
		}
		n.used, n.capacity = n.used.Plus(w.used), n.capacity.Plus(w.Capacity)
	}
	return n
}

// percent returns the share in use, with each accelerator counted as acceleratorCores.
func (n serviceUsage) percent() int {
	all := weightedCores(n.capacity)
	if all == 0 {
		return 0
	}
	return int(weightedCores(n.used) * fullPercent / all)
}

// unusableWorkers returns the number of listed workers of a service that are not usable, by
// the reason.
func (s *Scheduler) unusableWorkers(now time.Time, service string) map[string]int {
	n := map[string]int{}
	for _, w := range s.listedWorkers(service) {
		if !w.usable(now) {
			n[w.unusableReason(now)]++
		}
	}
	return n
}

// unusableReason returns why no tasks may be placed on a listed worker.
func (w *worker) unusableReason(now time.Time) string {
	switch {
	case w.Draining:
		return "draining"
	case w.evacuating:
		return "evacuating"
	case !w.unresponsiveSince.IsZero():
		return "silent"
	case !w.fenced:
		return "not-heard"
	case !w.unconfirmedSince.IsZero():
		return "unconfirmed"
	case w.orphanRuns > 0:
		return "unknown-runs"
	case w.listsTooManyEnds():
		return "too-many-ends"
	case now.Before(w.excludedUntil):
		return "excluded"
	case w.aloneRuns > 0:
		return quarantiner.Alone.String()
	default:
		return reasonZoneEvacuated
	}
}

// reasonZoneEvacuated is the reason of a worker that would be usable if its zone were not
// evacuated.
const reasonZoneEvacuated = "evacuated-zone"

// needString returns the resources of one task as they are logged.
func needString(n placer.Resources) string {
	return fmt.Sprintf("%d millicores, %d MB, %d accelerators", n.MilliCores, n.MemoryMB, n.Accelerators)
}
