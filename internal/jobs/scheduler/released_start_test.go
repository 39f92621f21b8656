package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// Another VM may lead right after the release, and a worker that it has reached may restart and
// then accepts a late start.
func TestStartAfterAReleaseIsSentAtOnceOrNotAtAll(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_000_000, 0)
	r := newRival(began, 1)
	now := began.Add(100 * time.Millisecond)
	r.apply(r.s.Reduce(now, scheduler.Confirmed{Sent: now}, scheduler.Released{}))
	r.answers = []string{"w1"}
	for range 3 {
		now = now.Add(100 * time.Millisecond)
		r.step(now, began)
	}
	is.Equal(len(r.starts["w1"]), 1)
	f := r.starts["w1"][0]
	is.True(!f.Late(f.DecidedAt.Add(500 * time.Millisecond)))
	is.True(f.Late(f.DecidedAt.Add(501 * time.Millisecond)))
}
