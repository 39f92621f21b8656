package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/profiler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

const (
	minSampleTime  = 700 * time.Millisecond // of a run from which its speed is taken; its begin is known to about 50 ms
	minSampleGain  = 8                      // percent done by then, as reports are rounded
	speedsInterval = time.Second            // between two updates of the speeds that placement uses

	storeSpeedsInterval = 10 * time.Second // between two stores of what was learnt, and between two reports of it
	minSpeedChange      = 1.1              // ratio of a speed to the stored one from which it is stored
	maxWorkersReported  = 8                // in one report
	zoneClassShare      = 0.8              // of the workers of a zone that are in the class of the zone
)

// speeds is what the leader knows about the speeds of workers.
type speeds struct {
	profiler  profiler.Profiler
	updatedAt time.Time
	differ    map[string]bool       // services with slow and fast workers
	classes   map[string]speedClass // of zones, as last reported
	slow      map[string]bool       // workers that were slow in the last report
	storedAt  time.Time             // of the last store or report
	stored    profiler.Record
	number    int64 // of the last StoreSpeeds
}

// speedClass is what is reported of the workers of a zone.
type speedClass string

// The classes of a zone.
const (
	classAlike speedClass = "alike" // to all others of the service
	classSlow  speedClass = "slow"
	classFast  speedClass = "fast"
	classMixed speedClass = "mixed"
)

// ReportSpeeds reports what was learnt about the speeds of workers: how many are known to be
// slow, and faster than those, and a record for the next leader if it is to be stored.
type ReportSpeeds struct {
	Epoch  int64
	Number int64 // increases within the epoch; the report with the highest number is valid
	Speeds profiler.Record
	Store  bool // the record has changed
	Slow   int
	Fast   int
}

func (ReportSpeeds) isEffect() {}

// workerSpeed is the learnt speed of a worker.
type workerSpeed struct {
	place    profiler.Place
	relative float64 // to the mean of its service, 0 if nothing was learnt
	slow     bool
	fast     bool
}

// placeOf returns where a worker is. The kind of its machine is part of the zone: only workers
// of the same zone and kind are taken as alike before they have run anything.
func placeOf(l *WorkerInfo) profiler.Place {
	c := l.Capacity
	zone := l.Service + "/" + l.Zone + "/" + strconv.Itoa(c.MilliCores) + "-" + strconv.Itoa(c.MemoryMB) + "-" + strconv.Itoa(c.Accelerators)
	return profiler.Place{Worker: l.ID, Zone: zone, Rack: zone + "/" + l.Rack}
}

// notePlace notes where a worker is, as of the list. What was learnt of another machine of the
// same name is forgotten.
func (s *Scheduler) notePlace(w *worker) {
	at := placeOf(&w.WorkerInfo)
	if w.speed.place != at && w.speed.place.Worker != "" {
		s.speeds.profiler.Forget(w.ID)
	}
	w.speed.place = at
}

// sampleRate takes the speed of a run from its reported progress, once.
func (s *Scheduler) sampleRate(now time.Time, w *worker, p *placement, percent int) {
	if p.rateTaken || p.stopping || percent < minSampleGain {
		return
	}
	_, st, _ := s.findTask(p.task)
	if st == nil {
		return
	}
	began := p.confirmedAt
	if st.Gang {
		began = s.gangBeganAt(st, p)
	}
	took := now.Sub(began)
	if began.IsZero() || took < minSampleTime || (st.Gang && percent >= fullPercent-1) {
		return // members of a gang that have done their part wait for the others
	}
	p.rateTaken = true
	if !st.comparable(p) || !w.sound(now) {
		return
	}
	if st.Gang && st.ratesOf != p.run {
		st.ratesOf, st.rates = p.run, profiler.Comparison{Uneven: true}
	}
	st.rates.Add(&s.speeds.profiler, w.speed.place, float64(percent)/took.Seconds())
}

// gangBeganAt returns when the last member of a gang was started, zero if that is not known.
func (s *Scheduler) gangBeganAt(st *step, p *placement) time.Time {
	var last time.Time
	for i := range st.tasks {
		t := &st.tasks[i]
		w, ok := s.workers[t.worker]
		if !ok || t.run != p.run {
			return time.Time{}
		}
		m, ok := w.runs[placementKey{TaskID{p.task.Job, p.task.Step, i}, p.run}]
		if !ok || m.confirmedAt.IsZero() {
			return time.Time{}
		}
		if m.confirmedAt.After(last) {
			last = m.confirmedAt
		}
	}
	return last
}

