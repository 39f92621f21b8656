package assembler

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// The leader may be killed between the record of an evacuation and its first start. Its successor
// has followed the operator's topic, but may not have read the record yet.
func TestNewLeaderReadsTheRecordsThatItHasNotFollowedYet(t *testing.T) {
	is := is.New(t)
	a := newLeader()
	const followed = 3
	a.applyOperatorRecords(tailer.Batch{Snapshot: true, Next: followed})
	started, found := make(chan bool, 1), make(chan any, 1)
	failed := false
	a.store = accessor.Client{
		Append: func(context.Context, accessor.Append) (int64, error) { return 0, nil },
		Read: func(_ context.Context, topic string, from int64, _ time.Duration) ([]accessor.Record, int64, error) {
			if topic != platform.TopicOperator || from != followed {
				return nil, 0, nil
			}
			if !failed {
				failed = true
				return nil, 0, accessor.ErrNotDone
			}
			return []accessor.Record{{Offset: followed, Key: "evacuate/z", Value: []byte("{}")}}, followed + 1, nil
		},
		Newest: func(_ context.Context, topic string) ([]accessor.Record, int64, error) {
			if topic != platform.TopicExecutors {
				return nil, 0, nil
			}
			select {
			case started <- a.evacuated.load().Evacuated("z"):
			default:
			}
			return []accessor.Record{{Key: "x", Value: []byte(`{"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":1,"memMb":1,"gpu":0},"labels":["a","r1"],"born":1}`)}}, 1, nil
		},
	}
	a.commander.Hold = func(_ context.Context, h scheduler.Hold, _ time.Duration) scheduler.HoldResult {
		return scheduler.HoldResult{Worker: h.Worker, Outcome: scheduler.OutcomeUnsent}
	}
	a.commander.ReportEvacuations = func(scheduler.EvacuationsReported) {}
	a.commander.LogDecision = func(d scheduler.Decision) {
		if d.Message == "zone is evacuated" {
			found <- d.Details["zone"]
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.lead(ctx, 1)
	}()
	is.True(<-started)
	is.Equal(<-found, "z")
	cancel()
	<-ended
}
