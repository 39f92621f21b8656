package assembler

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/platform"
	"github.com/lacewingdoor/lacewingdoor/recorder"
)

// A leader that was paused may send a start by what it knew before the pause. It must read the
// record of an evacuation first, unless it knows that the store does not answer.
func TestStartAfterAPauseReadsTheEvacuationsFirst(t *testing.T) {
	for _, c := range []struct {
		name              string
		evacuate, sinceOK time.Duration
		failedSince       time.Duration // 0 if no read has failed
		storeDown         bool
		reads             int
		outcome           scheduler.Outcome
	}{
		{name: "current view", evacuate: 5 * time.Second, sinceOK: time.Second, outcome: scheduler.OutcomeUnsent},
		{name: "paused", evacuate: 5 * time.Second, sinceOK: 2 * time.Second, reads: 1, outcome: scheduler.OutcomeDropped},
		{name: "store is known to be down", evacuate: 5 * time.Second, sinceOK: 9 * time.Second, failedSince: time.Second, outcome: scheduler.OutcomeUnsent},
		{name: "paused, and the store is down", evacuate: 5 * time.Second, sinceOK: 9 * time.Second, storeDown: true, reads: 1, outcome: scheduler.OutcomeUnsent},
		{name: "no time for evacuations is set", sinceOK: 9 * time.Second, outcome: scheduler.OutcomeUnsent},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := newLeader()
			now, reads := time.Now(), 0
			a.Now = func() time.Time { return now }
			a.metrics = recorder.New()
			a.Settings.Evacuate = c.evacuate
			a.executors = &platform.Executors{Client: &platform.Client{}, CallFailed: func(string, string, error) {}}
			a.store = accessor.Client{Read: func(_ context.Context, _ string, from int64, _ time.Duration) ([]accessor.Record, int64, error) {
				reads++
				if c.storeDown {
					return nil, 0, accessor.ErrNotDone
				}
				return []accessor.Record{{Offset: from, Key: "evacuate/z", Value: []byte("{}")}}, from + 1, nil
			}}
			a.operatorRead.Store(true)
			readAt, failedAt := now.Add(-c.sinceOK), now.Add(-c.failedSince)
			a.view.readAt.Store(&readAt)
			if c.failedSince > 0 {
				a.view.failedAt.Store(&failedAt)
			}
			for range 2 { // the second start relies on the same read
				e := a.startUnlessEvacuated(t.Context(), scheduler.Start{Zone: "z", Address: "127.0.0.1:1"}, time.Second, time.Second)
				is.Equal(e.Outcome, c.outcome)
			}
			is.Equal(reads, c.reads)
		})
	}
}
