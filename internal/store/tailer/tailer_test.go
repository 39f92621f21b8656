package tailer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

// After an outage a tailer read again only after its delay, or after the time limit of a read
// without an answer, so a leader renewed up to a second late.
func TestTailerReadsAtOnceWhenTheStoreHasRecovered(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			const outage = 1234 * time.Millisecond
			recovered := make(chan struct{})
			began := time.Now()
			down := func() bool { return time.Since(began) < outage }
			ctx, cancel := context.WithCancel(t.Context())
			var applied time.Duration
			f := &tailer.Tailer{
				Newest: func(ctx context.Context) ([]accessor.Record, int64, error) {
					if !down() {
						return nil, 0, nil
					}
					if hangs {
						<-ctx.Done()
					}
					return nil, 0, accessor.ErrNotDone
				},
				Apply: func(tailer.Batch) {
					applied = time.Since(began)
					cancel()
				},
				StateChanged: func(error) {}, Now: time.Now, Pause: func(time.Duration) time.Duration { return 0 },
				Recovered: func() <-chan struct{} {
					if down() {
						return recovered
					}
					return nil
				},
			}
			time.AfterFunc(outage, func() { close(recovered) })
			f.Run(ctx)
			is.Equal(applied, outage)
		})
	}
}