// comparable reports whether the progress of a run tells about its worker. That of a run from
// a checkpoint may count from there, that of an adopted run began at an unknown time, and data
// of other racks, a pace or serving change it.
func (s *step) comparable(p *placement) bool {
	fromCheckpoint := s.Checkpoints && s.primary(p.task.Index).restarted(p.run)
	return !s.LongRunning && !s.Serving && !s.Filler && s.DataRack == "" && len(s.tasks) > 1 && p.pace == fullPace && !fromCheckpoint
}

// restarted reports whether this leader knows of an earlier run of a task than the given one.
func (t *task) restarted(run int64) bool {
	return t.preemptions > 0 || len(t.failures) > 0 || (t.previous != nil && t.previous.run != run)
}

// sound reports whether the runs of a worker show its usual speed.
func (w *worker) sound(now time.Time) bool {
	return w.stalledAt.IsZero() && !now.Before(w.excludedUntil) && w.unresponsiveSince.IsZero() && w.aloneRuns == 0
}

// updateSpeeds updates the speeds that placement uses.
func (s *Scheduler) updateSpeeds(now time.Time) {
	v := &s.speeds
	if now.Sub(v.updatedAt) < speedsInterval {
		return
	}
	v.updatedAt = now
	if !v.profiler.Known() {
		return
	}
	v.differ = map[string]bool{}
	byService := map[string][]*worker{}
	for _, id := range s.workerIDs {
		if w := s.workers[id]; w.listed {
			byService[w.Service] = append(byService[w.Service], w)
		}
	}
	v.profiler.Solve()
	for service, all := range byService {
		places := make([]profiler.Place, len(all))
		for i, w := range all {
			places[i] = w.speed.place
		}
		for i, n := range v.profiler.Speeds(places) {
			all[i].speed.relative, all[i].speed.slow, all[i].speed.fast = n.Relative, n.Slow, n.Fast
			v.differ[service] = v.differ[service] || n.Slow
		}
	}
}

// reportSpeeds stores and reports what was learnt if it has changed.
func (s *Scheduler) reportSpeeds(now time.Time) {
	v := &s.speeds
	if v.storedAt.IsZero() {
		v.storedAt = now
	}
	if now.Sub(v.storedAt) < storeSpeedsInterval || !v.profiler.Known() {
		return
	}
	v.storedAt = now
	report := ReportSpeeds{Epoch: s.Epoch, Speeds: v.profiler.Record()}
	report.Store = report.Speeds.Differs(v.stored, minSpeedChange)
	changed := s.countSpeeds(&report)
	if report.Store {
		v.stored = report.Speeds
	}
	if report.Store || len(changed) > 0 {
		v.number++
		report.Number = v.number
		s.emit(report)
	}
	if len(changed) > 0 {
		some := strings.Join(changed[:min(len(changed), maxWorkersReported)], " ")
		s.logDecision(Decision{Message: "speeds of workers have changed", Counter: "worker-speed-changes", Details: Details{
			"slow": report.Slow, "fast": report.Fast, "changed": len(changed), "some": some,
		}})
	}
	s.reportZones()
}

// countSpeeds counts the slow and fast workers, and returns those that have become slow or are
// slow no longer since the last report.
func (s *Scheduler) countSpeeds(report *ReportSpeeds) []string {
	slow := map[string]bool{}
	var changed []string
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if w.listed && w.speed.slow {
			slow[id] = true
		}
		if w.listed && w.speed.fast {
			report.Fast++
		}
		if slow[id] != s.speeds.slow[id] {
			changed = append(changed, id)
		}
	}
	s.speeds.slow = slow
	report.Slow = len(slow)
	return changed
}

