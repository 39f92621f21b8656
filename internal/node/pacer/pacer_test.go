package pacer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/node/pacer"
)

// queueMargin plays a leader whose answers take the given time because of a queue on its
// own link, and returns the margin that it settles on.
func queueMargin(p *pacer.Pacer, answerTime time.Duration, calls int) time.Duration {
	for range calls {
		p.Observe(answerTime <= p.Margin())
	}
	return p.Margin()
}

func TestMarginCoversQueueOnOwnLink(t *testing.T) {
	is := is.New(t)
	p := &pacer.Pacer{}
	is.Equal(queueMargin(p, 100*time.Millisecond, 1000), 600*time.Millisecond)
	is.True(!p.Crowded())
	is.True(queueMargin(p, 1500*time.Millisecond, 1000) >= 1200*time.Millisecond) // and swings around the time that answers take
	is.True(p.Crowded())
	is.Equal(queueMargin(p, 10*time.Second, 1000), 2400*time.Millisecond) // but it stays well below a lease
	is.Equal(queueMargin(p, 100*time.Millisecond, 1000), 600*time.Millisecond)
	is.True(!p.Crowded())
}

// Workers that are cut off must not be heard of later because others wait longer.
func TestMarginIgnoresFewSilentWorkers(t *testing.T) {
	is := is.New(t)
	p := &pacer.Pacer{}
	for i := range 1000 {
		p.Observe(i%5 != 0)
	}
	is.Equal(p.Margin(), 600*time.Millisecond)
	is.True(!p.Crowded())
}

func TestLooksWaitOnlyWhenDecisionsAreLate(t *testing.T) {
	is := is.New(t)
	is.Equal(pacer.LookDelay(20*time.Millisecond), time.Duration(0))
	is.Equal(pacer.LookDelay(100*time.Millisecond), 400*time.Millisecond)
	is.Equal(pacer.LookDelay(time.Minute), time.Second)
}
