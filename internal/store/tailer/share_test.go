package tailer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

// Guards against tailers that together exceed their part of the store's read limit on a
// topic with constant appends, and against needless pauses on a topic without records.
func TestReadsOfAllVMsStayWithinTheirShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		vms      int
		quiet    bool
		max, min int // reads in ten seconds
	}{
		{name: "300 VMs on a busy topic", vms: 300, max: 3100, min: 2500},
		{name: "8 VMs on a quiet topic", vms: 8, quiet: true, max: 80, min: 72},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				reads := make(chan struct{}, 100_000)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				var g sync.WaitGroup
				for range c.vms {
					f := &tailer.Tailer{
						Newest: func(context.Context) ([]accessor.Record, int64, error) { return nil, 0, nil },
						Read: func(_ context.Context, from int64, wait time.Duration) ([]accessor.Record, int64, error) {
							reads <- struct{}{}
							if c.quiet {
								time.Sleep(wait)
								return nil, from, nil
							}
							time.Sleep(4 * time.Millisecond)
							return []accessor.Record{{Offset: from}}, from + 1, nil
						},
						Apply:        func(tailer.Batch) {},
						StateChanged: func(error) {},
						Wait:         time.Second,
						Now:          time.Now,
						Pause:        func(took time.Duration) time.Duration { return tailer.MinReadInterval(c.vms, 2000, 0.15) - took },
					}
					g.Go(func() { f.Run(ctx) })
				}
				g.Wait()
				is.True(len(reads) <= c.max)
				is.True(len(reads) >= c.min)
			})
		})
	}
}
