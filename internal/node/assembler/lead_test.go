package assembler

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/commander"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// newLeader returns a VM that can lead once it has a store.
func newLeader() *Assembler {
	log, _ := test.NewNullLogger()
	return &Assembler{
		Logger: log, Now: time.Now, Settings: platform.Settings{Heartbeat: time.Second}, registrar: registrar.New(),
		commander: &commander.Commander{LogDecision: func(scheduler.Decision) {}, ObserveDuration: func(string, time.Duration) {}, Now: time.Now},
	}
}

// A list of workers that a read of an ended term returns late would reach the scheduler of the
// next term, which is told of the list again only when it changes.
func TestTermEndsAfterItsLastReadOfTheWorkers(t *testing.T) {
	is := is.New(t)
	reading, answer := make(chan struct{}, 1), make(chan struct{})
	a := newLeader()
	a.store = accessor.Client{
		Append: func(context.Context, accessor.Append) (int64, error) { return 0, nil },
		Read: func(context.Context, string, int64, time.Duration) ([]accessor.Record, int64, error) {
			return nil, 0, nil
		},
		Newest: func(_ context.Context, topic string) ([]accessor.Record, int64, error) {
			if topic == platform.TopicExecutors {
				reading <- struct{}{}
				<-answer
			}
			return nil, 0, nil
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.lead(ctx, 1)
	}()
	<-reading
	cancel()
	select {
	case <-ended:
		t.Error("the term has ended before the read")
	case <-time.After(100 * time.Millisecond):
	}
	close(answer)
	<-ended
	is.True(!a.leading.Load())
}

// A VM that leads right after its start may not have read the operator's topic yet. Without
// the configuration and the waves it would not read what earlier leaders have stored of them.
func TestNewLeaderReadsWavesBeforeItsSchedulerStarts(t *testing.T) {
	is := is.New(t)
	a := newLeader()
	failed := false
	wavesRead := make(chan bool, 1)
	a.store = accessor.Client{
		Append: func(context.Context, accessor.Append) (int64, error) { return 0, nil },
		Read: func(context.Context, string, int64, time.Duration) ([]accessor.Record, int64, error) {
			return nil, 0, nil
		},
		Newest: func(_ context.Context, topic string) ([]accessor.Record, int64, error) {
			switch topic {
			case platform.TopicOperator:
				if !failed {
					failed = true
					return nil, 0, accessor.ErrNotDone
				}
				return []accessor.Record{{Key: "wave/7", Value: []byte(`{"wave":7,"machines":["m"],"durationS":20,"cap":1}`)}}, 1, nil
			case platform.WireTopic(topicWaves):
				return []accessor.Record{{Key: "7", Value: []byte(`{"over":true,"done":["m"]}`)}}, 1, nil
			case platform.TopicExecutors: // the scheduler has started
				select {
				case wavesRead <- len(a.waves.list()) == 1:
				default:
				}
			}
			return nil, 0, nil
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.lead(ctx, 1)
	}()
	is.True(<-wavesRead)
	cancel()
	<-ended
}

// A wave that is read while a new leader reads the progress of the others comes too early for
// its scheduler and too late for that read.
func TestWaveThatIsReadDuringTheTakeoverIsNotLost(t *testing.T) {
	is := is.New(t)
	a := newLeader()
	wave := func(n string) tailer.Batch {
		return tailer.Batch{Records: []accessor.Record{{Key: "wave/" + n, Value: []byte(`{"wave":` + n + `,"machines":["m` + n + `"],"durationS":20,"cap":1}`)}}}
	}
	a.applyOperatorRecords(wave("7"))
	found := make(chan any, 2)
	a.commander.LogDecision = func(d scheduler.Decision) {
		if d.Message == "upkeep wave found" {
			found <- d.Details["wave"]
		}
	}
	a.store = accessor.Client{
		Append: func(context.Context, accessor.Append) (int64, error) { return 0, nil },
		Read: func(context.Context, string, int64, time.Duration) ([]accessor.Record, int64, error) {
			return nil, 0, nil
		},
		Newest: func(_ context.Context, topic string) ([]accessor.Record, int64, error) {
			if topic == platform.WireTopic(topicWaves) {
				a.applyOperatorRecords(wave("8"))
			}
			return nil, 0, nil
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	a.commander.ListMachines = func(context.Context) scheduler.MachinesListed { return scheduler.MachinesListed{} }
	a.lead(ctx, 1)
	close(found)
	var waves []any
	for n := range found {
		waves = append(waves, n)
	}
	is.Equal(waves, []any{7, 8})
}
