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
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// A list of workers that a read of an ended term returns late would reach the scheduler of the
// next term, which is told of the list again only when it changes.
func TestTermEndsAfterItsLastReadOfTheWorkers(t *testing.T) {
	is := is.New(t)
	reading, answer := make(chan struct{}, 1), make(chan struct{})
	log, _ := test.NewNullLogger()
	a := &Assembler{Logger: log, Now: time.Now, Settings: platform.Settings{Heartbeat: time.Second}, registrar: registrar.New(), commander: &commander.Commander{
		LogDecision: func(scheduler.Decision) {}, ObserveDuration: func(string, time.Duration) {}, Now: time.Now,
	}}
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
