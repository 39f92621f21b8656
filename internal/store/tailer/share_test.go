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

// TestVMsTogetherKeepToTheirShare lets many VMs follow a topic in which records come
// all the time, and a few follow a quiet one.
func TestVMsTogetherKeepToTheirShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		vms      int
		quiet    bool
		max, min int // reads in ten seconds
	}{
		{name: "three hundred VMs", vms: 300, max: 3100, min: 2500},
		{name: "eight VMs wait for nothing", vms: 8, quiet: true, max: 80, min: 72},
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
						Take:  func(tailer.Batch) {},
						State: func(error) {},
						Wait:  time.Second,
						Now:   time.Now,
						Pause: func(took time.Duration) time.Duration { return tailer.Share(c.vms, 2000, 0.15) - took },
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
