package assembler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/elector"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// Another VM may lead from the release on, whenever this VM's scheduler begins.
func TestLeasesEndOneLeaseAfterAReleaseDuringTheTakeover(t *testing.T) {
	is := is.New(t)
	const takeover = 2 * time.Second
	const clock = 60_000 // milliseconds
	const entry = `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":1},"labels":["a","r1"],"born":1}`
	var passed atomic.Int64
	a := newLeader()
	a.Now = func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }
	a.Settings.Lease = 10 * time.Second
	a.store = accessor.Client{
		Append: func(context.Context, accessor.Append) (int64, error) { return 0, nil },
		Read: func(context.Context, string, int64, time.Duration) ([]accessor.Record, int64, error) {
			return nil, 0, nil
		},
		Newest: func(_ context.Context, topic string) ([]accessor.Record, int64, error) {
			if topic == platform.TopicExecutors {
				return []accessor.Record{{Key: "w", Value: []byte(entry)}}, 1, nil
			}
			return nil, 0, nil
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	deadline := make(chan int64, 1)
	a.commander.Now = a.Now
	a.commander.Hold = func(_ context.Context, h scheduler.Hold, _ time.Duration) scheduler.HoldResult {
		if h.DeadlineMS != 0 {
			select {
			case deadline <- h.DeadlineMS:
			default:
			}
		}
		return scheduler.HoldResult{
			Worker: h.Worker, Sent: a.Now(), Outcome: scheduler.OutcomeDone, ClockMS: clock, StartedMS: 1,
			Running: []scheduler.Running{{Task: scheduler.TaskID{Job: "a"}, Run: 1}},
		}
	}
	sent := a.Now()
	a.lastConfirmed.Store(&sent)
	a.release(ctx, &elector.Elector{Self: "vm"})
	passed.Store(int64(takeover))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.lead(ctx, 1)
	}()
	is.True(<-deadline <= clock+(a.Settings.Lease-takeover).Milliseconds())
	cancel()
	<-ended
}
