package reducer

import (
	"fmt"
	"slices"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/estimator"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// admit puts a job into the queue of its organisation, unless it has to end.
func (t *turn) admit(j *job) {
	if j.over() {
		return
	}
	if j.cancelled != 0 {
		t.cancel(j)
		return
	}
	if err := t.impossible(j.Job); err != nil {
		t.end(j, t.refusal(j), err.Error(), 0)
		return
	}
	t.notePossible(j.Job)
	t.enqueue(j)
	t.placeable = true
	if j.notBefore.After(t.now) {
		t.arm(timerPlace, "job "+j.ID, j.notBefore)
		return
	}
	if j.Class == ClassUrgent {
		t.urgent = true
	}
}

// enqueue puts a job into the queue of its organisation, at its rank.
func (t *turn) enqueue(j *job) {
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

// unqueue takes a job out of its queue.
func (t *turn) unqueue(j *job) {
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

// refusal returns the outcome of a job that can't run any more. Only one that was
// accepted under this leader and never attempted has not run for sure.
func (s State) refusal(j *job) Outcome {
	if j.attempt == 0 && j.offset > s.term {
		return OutcomeRefused
	}
	return OutcomeFailed
}

// maxPossible is how many different needs are remembered.
const maxPossible = 1024

// needKey names what decides whether a job can ever run.
func needKey(j Job) string { return fmt.Sprintf("%s %t %v", j.Organisation, j.NonIdempotent, j.Gang) }

// notePossible remembers that jobs like j can run, until the workers or the
// configuration change. It keeps the cost of a burst of equal jobs independent of
// the number of workers.
func (t *turn) notePossible(j Job) {
	key := needKey(j)
	if _, ok := t.possible.Get(key); ok || !t.sized() {
		return
	}
	if t.possible.Len() >= maxPossible {
		t.possible = newTable[struct{}]()
	}
	t.possible = t.possible.Set(key, struct{}{})
}

// impossible reports why a job can never run.
func (s State) impossible(j Job) error {
	if _, ok := s.possible.Get(needKey(j)); ok {
		return nil
	}
	if err := s.feasible(j.Gang); err != nil {
		return err
	}
	return s.lendable(j)
}

// feasible reports why a gang can never be placed. It says nothing as long as the
// size of a listed worker is not known. Workers that are gone for a short time
// count, so that an outage of a rack refuses no job.
func (s State) feasible(r placer.Request) error {
	if !s.sized() {
		return nil
	}
	return placer.Feasible(r, s.views(func(*worker) bool { return true }))
}

// sized reports whether the size of every listed worker is known.
func (s State) sized() bool {
	for _, l := range s.listed {
		if w, ok := s.workers.Get(l.ID); !ok || !w.known {
			return false
		}
	}
	return len(s.listed) > 0
}

// views returns the workers that are chosen, as the placer sees them.
func (s State) views(chosen func(*worker) bool) []placer.Worker {
	v := make([]placer.Worker, 0, s.workers.Len())
	for i := s.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		if w.known && chosen(w) {
			v = append(v, w.view())
		}
	}
	return v
}

// charge counts a gang as in use by its organisation and team.
func (t *turn) charge(j Job) { t.addUse(j, j.Gang.Total()) }

// refund takes a gang off the use of its organisation and team.
func (t *turn) refund(j Job) { t.addUse(j, placer.Resources{}.Minus(j.Gang.Total())) }

func (t *turn) addUse(j Job, r placer.Resources) {
	u, _ := t.used.Get(j.Organisation)
	t.used = t.used.Set(j.Organisation, u.Plus(r))
	if j.Team != "" {
		u, _ = t.used.Get(teamKey(j))
		t.used = t.used.Set(teamKey(j), u.Plus(r))
	}
}

// teamKey names a team's use; no organisation's name has a slash.
func teamKey(j Job) string { return j.Organisation + "/" + j.Team }

// withinQuota reports whether a job's team may use as much as the job needs now.
func (s State) withinQuota(j Job) bool {
	n, ok := s.tenants.Get(j.Organisation)
	if !ok || j.Team == "" {
		return true
	}
	i := slices.IndexFunc(n.Teams, func(v decoder.Team) bool { return v.Name == j.Team })
	u, _ := s.used.Get(teamKey(j))
	return i < 0 || within(u.Plus(j.Gang.Total()), n.Teams[i].Quota)
}

// estimateKey names the jobs that are expected to run for similar times.
func (j *job) estimateKey() estimator.Key {
	return estimator.JobKey(j.Organisation, j.Service, string(j.Class), j.Gang.Tasks)
}
