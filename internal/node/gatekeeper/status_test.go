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

const jobID = "00000000000000a1"

// An entry VM reads progress only from time to time, so the store may have the end of a
// job that this VM still has as queued. Status must read the progress from the store, and
// tell the caller if that fails.
func TestStatusReadsProgressFromStore(t *testing.T) {
	errStale := errors.New("stale")
	for _, c := range []struct {
		name    string
		readErr error
		want    scheduler.State
	}{
		{name: "store answers", want: scheduler.StateCompleted},
		{name: "store does not answer", readErr: errStale, want: scheduler.StateQueued},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := registrar.New()
			job, err := registrar.JobRecord(scheduler.Job{ID: jobID, Organisation: "o", Steps: []scheduler.Step{{Tasks: 1}}})
			is.NoErr(err)
			end, err := registrar.ProgressRecord(jobID, scheduler.Progress{State: scheduler.StateCompleted})
			is.NoErr(err)
			r.ApplyJobs(tailer.Batch{Records: []accessor.Record{job}, Next: 1})
			reads := 0
			g := &gatekeeper.Gatekeeper{Registrar: r, Now: time.Now, CatchUpProgress: func(context.Context) error {
				reads++
				if c.readErr == nil {
					r.ApplyProgress(tailer.Batch{Records: []accessor.Record{end}, Next: 1})
				}
				return c.readErr
			}}
			target := gatekeeper.Target{Organisation: "o", JobID: jobID}
			a := g.Status(t.Context(), target)
			is.Equal(a.Verdict, gatekeeper.VerdictOK)
			is.Equal(a.State, c.want)
			is.Equal(a.Reason == "", c.readErr == nil)
			g.Status(t.Context(), target)
			is.Equal(reads == 1, c.readErr == nil) // a job that has ended is not read again
		})
	}
}
