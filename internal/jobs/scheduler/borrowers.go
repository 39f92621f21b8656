package scheduler

import (
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const unitParts = 3 // job, step and index

func splitUnit(name string) []string { return strings.SplitN(name, "/", unitParts) }

// pricer returns what it costs when a running unit is stopped or waited for.
type pricer func(now time.Time, j *job, st *step, p *placement) float64

// borrowers returns what runs on the workers of a service and is less urgent: a
// gang as one, other tasks each for themselves.
func (p *pass) borrowers(u unit, price pricer) []placer.Borrower {
	var all []placer.Borrower
	at := map[string]int{}
	for _, id := range p.s.workerIDs {
		w := p.s.workers[id]
		if w.Service != u.job.queue.Service || len(w.runs) == 0 || !w.usable(p.now) {
			continue
		}
		for _, r := range w.sortedRuns() {
			j, st, t := p.s.findTask(r.task)
			if t == nil || st.Lasts || j.urgent() || j == u.job || j.state.Ended() || r.run == t.copyRun {
				continue
			}
			name := unitName(r.task)
			if st.Gang {
				name = unitName(TaskID{j.ID, r.task.Step, 0})
			}
			k, ok := at[name]
			if !ok {
				k = len(all)
				at[name] = k
				all = append(all, placer.Borrower{Job: name})
			}
			all[k].Cost += price(p.now, j, st, r)
			all[k].Held = addHeld(all[k].Held, id, r.need)
		}
	}
	return all
}

// lasting returns the tasks that last which may make way for work within a guarantee:
// no more of a step at a time than it may miss.
func (p *pass) lasting(u unit) []placer.Borrower {
	var all []placer.Borrower
	left := map[*step]int{}
	for _, id := range p.s.workerIDs {
		w := p.s.workers[id]
		if w.Service != u.job.queue.Service || !w.usable(p.now) {
			continue
		}
		for _, r := range w.sortedRuns() {
			j, st, t := p.s.findTask(r.task)
			if t == nil || !st.Lasts || st.Gang || r.stopping || j.urgent() || r.need.Accelerators == 0 {
				continue
			}
			n, ok := left[st]
			if !ok {
				n = max(1, st.MayMiss) - p.s.away(j, r.task.Step)
			}
			left[st] = n - 1
			if n > 0 {
				all = append(all, placer.Borrower{
					Job: unitName(r.task), Cost: lastingCost, Held: []placer.Allocation{{Worker: id, Held: r.need}},
				})
			}
		}
	}
	return all
}

func addHeld(held []placer.Allocation, id string, need placer.Resources) []placer.Allocation {
	if n := len(held); n > 0 && held[n-1].Worker == id {
		held[n-1].Held = held[n-1].Held.Plus(need)
		return held
	}
	return append(held, placer.Allocation{Worker: id, Held: need})
}

// cores returns the cores that a need counts for.
func cores(n placer.Resources) float64 {
	return float64(n.MilliCores)/1000 + acceleratorCores*float64(n.Accelerators)
}

// waste prices a run at the work that is lost when it is stopped, in
// core-seconds.
func waste(now time.Time, _ *job, st *step, p *placement) float64 {
	if p.stopping {
		return 0
	}
	began := p.confirmedAt
	if began.IsZero() {
		began = now
	}
	lost := now.Sub(began).Seconds()
	if st.Checkpoints {
		lost = min(lost, savedLoss.Seconds())
	}
	return lost * cores(st.Need)
}

// remaining prices a run at the time that it will still take.
func remaining(now time.Time, _ *job, st *step, p *placement) float64 {
	began := p.confirmedAt
	if began.IsZero() {
		began = now
	}
	ran := now.Sub(began)
	left := time.Duration(st.EstimateMS)*time.Millisecond - ran
	if p.percent > 0 { // as of when it was reported
		left = p.progressedAt.Sub(began)*time.Duration(fullPercent-p.percent)/time.Duration(p.percent) - now.Sub(p.progressedAt)
	}
	return max(left, minRemaining).Seconds()
}

const (
	acceleratorCores = 8   // cores that an accelerator counts for
	lastingCost      = 1e6 // core-seconds of a task that lasts; no other work loses as much
	fullPercent      = 100
	minRemaining     = 200 * time.Millisecond // of a run that has outlasted its estimate
	savedLoss        = 300 * time.Millisecond // restoring a checkpoint takes up to 250 ms
)
