package scheduler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// A worker cannot restart within 500 ms of an answer. So outside the confirmed time a start may
// be sent that long after the answer, not after a decision that was made later.
func TestStartByALeaderThatCannotRenewIsNotSentLongAfterTheAnswerOfItsWorker(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	r := newRivalWith(began, 1, []scheduler.Step{
		{Tasks: 1, Need: rivalNeed, EstimateMS: 4000},
		{Tasks: 2, Need: rivalNeed, EstimateMS: 4000, After: []int{0}},
	}, "w1")
	const answering = 3600 * time.Millisecond
	const answered = answering + 100*time.Millisecond // the next hold is sent one step later
	for now := began.Add(100 * time.Millisecond); now.Before(began.Add(5 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.over = now.Sub(began) >= 4*time.Second
		if now.Sub(began) == answering {
			r.answers = []string{"w1", "w2"}
		}
		r.step(now, began)
	}
	is.Equal(slices.Sorted(maps.Keys(r.starts)), []string{"w1", "w2"})
	f := r.starts["w2"][0]
	if f.DecidedAt.Sub(began) > answered+500*time.Millisecond {
		return // the worker has answered again
	}
	is.True(f.Late(began.Add(answered + 501*time.Millisecond)))
}
