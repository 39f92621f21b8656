package scheduler

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Preferences of a unit, such as one rack for a gang or workers on which it has not failed,
// and reservations of other units hold it back for a limited time while there is ample room
// for it: the platform forbids that a job stands for 3 s then.
const (
	maxStandingTime      = 1500 * time.Millisecond // leaves the rest for a new leader to read the job, and for the start
	ampleRoomFactor      = 2                       // times the unit must fit on the workers that may run it
	maxUrgentReservation = time.Second             // for which resources reserved for an urgent unit are kept from units that stand
	maxRoomLooks         = 20_000                  // workers that are examined per pass for all units that stand
)

// placeStanding places units that have found no resources for maxStandingTime although there
// was ample room, without regard to their preferences and to what is reserved for other units
// that are not urgent. In a service that is half in use or more, only what must not stand is
// placed so: a gang or one task of a job that has nothing running, and long-running tasks.
func (p *pass) placeStanding(units []unit) {
	lightlyUsed := map[string]bool{}
	var standing []unit
	for _, u := range units {
		if u.step.waiting == 0 {
			continue
		}
		service := u.job.queue.Service
		light, known := lightlyUsed[service]
		if !known {
			light = p.s.usage(service).underHalf()
			lightlyUsed[service] = light
		}
		if !light && !u.step.LongRunning && p.s.runs(u.job) {
			u.step.ampleSince = time.Time{}
			continue
		}
		if p.hasStood(u) {
			standing = append(standing, u)
		}
	}
	if most := 1 + maxRoomLooks/(1+len(p.s.workerIDs)); len(standing) > most { // the others follow in later passes
		slices.SortStableFunc(standing, func(a, b unit) int { return a.step.roomCheckedAt.Compare(b.step.roomCheckedAt) })
		standing = standing[:most]
	}
	reserved := urgentReservations(p.now, units)
	for _, u := range standing {
		u.step.roomCheckedAt = p.now
		p.placeRegardless(u, reserved, lightlyUsed[u.job.queue.Service])
	}
}

// hasStood reports whether there has been ample room for a unit for maxStandingTime.
// Tickets and reservations for urgent units do not count: each of them ends soon, but there
// may be others then.
func (p *pass) hasStood(u unit) bool {
	if n := p.s.roomFor(p.now, u); n.usable+n.excluded < ampleRoomFactor*u.step.tasksAtOnce() {
		u.step.ampleSince = time.Time{}
		return false
	}
	if u.step.ampleSince.IsZero() {
		u.step.ampleSince = p.now
	}
	return p.now.Sub(u.step.ampleSince) >= maxStandingTime
}

// runs reports whether a task of a job is placed.
func (*Scheduler) runs(j *job) bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.waiting+s.succeeded < len(s.tasks) })
}

// placeRegardless places a unit that stands where there is room; of a step that is no gang,
// all tasks that fit in a lightly used service, else one.
func (p *pass) placeRegardless(u unit, reserved map[string]placer.Resources, light bool) {
	r := placer.Request{Tasks: u.step.tasksAtOnce(), PerTask: u.step.Need, Adjacency: placer.AdjacencyNone}
	waiting := p.placeableTasks(u)
	workers := p.standingWorkers(u, reserved)
	if len(waiting) < r.Tasks || totalFitting(r, workers) < ampleRoomFactor*r.Tasks {
		return
	}
	if u.job.queue.Advice != nil {
		workers = p.ticketedWorkers(u, workers)
	}
	if !u.step.Gang && (light || u.step.LongRunning) {
		r.Tasks = min(len(waiting), totalFitting(r, workers))
	}
	if r.Tasks == 0 {
		return
	}
	at, ok := p.s.placeWarm(p.now, r, workers)
	if !ok {
		return
	}
	p.s.logDecision(Decision{
		Message: "standing tasks are placed regardless of preferences", Counter: "standing-units-placed", Job: u.job.ID,
		Details: Details{detailStep: u.index, "tasks": r.Tasks, "stood-ms": p.now.Sub(u.step.ampleSince).Milliseconds(), "condition": u.step.wait.condition},
	})
	if u.step.Gang {
		p.startGang(u, waiting, at)
		return
	}
	for k, id := range at {
		p.s.lastRun++
		p.placeTask(u, waiting[k], id, p.s.lastRun)
	}
}

