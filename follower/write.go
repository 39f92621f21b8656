package follower

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

// Run appends until the context ends, tells everyone who still waits, and returns
// the error of the context.
func (a *Appender) Run(ctx context.Context) error {
	a.mu.Lock()
	a.init()
	a.mu.Unlock()
	defer a.stop()
	b := orBudget(a.Budget)
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

// write appends one batch and reports whether it did not fail.
func (a *Appender) write(ctx context.Context) bool {
	batch := a.take()
	if len(batch) == 0 {
		return true
	}
	records := make([]json.RawMessage, 0, len(batch))
	for _, i := range batch {
		records = append(records, i.data)
	}
	c, cancel := context.WithTimeout(ctx, orTime(a.Timeout, defaultTimeout))
	defer cancel()
	_, err := a.Write(c, records)
	a.settle(batch, err)
	return err == nil
}

// take takes the next batch out of the queue.
func (a *Appender) take() []*item {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(a.size, len(a.ready))
	batch := a.ready[:n:n]
	a.ready = append([]*item(nil), a.ready[n:]...)
	for _, i := range batch {
		i.state = itemSent
	}
	a.wake()
	return batch
}

// wake lets Run look again while records are ready.
func (a *Appender) wake() {
	if len(a.ready) == 0 {
		return
	}
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// settle takes the result of an append. Records that failed for sure go to the
// end of the queue; those that may have got there wait to be seen.
func (a *Appender) settle(batch []*item, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := orInt(a.Batch, defaultBatch)
	if err == nil {
		a.size = min(2*a.size, most)
	} else {
		a.size = max(1, a.size/2)
	}
	uncertain := err != nil && (a.Uncertain == nil || a.Uncertain(err))
	for _, i := range batch {
		switch {
		case i.state == itemDone:
		case err == nil:
			a.finish(i, nil)
		case i.waiters == 0:
			a.drop(i)
		case uncertain:
			i.maybe = true
			i.state = itemSettles
		default:
			a.queue(i)
		}
	}
}

// stop ends what still waits.
func (a *Appender) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, i := range a.byID {
		err := ErrNotAppended
		if i.maybe {
			err = ErrUnknown
		}
		a.finish(i, fmt.Errorf("append record %s to stream %s: appender has ended: %w", i.id, a.Stream, err))
	}
}
