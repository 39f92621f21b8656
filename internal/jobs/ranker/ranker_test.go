package ranker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/ranker"
)

// Guards against jobs without value that delay others, and against an organisation that floods
// the queue: each job is followed by the next one.
func TestOrder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	batch := ranker.Job{Objective: 20 * time.Second, Remaining: 5 * time.Second, EvenShare: 0.5}
	with := func(j ranker.Job, change func(*ranker.Job)) ranker.Job {
		change(&j)
		return j
	}
	order := []ranker.Job{
		with(batch, func(j *ranker.Job) { j.Urgent, j.Guaranteed, j.AcceptedAt = true, true, ago(1) }),
		with(batch, func(j *ranker.Job) { j.Urgent, j.AcceptedAt = true, ago(9) }),
		with(batch, func(j *ranker.Job) { j.AcceptedAt = ago(54) }), // late, but still worth something
		with(batch, func(j *ranker.Job) { j.AcceptedAt = ago(8) }),
		with(batch, func(j *ranker.Job) { j.AcceptedAt, j.UsedShare = ago(9), 0.9 }), // its organisation floods
		with(batch, func(j *ranker.Job) { j.AcceptedAt = ago(2) }),
		with(batch, func(j *ranker.Job) { j.AcceptedAt = ago(56) }), // too late
		with(batch, func(j *ranker.Job) { j.Urgent, j.AcceptedAt, j.Remaining = true, ago(56), 4*time.Second+1 }),
	}
	for i := range order[1:] {
		a, b := ranker.Of(now, order[i]), ranker.Of(now, order[i+1])
		is.New(t).True(ranker.Compare(a, b) < 0 || a.Class == ranker.Worthless)
	}
}

// Guards against an organisation whose jobs never come first: the delay of a flooding one is
// bounded, so that no job waits for ever behind later ones.
func TestDelayOfAFloodingOrganisationIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		j := ranker.Job{
			AcceptedAt: now, Objective: time.Minute, Remaining: time.Second,
			UsedShare: rapid.Float64Range(0, 1).Draw(t, "used"), EvenShare: rapid.Float64Range(0, 1).Draw(t, "even"),
		}
		other := j
		other.UsedShare = 0
		other.AcceptedAt = now.Add(5*time.Second + 1)
		is.New(t).True(ranker.Compare(ranker.Of(now, j), ranker.Of(now, other)) < 0)
	})
}
