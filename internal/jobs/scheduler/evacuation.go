package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/evacuator"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// EvacuationsChanged brings all evacuated availability zones. Of two events the one with the
// higher revision counts.
type EvacuationsChanged struct {
	Revision int64
	Zones    []evacuator.Evacuation
}

// EvacuatedZone is an evacuated zone as the leader sees it.
type EvacuatedZone struct {
	evacuator.Evacuation

	Workers int // listed workers in the zone
	Runs    int // runs on workers in the zone
}

// EvacuationsReported brings the state of all evacuated zones, for operators.
type EvacuationsReported struct{ Zones []EvacuatedZone }

func (EvacuationsChanged) isEvent()   {}
func (EvacuationsReported) isEffect() {}

// evacuations are the evacuated zones. Nothing is started on workers in them; what runs there
// continues.
type evacuations struct {
	revision int64
	zones    map[string]*evacuation
	reported []EvacuatedZone
}

// evacuation is the state of an evacuated zone.
type evacuation struct {
	evacuator.Evacuation

	logged      bool // that it is evacuated
	unknown     bool // it was logged that no listed worker is in the zone
	emptyLogged bool // that its last run has ended
}

// has reports whether a zone is evacuated.
func (e *evacuations) has(zone string) bool { return e.zones[zone] != nil }

// changeEvacuations applies the evacuated zones: their workers become unusable, and starts there
// that are not sent yet are dropped.
func (s *Scheduler) changeEvacuations(now time.Time, e EvacuationsChanged) {
	v := &s.evacuations
	if e.Revision < v.revision {
		return
	}
	before := v.zones
	v.revision, v.zones = e.Revision, map[string]*evacuation{}
	for _, z := range e.Zones {
		n := &evacuation{}
		if old, ok := before[z.Zone]; ok {
			n = old
		}
		n.Evacuation = z
		v.zones[z.Zone] = n
	}
	for _, id := range s.workerIDs {
		if w := s.workers[id]; w.zoneEvacuated != v.has(w.Zone) {
			w.zoneEvacuated = v.has(w.Zone)
			s.touch(w)
		}
	}
	s.dropHeldStarts(now)
	s.reportEvacuations(now)
	for _, zone := range slices.Sorted(maps.Keys(before)) {
		if old := before[zone]; !v.has(zone) && old.logged {
			s.logDecision(Decision{Message: "zone is used again", Details: Details{detailZone: zone, detailRuns: s.countZone(zone).Runs, detailAfterMS: now.Sub(old.Since).Milliseconds()}})
		}
	}
	s.placementDue = true
}

// dropHeldStarts drops the held starts on workers in evacuated zones, with those of the same
// gangs elsewhere. Their tasks are placed again.
func (s *Scheduler) dropHeldStarts(now time.Time) {
	gangs := map[gangRun]bool{}
	inZone := func(h *heldStart) bool {
		w, ok := s.workers[h.start.Worker]
		return ok && w.zoneEvacuated
	}
	for _, h := range s.held {
		if _, st, _ := s.findTask(h.start.Task); st != nil && st.Gang && inZone(h) {
			gangs[gangRun{h.start.Task.Job, h.start.Task.Step, h.start.Run}] = true
		}
	}
	held := s.held
	s.held = nil
	for _, h := range held {
		w, ok := s.workers[h.start.Worker]
		switch {
		case !ok || w.runs[placementKey{h.start.Task, h.start.Run}] != h.run:
		case w.zoneEvacuated || gangs[gangRun{h.start.Task.Job, h.start.Task.Step, h.start.Run}]:
			s.logDecision(Decision{
				Message: "held start is dropped: a zone is evacuated", Counter: "starts-dropped-by-evacuation",
				Job: h.start.Task.Job, Task: h.start.Task, Run: h.start.Run, Worker: w.ID, Details: Details{detailZone: w.Zone},
			})
			s.loseRun(now, w, h.run, "its start was not sent")
		default:
			s.held = append(s.held, h)
		}
	}
}

// countZone counts the listed workers and the runs in a zone.
func (s *Scheduler) countZone(zone string) EvacuatedZone {
	n := EvacuatedZone{}
	for _, id := range s.workerIDs {
		if w := s.workers[id]; w.Zone == zone {
			if w.listed {
				n.Workers++
			}
			n.Runs += len(w.runs)
		}
	}
	return n
}

// reportEvacuations logs what has changed in evacuated zones and reports their state.
func (s *Scheduler) reportEvacuations(now time.Time) {
	v := &s.evacuations
	if len(v.zones) == 0 && len(v.reported) == 0 {
		return
	}
	var all []EvacuatedZone
	for _, zone := range slices.Sorted(maps.Keys(v.zones)) {
		n := s.countZone(zone)
		n.Evacuation = v.zones[zone].Evacuation
		s.logEvacuation(now, v.zones[zone], n)
		all = append(all, n)
	}
	if !slices.Equal(all, v.reported) {
		v.reported = all
		s.emit(EvacuationsReported{Zones: all})
	}
}

// logEvacuation logs the steps of the evacuation of a zone, each once. A zone is known once a
// worker in it is listed.
func (s *Scheduler) logEvacuation(now time.Time, e *evacuation, n EvacuatedZone) {
	d := Details{detailZone: e.Zone, "workers": n.Workers, detailRuns: n.Runs, "offset": e.Offset, detailAfterMS: now.Sub(e.Since).Milliseconds()}
	switch {
	case !e.logged && n.Workers > 0:
		e.logged = true
		s.logDecision(Decision{Message: "zone is evacuated", Counter: "evacuations", Details: d})
	case !e.logged:
		if !e.unknown && len(s.workerIDs) > 0 {
			e.unknown = true
			s.logDecision(Decision{Message: "evacuation of a zone without a listed worker has no effect", Details: d})
		}
		return
	}
	if n.Runs == 0 && !e.emptyLogged && !s.recovering {
		e.emptyLogged = true
		s.logDecision(Decision{Message: "last run in an evacuated zone has ended", Details: d})
	}
}

// inEvacuatedZone reports whether a worker is known to be in an evacuated zone.
func (s *Scheduler) inEvacuatedZone(id string) bool {
	w, ok := s.workers[id]
	return ok && w.zoneEvacuated
}

// withinRemaining returns a request of a step that is no gang, limited to the tasks that the
// workers outside evacuated zones could hold: a guarantee is reclaimed from what remains.
func (p *pass) withinRemaining(u unit, r placer.Request) placer.Request {
	if len(p.s.evacuations.zones) > 0 {
		r.Tasks = max(1, min(r.Tasks, p.s.roomFor(p.now, u).remaining()))
	}
	return r
}
