package scheduler

import (
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

const unitParts = 3 // job, step and index

func splitUnit(name string) []string { return strings.SplitN(name, "/", unitParts) }

// costFunc returns the cost of stopping a run or of waiting for its end.
type costFunc func(now time.Time, j *job, st *step, p *placement) float64

// preemptibleRuns returns the runs of less urgent jobs on the workers of a unit's
// service. The runs of a gang are one entry, since they stop together. For an urgent unit
// they are collected once per pass.
func (p *pass) preemptibleRuns(u unit, cost costFunc) []placer.Borrower {
	service := u.job.queue.Service
	if !u.job.urgent() {
		return p.collectRuns(service, u.job, cost)
	}
	all, ok := p.borrowers[service]
	if !ok {
		all = p.collectRuns(service, nil, cost)
		p.borrowers[service] = all
	}
	return all
}

// collectRuns returns the runs of less urgent jobs but one on the workers of a service.
func (p *pass) collectRuns(service string, except *job, cost costFunc) []placer.Borrower {
	var all []placer.Borrower
	at := map[TaskID]int{}
	for _, v := range p.workers[service] {
		for _, r := range p.s.workers[v.ID].order {
			j, st, t := p.s.findTask(r.task)
			if t == nil || st.LongRunning || j.urgent() || j == except || j.state.Ended() || r.run == t.copyRun {
				continue
			}
			id := r.task
			if st.Gang {
				id.Index = 0
			}
			k, ok := at[id]
			if !ok {
				k = len(all)
				at[id] = k
				all = append(all, placer.Borrower{Job: unitName(id)})
			}
			all[k].Cost += cost(p.now, j, st, r)
			all[k].Held = addAllocation(all[k].Held, v.ID, r.need)
		}
	}
	return all
}

// preemptibleLongRunning returns the long-running tasks that may be stopped for
// work within a guarantee: at most MaxUnavailable of a step at a time.
func (p *pass) preemptibleLongRunning(u unit) []placer.Borrower {
	var all []placer.Borrower
	left := map[*step]int{}
	for _, id := range p.s.workerIDs {
		w := p.s.workers[id]
		if w.Service != u.job.queue.Service || !w.usable(p.now) {
			continue
		}
		for _, r := range w.sortedRuns() {
			j, st, t := p.s.findTask(r.task)
			if t == nil || !st.LongRunning || st.Gang || r.stopping || j.urgent() || r.need.Accelerators == 0 {
				continue
			}
			n, ok := left[st]
			if !ok {
				n = max(1, st.MaxUnavailable) - p.s.countUnavailable(j, r.task.Step)
			}
			left[st] = n - 1
			if n > 0 {
				all = append(all, placer.Borrower{
					Job: unitName(r.task), Cost: longRunningCost, Held: []placer.Allocation{{Worker: id, Held: r.need}},
				})
			}
		}
	}
	return all
}

func addAllocation(held []placer.Allocation, id string, need placer.Resources) []placer.Allocation {
	if n := len(held); n > 0 && held[n-1].Worker == id {
		held[n-1].Held = held[n-1].Held.Plus(need)
		return held
	}
	return append(held, placer.Allocation{Worker: id, Held: need})
}

// weightedCores returns the cores of a need, with each accelerator counted as
// acceleratorCores.
func weightedCores(n placer.Resources) float64 {
	return float64(n.MilliCores)/1000 + acceleratorCores*float64(n.Accelerators)
}

// preemptionCost returns the work that is lost when a run is stopped, in
// core-seconds. A run that has only just started costs something too, and more each time
// its task is stopped, so that no task is the victim again and again.
func (s *Scheduler) preemptionCost(now time.Time, _ *job, st *step, p *placement) float64 {
	if p.stopping {
		return 0
	}
	began := p.confirmedAt
	if began.IsZero() {
		began = now
	}
	lost := now.Sub(began).Seconds()
	if st.Checkpoints {
		lost = s.lostSeconds(now, st, p) + checkpointLoss.Seconds()
	}
	lost = (lost + restartLoss.Seconds()) * float64(1+st.primary(p.task.Index).preemptions)
	return lost * weightedCores(st.Need)
}

// remainingSeconds estimates the time until a run ends, in seconds.
func remainingSeconds(now time.Time, _ *job, st *step, p *placement) float64 {
	began := p.confirmedAt
	if began.IsZero() {
		began = now
	}
	ran := now.Sub(began)
	left := time.Duration(st.EstimateMS)*time.Millisecond - ran
	if p.percent > 0 { // as of the last report
		left = p.progressedAt.Sub(began)*time.Duration(fullPercent-p.percent)/time.Duration(p.percent) - now.Sub(p.progressedAt)
	}
	return max(left, minRemainingTime).Seconds()
}

const (
	acceleratorCores = 8   // cores that an accelerator counts as
	longRunningCost  = 1e6 // core-seconds lost with a long-running task; no other run costs as much
	fullPercent      = 100
	minRemainingTime = 200 * time.Millisecond // of a run that takes longer than its estimate
	restartLoss      = 500 * time.Millisecond // for which the resources of a stopped run are idle
	checkpointLoss   = 300 * time.Millisecond // for which a run restores its checkpoint, up to 250 ms
)
