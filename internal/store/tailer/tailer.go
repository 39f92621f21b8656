// Package tailer follows a compacted topic of the store: it reads a snapshot first, then
// every later record.
package tailer

import (
	"context"
	"errors"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
)

// Batch is the result of one read.
type Batch struct {
	Records  []accessor.Record
	Snapshot bool  // Records hold every key; any other key is deleted
	Next     int64 // offset of the next record
}

const (
	minRetryDelay = 100 * time.Millisecond // between a failed read and the next one
	maxRetryDelay = 800 * time.Millisecond // bounds the time until the end of an outage is noticed
)

// Tailer follows one topic. Its exported fields must be set before Run.
type Tailer struct {
	Newest       func(context.Context) ([]accessor.Record, int64, error)
	Read         func(ctx context.Context, from int64, wait time.Duration) ([]accessor.Record, int64, error)
	Apply        func(Batch)     // called in order from one goroutine
	StateChanged func(err error) // called when reads start to fail and when they recover
	Wait         time.Duration   // longest wait of one read for a record
	Now          func() time.Time
	// Pause returns the pause after a read, given the duration of the read.
	Pause func(took time.Duration) time.Duration
	// Recovered returns a channel that is closed when the store answers again after an outage.
	// That ends the delay after a failed read, and a read that may have been sent before. May be
	// nil.
	Recovered func() <-chan struct{}

	failing bool
}

// Run follows the topic until the context ends.
func (t *Tailer) Run(ctx context.Context) {
	next := int64(-1)
	delay := minRetryDelay
	for ctx.Err() == nil {
		var recovered <-chan struct{}
		if t.Recovered != nil {
			recovered = t.Recovered()
		}
		start := t.Now()
		n, err := t.readUntil(ctx, next, recovered)
		if ctx.Err() != nil {
			return
		}
		if err != nil && isClosed(recovered) {
			continue
		}
		t.reportState(err)
		if err != nil {
			if errors.Is(err, accessor.ErrTrimmed) {
				next = -1
				continue
			}
			sleeper.SleepUntil(ctx, delay, recovered)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		next = n
		_ = sleeper.Sleep(ctx, t.Pause(t.Now().Sub(start))) // ends early with the context only
	}
}

// readUntil reads like readNext, but gives up when recovered is closed.
func (t *Tailer) readUntil(ctx context.Context, next int64, recovered <-chan struct{}) (int64, error) {
	if recovered == nil {
		return t.readNext(ctx, next)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-recovered:
			cancel()
		case <-ctx.Done():
		}
	}()
	return t.readNext(ctx, next)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (t *Tailer) readNext(ctx context.Context, next int64) (int64, error) {
	if next < 0 {
		r, end, err := t.Newest(ctx)
		if err != nil {
			return 0, err
		}
		t.Apply(Batch{Records: r, Snapshot: true, Next: end})
		return end, nil
	}
	r, _, err := t.Read(ctx, next, t.Wait)
	if err != nil {
		return 0, err
	}
	next += int64(len(r))
	t.Apply(Batch{Records: r, Next: next})
	return next, nil
}

func (t *Tailer) reportState(err error) {
	if errors.Is(err, accessor.ErrTrimmed) {
		return
	}
	if (err != nil) == t.failing {
		return
	}
	t.failing = err != nil
	t.StateChanged(err)
}
