package follower

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

// Run appends queued records until the context ends, then fails the remaining ones
// and returns the error of the context.
func (a *Appender) Run(ctx context.Context) error {
	a.mu.Lock()
	a.init()
	a.mu.Unlock()
	defer a.stop()
	b := budgetOrDefault(a.Budget)
	failures := 0
	for {
		select {
		case <-a.signal:
		case <-ctx.Done():
			return fmt.Errorf("append to stream %s: %w", a.Stream, ctx.Err())
		}
		if err := b.Wait(ctx); err != nil {
			return fmt.Errorf("append to stream %s: %w", a.Stream, err)
		}
		if a.write(ctx) {
			failures = 0
			continue
		}
		failures++
		_ = sleeper.Sleep(ctx, a.Backoff.Delay(failures))
	}
}

// write appends one batch and reports success. An empty batch is a success.
func (a *Appender) write(ctx context.Context) bool {
	batch := a.nextBatch()
	if len(batch) == 0 {
		return true
	}
	records := make([]json.RawMessage, 0, len(batch))
	for _, i := range batch {
		records = append(records, i.data)
	}
	c, cancel := context.WithTimeout(ctx, durationOrDefault(a.Timeout, defaultAppendTimeout))
	defer cancel()
	_, err := a.Write(c, records)
	a.recordResult(batch, err)
	return err == nil
}

// nextBatch removes the next batch from the queue.
func (a *Appender) nextBatch() []*item {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(a.batchLimit, len(a.queued))
	batch := a.queued[:n:n]
	a.queued = append([]*item(nil), a.queued[n:]...)
	for _, i := range batch {
		i.state = itemSent
	}
	a.wake()
	return batch
}

// wake signals Run if records are queued.
func (a *Appender) wake() {
	if len(a.queued) == 0 {
		return
	}
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// recordResult applies the result of an append. Records that were certainly not
// appended go to the end of the queue; those that may have been wait until the
// stream is read.
func (a *Appender) recordResult(batch []*item, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maxSize := intOrDefault(a.BatchSize, defaultBatchSize)
	if err == nil {
		a.batchLimit = min(2*a.batchLimit, maxSize)
	} else {
		a.batchLimit = max(1, a.batchLimit/2)
	}
	uncertain := err != nil && (a.Uncertain == nil || a.Uncertain(err))
	for _, i := range batch {
		switch {
		case i.state == itemDone:
		case err == nil:
			a.finish(i, nil)
		case i.waiters == 0:
			a.remove(i)
		case uncertain:
			i.uncertain = true
			i.state = itemUnconfirmed
		default:
			a.enqueue(i)
		}
	}
}

// stop fails all remaining records.
func (a *Appender) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, i := range a.byID {
		err := ErrNotAppended
		if i.uncertain {
			err = ErrUnknown
		}
		a.finish(i, fmt.Errorf("append record %s to stream %s: appender has stopped: %w", i.id, a.Stream, err))
	}
}