// reportZones logs the zones whose class has changed.
func (s *Scheduler) reportZones() {
	v := &s.speeds
	if v.classes == nil {
		v.classes = map[string]speedClass{}
	}
	workers, slow, fast := map[string]int{}, map[string]int{}, map[string]int{}
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if !w.listed {
			continue
		}
		workers[w.speed.place.Zone]++
		if w.speed.slow {
			slow[w.speed.place.Zone]++
		}
		if w.speed.fast {
			fast[w.speed.place.Zone]++
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(workers)) {
		n := float64(workers[zone])
		c := classMixed
		switch {
		case slow[zone]+fast[zone] == 0:
			c = classAlike
		case float64(slow[zone]) >= zoneClassShare*n:
			c = classSlow
		case float64(fast[zone]) >= zoneClassShare*n:
			c = classFast
		}
		if c != cmp.Or(v.classes[zone], classAlike) {
			s.logDecision(Decision{Message: "speed of a zone has changed", Details: Details{"zone": zone, "class": c, "workers": workers[zone], "slow": slow[zone]}})
		}
		v.classes[zone] = c
	}
}

// bySpeed returns the workers among which an urgent unit is to be placed, those to be tried
// first in front: all of them if none are known to be slow.
func (p *pass) bySpeed(u unit, all []placer.Worker) [][]placer.Worker {
	if !u.job.urgent() || !p.speedsDiffer(u) {
		return [][]placer.Worker{all}
	}
	slow, fast := p.splitBySpeed(all)
	if len(slow) == 0 || len(fast) == 0 {
		return [][]placer.Worker{all}
	}
	return [][]placer.Worker{fast, slow}
}

// speedsDiffer reports whether workers of the unit's service are known to be slow.
func (p *pass) speedsDiffer(u unit) bool { return p.s.speeds.differ[u.job.queue.Service] }

// splitBySpeed returns the slow workers and the others.
func (p *pass) splitBySpeed(all []placer.Worker) (slow, fast []placer.Worker) {
	fast = make([]placer.Worker, 0, len(all))
	for i := range all {
		if p.s.workers[all[i].ID].speed.slow {
			slow = append(slow, all[i])
		} else {
			fast = append(fast, all[i])
		}
	}
	return slow, fast
}

// placeBySpeed places a gang: an urgent one on fast workers, another one on workers of one
// class, as it ends with its slowest member. If neither is possible, all workers are used.
func (p *pass) placeBySpeed(u unit, r placer.Request, all []placer.Worker) (placer.Placement, bool) {
	if u.job.urgent() {
		for _, part := range p.bySpeed(u, all) {
			if at, ok := p.s.placeWarm(p.now, r, part); ok || len(part) == len(all) {
				return at, ok
			}
		}
		return p.s.placeWarm(p.now, r, all)
	}
	at, ok := p.s.placeWarm(p.now, r, all)
	if !ok || !p.speedsDiffer(u) || !p.mixesSpeeds(at) {
		return at, ok
	}
	slow, fast := p.splitBySpeed(all)
	for _, part := range [][]placer.Worker{slow, fast} {
		if alike, ok := p.s.placeWarm(p.now, r, part); ok {
			return alike, true
		}
	}
	return at, true
}

// mixesSpeeds reports whether a placement has both slow and other workers.
func (p *pass) mixesSpeeds(at placer.Placement) bool {
	slow := func(id string) bool { return p.s.workers[id].speed.slow }
	return slices.ContainsFunc(at, func(id string) bool { return slow(id) != slow(at[0]) })
}

// placeTasksBySpeed places as many tasks as fit, on the preferred workers first.
func (p *pass) placeTasksBySpeed(u unit, r placer.Request, all []placer.Worker) placer.Placement {
	var at placer.Placement
	left := r.Tasks
	for _, part := range p.bySpeed(u, all) {
		r.Tasks = min(left, countFitting(r, part))
		if some, ok := p.s.placeWarm(p.now, r, part); ok {
			at = append(at, some...)
			left -= len(some)
		}
		r.Tasks = left
	}
	return at
}

// victims returns the runs to stop for an urgent unit and its placement then: on fast workers
// alone if the runs there may be stopped, else on any.
func (p *pass) victims(u unit, r placer.Request, borrowers []placer.Borrower, maxCost float64) ([]placer.Borrower, placer.Placement, bool) {
	all := p.eligibleWorkers(u)
	if parts := p.bySpeed(u, all); len(parts) > 1 {
		if v, at, ok := placer.Victims(r, parts[0], borrowers); ok && totalCost(v) <= maxCost {
			return v, at, true
		}
	}
	return placer.Victims(r, all, borrowers)
}

func totalCost(all []placer.Borrower) float64 {
	cost := 0.0
	for _, v := range all {
		cost += v.Cost
	}
	return cost
}
