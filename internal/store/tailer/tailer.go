// Package tailer follows a topic of the store that keeps the newest record of
// each key: first a snapshot, then every record after it.
package tailer

import (
	"context"
	"errors"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
)

// Batch is what a Tailer has read.
type Batch struct {
	Records  []accessor.Record
	Snapshot bool  // Records name every key; others are gone
	Next     int64 // offset of the next record
}

const (
	retryMin = 100 * time.Millisecond // after a failed read
	retryMax = 800 * time.Millisecond // an outage's end is noticed within this time
)

// Tailer follows one topic. Its fields are set before Run.
type Tailer struct {
	Newest func(context.Context) ([]accessor.Record, int64, error)
	Read   func(ctx context.Context, from int64, wait time.Duration) ([]accessor.Record, int64, error)
	Take   func(Batch)     // called in order, from one goroutine
	State  func(err error) // told when reads begin to fail and when they work again
	Wait   time.Duration   // of one read
	Now    func() time.Time
	// Pause returns how long to wait after a read that took so long.
	Pause func(took time.Duration) time.Duration

	failing bool
}

// Run follows the topic until the context ends.
func (t *Tailer) Run(ctx context.Context) {
	next := int64(-1)
	retry := retryMin
	for ctx.Err() == nil {
		began := t.Now()
		n, err := t.step(ctx, next)
		if ctx.Err() != nil {
			return
		}
		t.note(err)
		if err != nil {
			if errors.Is(err, accessor.ErrTrimmed) {
				next = -1
				continue
			}
			_ = sleeper.Sleep(ctx, retry) // ends early with the context only
			retry = min(2*retry, retryMax)
			continue
		}
		retry = retryMin
		next = n
		_ = sleeper.Sleep(ctx, t.Pause(t.Now().Sub(began))) // ends early with the context only
	}
}

func (t *Tailer) step(ctx context.Context, next int64) (int64, error) {
	if next < 0 {
		r, end, err := t.Newest(ctx)
		if err != nil {
			return 0, err
		}
		t.Take(Batch{Records: r, Snapshot: true, Next: end})
		return end, nil
	}
	r, _, err := t.Read(ctx, next, t.Wait)
	if err != nil {
		return 0, err
	}
	next += int64(len(r))
	t.Take(Batch{Records: r, Next: next})
	return next, nil
}

func (t *Tailer) note(err error) {
	if errors.Is(err, accessor.ErrTrimmed) {
		return
	}
	if (err != nil) == t.failing {
		return
	}
	t.failing = err != nil
	t.State(err)
}
