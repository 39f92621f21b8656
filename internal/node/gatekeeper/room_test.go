package gatekeeper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/gatekeeper"
)

// Callers must know whether to come back, and when: room takes longer than a fault of the store.
func TestAnswersOfRefusedJobs(t *testing.T) {
	const storeDelay, roomDelay = time.Second, 4 * time.Second
	for _, c := range []struct {
		err     error
		verdict gatekeeper.Verdict
		delay   time.Duration
	}{
		{nil, gatekeeper.VerdictOK, 0},
		{gatekeeper.ErrNotStored, gatekeeper.VerdictRefused, storeDelay},
		{gatekeeper.ErrNoRoom, gatekeeper.VerdictRefused, roomDelay},
		{gatekeeper.ErrTooLarge, gatekeeper.VerdictTooLarge, 0},
		{context.DeadlineExceeded, gatekeeper.VerdictUncertain, 0},
	} {
		t.Run(fmt.Sprint(c.err), func(t *testing.T) {
			is := is.New(t)
			g := &gatekeeper.Gatekeeper{
				Registrar: registrar.New(), Now: time.Now, Config: func() *gatekeeper.Config { return nil },
				StoreJob:       func(context.Context, scheduler.Job) error { return c.err },
				RetryAfter:     func() time.Duration { return storeDelay },
				RoomRetryAfter: func() time.Duration { return roomDelay },
			}
			a := g.Submit(t.Context(), gatekeeper.Target{JobID: jobID}, scheduler.Job{Steps: []scheduler.Step{{Tasks: 1}}})
			is.Equal(a.Verdict, c.verdict)
			is.Equal(a.RetryAfter, c.delay)
		})
	}
}
