package gatekeeper_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/gatekeeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

const id = "00000000000000a1"

// TestStateIsReadWhenItIsAskedFor asks for a job whose end is stored and was not read
// yet, while the store answers and while it does not.
func TestStateIsReadWhenItIsAskedFor(t *testing.T) {
	errStale := errors.New("stale")
	for _, c := range []struct {
		name  string
		fails error
		first scheduler.State
	}{
		{name: "store answers", first: scheduler.StateCompleted},
		{name: "store does not answer", fails: errStale, first: scheduler.StateQueued},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := registrar.New()
			job, err := registrar.JobRecord(scheduler.Job{ID: id, Organisation: "o"})
			is.NoErr(err)
			end, err := registrar.ProgressRecord(id, scheduler.Progress{State: scheduler.StateCompleted})
			is.NoErr(err)
			r.TakeJobs(tailer.Batch{Records: []accessor.Record{job}, Next: 1})
			looks := 0
			g := &gatekeeper.Gatekeeper{Registrar: r, Now: time.Now, Look: func(context.Context) error {
				looks++
				if c.fails == nil {
					r.TakeProgress(tailer.Batch{Records: []accessor.Record{end}, Next: 1})
				}
				return c.fails
			}}
			target := gatekeeper.Target{Organisation: "o", Rest: id}
			a := g.Status(t.Context(), target)
			is.Equal(a.Verdict, gatekeeper.VerdictOK)
			is.Equal(a.State, c.first)
			is.Equal(a.Reason == "", c.fails == nil)
			g.Status(t.Context(), target)
			is.Equal(looks == 1, c.fails == nil) // a job that has ended is not read again
		})
	}
}