// ticketedWorkers returns the workers that a unit has tickets for.
func (p *pass) ticketedWorkers(u unit, workers []placer.Worker) []placer.Worker {
	var ticketed []placer.Worker
	for _, v := range workers {
		if u.step.hasTicket(p.now, p.s.workers[v.ID]) {
			ticketed = append(ticketed, v)
		}
	}
	return ticketed
}

// placeableTasks returns the waiting tasks of a unit that no suspicion holds back, none for
// the rest of a gang that is being stopped.
func (p *pass) placeableTasks(u unit) []int {
	waiting := u.step.waitingTasks()
	if u.step.Gang {
		if len(waiting) < len(u.step.tasks) || u.step.suspected(waiting) && !u.step.tasks[0].outOfPatience(p.now, u.step.highestLevel()) {
			return nil
		}
		return waiting
	}
	return slices.DeleteFunc(waiting, func(i int) bool {
		t := &u.step.tasks[i]
		if u.step.LongRunning && p.now.Sub(t.requeuedAt) < maxStandingTime {
			return true // each long-running task stands for itself
		}
		return t.suspicion.Suspected() && !t.outOfPatience(p.now, t.suspicion.Level())
	})
}

// standingWorkers returns the workers that may run a unit, or may get a ticket for it, with the
// resources that are neither in use nor reserved for urgent units. Workers that are excluded
// for the failures on them are among them only if the others have no ample room.
func (p *pass) standingWorkers(u unit, reserved map[string]placer.Resources) []placer.Worker {
	var sound, all []placer.Worker
	placed := u.step.placedByWorker()
	for _, w := range p.s.listedWorkers(u.job.queue.Service) {
		if w.aloneRuns > 0 || !w.reachable() || !p.permitted(u, w) {
			continue
		}
		v := placer.Worker{ID: w.ID, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity, Free: w.free().Minus(reserved[w.ID])}
		if limit := u.step.PerWorker; limit > 0 {
			v.Free = componentMin(v.Free, u.step.Need.Times(max(0, limit-placed[w.ID])))
		}
		all = append(all, v)
		if w.available(p.now) {
			sound = append(sound, v)
		}
	}
	r := placer.Request{Tasks: u.step.tasksAtOnce(), PerTask: u.step.Need}
	if totalFitting(r, sound) >= ampleRoomFactor*r.Tasks {
		return sound
	}
	return all
}

// placedByWorker returns how many tasks of a step with a limit per worker are placed on each.
func (s *step) placedByWorker() map[string]int {
	n := map[string]int{}
	if s.PerWorker == 0 {
		return n
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == taskPlaced {
			n[t.worker]++
		}
	}
	return n
}

// urgentReservations returns the resources that are reserved for urgent units, by worker.
// Runs that are stopped for a unit end within a few hundred milliseconds; a reservation that
// lasts for longer holds up nobody else.
func urgentReservations(now time.Time, units []unit) map[string]placer.Resources {
	n := map[string]placer.Resources{}
	for _, u := range units {
		if !u.job.urgent() || now.Sub(u.step.reservedAt) > maxUrgentReservation {
			continue
		}
		for _, id := range u.step.reserved {
			n[id] = n[id].Plus(u.step.Need)
		}
	}
	return n
}

// totalFitting returns how many tasks fit on the workers, counting each worker separately.
func totalFitting(r placer.Request, all []placer.Worker) int {
	n := 0
	for i := range all {
		n += min(placer.TasksThatFit(r.PerTask, all[i].Free), maxRoom)
	}
	return n
}

// underHalf reports whether less than half of the resources are in use by any measure.
func (n serviceUsage) underHalf() bool {
	light := func(used, capacity int) bool { return capacity > 0 && 2*used < capacity }
	return light(n.used.MilliCores, n.capacity.MilliCores) || light(n.used.Accelerators, n.capacity.Accelerators) || n.percent() < fullPercent/2
}
