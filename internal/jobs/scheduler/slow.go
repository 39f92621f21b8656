package scheduler

import "time"

const (
	paceWindow = 700 * time.Millisecond // over which the speed of a run is measured
	paceFresh  = 2 * time.Second        // for which a measured speed counts; workers are looked at every second
	slowShare  = 0.5                    // of the speed of the fastest member of its gang, below which a run is slow; kinds of workers differ by a third
	moveCost   = 300 * time.Millisecond // of stopping a gang and starting it elsewhere
)

// speed is how fast a run works, in percent a second.
type speed struct {
	percent int       // when the present measurement began
	since   time.Time // zero before the first look
	last    float64   // as measured last, 0 before
	at      time.Time // of the last measurement
	best    float64
}

// with returns the speed after a look that found so many percent done. The first look
// only begins to measure, as a run that resumed from a checkpoint begins above 0.
func (v speed) with(now time.Time, percent int) speed {
	if v.since.IsZero() || percent < v.percent {
		v.since, v.percent = now, percent
		return v
	}
	if now.Sub(v.since) < paceWindow {
		return v
	}
	if percent > v.percent || percent < fullPercent {
		v.last, v.at = float64(percent-v.percent)/now.Sub(v.since).Seconds(), now
		v.best = max(v.best, v.last)
	}
	v.since, v.percent = now, percent
	return v
}

// confirm notes that the worker has the run.
func (p *placement) confirm(now time.Time) {
	if !p.confirmed.IsZero() {
		return
	}
	p.confirmed, p.moved = now, now
	if p.whole {
		p.speed.since = now
	}
}

// slow reports whether a run works far slower than the fastest member of its gang, as
// of the last look. All members have the same work, so that it tells of the worker; a
// single task may just be long.
func (s *Scheduler) slow(p *placement) bool {
	_, st, t := s.find(p.task)
	if t == nil || !st.Gang || st.DataRack != "" || p.stopping || p.percent >= fullPercent || p.speed.at.IsZero() {
		return false
	}
	return p.looked.Sub(p.speed.at) < paceFresh && p.speed.last < slowShare*s.gangSpeed(p)
}

// gangSpeed returns the speed of the fastest member of a gang.
func (s *Scheduler) gangSpeed(p *placement) float64 {
	best := 0.0
	s.members(p, func(_ *worker, m *placement) { best = max(best, m.speed.best) })
	return best
}

// restartPays reports whether a gang that waits for a slow member would end sooner if
// it began anew on sound workers.
func (s *Scheduler) restartPays(p *placement) bool {
	best := s.gangSpeed(p)
	if best <= 0 {
		return false
	}
	anew := fullPercent/best + moveCost.Seconds()
	return p.speed.last <= 0 || float64(fullPercent-p.percent)/p.speed.last > anew
}
