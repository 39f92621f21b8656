package gatekeeper_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/gatekeeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

// Guards against a job that is read, cancelled or taken for the caller's own through another
// queue, and against one that its owner can't read any more.
func TestJobBelongsToItsQueueAndOrganisation(t *testing.T) {
	batch, other, open := gatekeeper.Route{Name: "batch"}, gatekeeper.Route{Name: "other"}, gatekeeper.Route{Name: "open", Public: true}
	for _, c := range []struct {
		name         string
		queue, owner string // of the stored job
		route        gatekeeper.Route
		organisation string
		owned        bool
	}{
		{"own job", "batch", "o", batch, "o", true},
		{"job of another organisation", "batch", "o", batch, "p", false},
		{"own job through another queue", "batch", "o", other, "o", false},
		{"job of another organisation through its own queue", "batch", "o", other, "p", false},
		{"job through a public queue", "batch", "o", open, "", false},
		{"own job through a public queue", "batch", "o", open, "o", false},
		{"job of a public queue", "open", "", open, "", true},
		{"job of a public queue with a key", "open", "", open, "o", true},
		{"job of a queue that is gone", "gone", "o", batch, "o", true},
		{"job of another organisation's queue that is gone", "gone", "o", batch, "p", false},
		{"job of a queue that is gone through a public queue", "gone", "o", open, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := registrar.New()
			job := scheduler.Job{ID: jobID, Queue: c.queue, Organisation: c.owner, Steps: []scheduler.Step{{Tasks: 1}}}
			record, err := registrar.JobRecord(job)
			is.NoErr(err)
			r.ApplyJobs(tailer.Batch{Records: []accessor.Record{record}, Next: 1})
			stored, cancelled := 0, 0
			g := &gatekeeper.Gatekeeper{
				Registrar: r, Now: time.Now, CatchUpProgress: func(context.Context) error { return nil },
				Config:            func() *gatekeeper.Config { return &gatekeeper.Config{Routes: []gatekeeper.Route{batch, other, open}} },
				StoreJob:          func(context.Context, scheduler.Job) error { stored++; return nil },
				StoreCancellation: func(context.Context, string) error { cancelled++; return nil },
			}
			target := gatekeeper.Target{Route: c.route, Organisation: c.organisation, JobID: jobID}
			read, submitted := gatekeeper.VerdictOK, gatekeeper.VerdictOK
			if !c.owned {
				read, submitted = gatekeeper.VerdictUnknownJob, gatekeeper.VerdictRefused
			}
			is.Equal(g.Status(t.Context(), target).Verdict, read)
			is.Equal(g.Submit(t.Context(), target, job).Verdict, submitted)
			is.Equal(stored, 0)
			is.Equal(g.Cancel(t.Context(), target).Verdict, read)
			is.Equal(cancelled == 1, c.owned)
		})
	}
}

// Guards against a submission that is answered as stored while the record of another owner's job
// with the same id arrives.
func TestSubmissionIsRefusedIfAnotherOwnersJobArrivesMeanwhile(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	record, err := registrar.JobRecord(scheduler.Job{ID: jobID, Queue: "batch", Organisation: "o", Steps: []scheduler.Step{{Tasks: 1}}})
	is.NoErr(err)
	g := &gatekeeper.Gatekeeper{
		Registrar: r, Now: time.Now,
		Config: func() *gatekeeper.Config {
			return &gatekeeper.Config{Routes: []gatekeeper.Route{{Name: "batch"}, {Name: "other"}}}
		},
		StoreJob: func(context.Context, scheduler.Job) error {
			r.ApplyJobs(tailer.Batch{Records: []accessor.Record{record}, Next: 1})
			return nil
		},
	}
	target := gatekeeper.Target{Route: gatekeeper.Route{Name: "other"}, Organisation: "p", JobID: jobID}
	is.Equal(g.Submit(t.Context(), target, scheduler.Job{Steps: []scheduler.Step{{Tasks: 1}}}).Verdict, gatekeeper.VerdictRefused)
}
