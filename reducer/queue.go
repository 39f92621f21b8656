package reducer

import (
	"fmt"
	"slices"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/estimator"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// admit enqueues a job, unless the job has to end.
func (t *transition) admit(j *job) {
	if j.finished() {
		return
	}
	if j.cancelOffset != 0 {
		t.cancelJob(j)
		return
	}
	if err := t.checkFeasible(j.Job); err != nil {
		t.endJob(j, t.refusalOutcome(j), err.Error(), 0)
		return
	}
	t.rememberFeasible(j.Job)
	t.enqueue(j)
	t.placementNeeded = true
	if j.notBefore.After(t.now) {
		t.setTimer(timerPlace, "job "+j.ID, j.notBefore)
		return
	}
	if j.Class == ClassUrgent {
		t.urgentWaiting = true
	}
}

// enqueue ranks a job and adds it to the queue of its organisation.
func (t *transition) enqueue(j *job) {
	if r := t.rankOf(t.now, j); r != j.rank {
		n := *j
		n.rank = r
		j = &n
		t.setJob(j)
	}
	q, ok := t.queues.Get(j.Organisation)
	if !ok {
		q = newTable[string]()
	}
	t.queues = t.queues.Set(j.Organisation, q.Set(j.queueKey(), j.ID))
}

// dequeue removes a job from its queue.
func (t *transition) dequeue(j *job) {
	q, ok := t.queues.Get(j.Organisation)
	if !ok {
		return
	}
	q = q.Delete(j.queueKey())
	if q.Len() == 0 {
		t.queues = t.queues.Delete(j.Organisation)
		return
	}
	t.queues = t.queues.Set(j.Organisation, q)
}

// refusalOutcome returns the outcome of a job that can no longer run. Only a job that
// was accepted under this leader and never attempted has certainly not run.
func (s State) refusalOutcome(j *job) Outcome {
	if j.attempt == 0 && j.acceptOffset > s.term {
		return OutcomeRefused
	}
	return OutcomeFailed
}

// maxFeasibleKeys limits the size of feasibleKeys.
const maxFeasibleKeys = 1024

// feasibilityKey identifies everything about a job that decides whether it can ever
// run.
func feasibilityKey(j Job) string {
	return fmt.Sprintf("%s %t %v", j.Organisation, j.NonIdempotent, j.Gang)
}

// rememberFeasible caches that jobs with the requirements of j can run, until the
// workers or the configuration change. The cost of a burst of identical jobs then
// does not depend on the number of workers.
func (t *transition) rememberFeasible(j Job) {
	key := feasibilityKey(j)
	if _, ok := t.feasibleKeys.Get(key); ok || !t.capacitiesKnown() {
		return
	}
	if t.feasibleKeys.Len() >= maxFeasibleKeys {
		t.feasibleKeys = newTable[struct{}]()
	}
	t.feasibleKeys = t.feasibleKeys.Set(key, struct{}{})
}

// checkFeasible returns why a job can never run, or nil.
func (s State) checkFeasible(j Job) error {
	if _, ok := s.feasibleKeys.Get(feasibilityKey(j)); ok {
		return nil
	}
	if err := s.checkGangFeasible(j.Gang); err != nil {
		return err
	}
	return s.checkBorrowing(j)
}

// checkGangFeasible returns why a gang can never be placed. It returns nil while the
// capacity of any listed worker is unknown. Workers that became unavailable a short
// time ago are included, so that an outage of a rack refuses no job.
func (s State) checkGangFeasible(r placer.Request) error {
	if !s.capacitiesKnown() {
		return nil
	}
	return placer.Feasible(r, s.placerWorkers(func(*worker) bool { return true }))
}

// capacitiesKnown reports whether the capacity of every listed worker is known.
func (s State) capacitiesKnown() bool {
	for _, l := range s.workerList {
		if w, ok := s.workers.Get(l.ID); !ok || !w.inventoryKnown {
			return false
		}
	}
	return len(s.workerList) > 0
}

// placerWorkers returns the included workers as input of the placer.
func (s State) placerWorkers(include func(*worker) bool) []placer.Worker {
	v := make([]placer.Worker, 0, s.workers.Len())
	for i := s.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		if w.inventoryKnown && include(w) {
			v = append(v, w.view())
		}
	}
	return v
}

// addUsage adds a gang to the usage of its organisation and team.
func (t *transition) addUsage(j Job) { t.changeUsage(j, j.Gang.Total()) }

// removeUsage subtracts a gang from the usage of its organisation and team.
func (t *transition) removeUsage(j Job) { t.changeUsage(j, placer.Resources{}.Minus(j.Gang.Total())) }

func (t *transition) changeUsage(j Job, r placer.Resources) {
	u, _ := t.usage.Get(j.Organisation)
	t.usage = t.usage.Set(j.Organisation, u.Plus(r))
	if j.Team != "" {
		u, _ = t.usage.Get(teamKey(j))
		t.usage = t.usage.Set(teamKey(j), u.Plus(r))
	}
}

// teamKey returns the key of a team in usage. Names of organisations contain no
// slash.
func teamKey(j Job) string { return j.Organisation + "/" + j.Team }

// withinQuota reports whether a job fits into its team's remaining quota.
func (s State) withinQuota(j Job) bool {
	n, ok := s.tenants.Get(j.Organisation)
	if !ok || j.Team == "" {
		return true
	}
	i := slices.IndexFunc(n.Teams, func(v decoder.Team) bool { return v.Name == j.Team })
	u, _ := s.usage.Get(teamKey(j))
	return i < 0 || fitsQuota(u.Plus(j.Gang.Total()), n.Teams[i].Quota)
}

// estimateKey groups jobs with similar expected run times.
func (j *job) estimateKey() estimator.Key {
	return estimator.JobKey(j.Organisation, j.Service, string(j.Class), j.Gang.Tasks)
}
