package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

// SetFirstOffset sets the lowest offset that the log still keeps. It must be called
// when the log has removed records that were not read.
func (c *Claimer) SetFirstOffset(first int64) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetFirstOffset(first)
}

// SkipUndecodable moves past a record that could not be decoded.
func (c *Claimer) SkipUndecodable(offset int64) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SkipUndecodable(offset)
	c.markIfNeeded()
}

// Read decodes and applies the next record of the stream.
func (c *Claimer) Read(offset int64, appended time.Time, kind string, body json.RawMessage) error {
	r, err := DecodeRecord(kind, body)
	if err != nil {
		c.SkipUndecodable(offset)
		return fmt.Errorf("read claims at offset %d: %w", offset, err)
	}
	c.Apply(offset, appended, r)
	return nil
}

// Apply applies the next record of the stream.
func (c *Claimer) Apply(offset int64, appended time.Time, r Record) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.table.Apply(offset, appended, r)
	m, ok := r.(Claim)
	if !ok || result == ResultNone {
		return
	}
	if p := c.pendingByID[m.ID]; p != nil {
		c.removePending(p)
		p.result <- result
	}
}

// CaughtUp is called when the stream has been read to its end.
func (c *Claimer) CaughtUp(int64) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.caughtUp = true
	c.markIfNeeded()
}

// markInterval is the longest time without a record in the stream while a VM runs.
const markInterval = time.Minute

// markIfNeeded queues a mark when the table does not know since when it is complete,
// or when the stream has been idle for markInterval. The log thus holds a record for
// every minute that it keeps, and a VM that starts can decide on keys immediately.
func (c *Claimer) markIfNeeded() {
	now := c.Now()
	if c.lastMark.IsZero() {
		c.lastMark = now
	}
	incomplete := !c.table.CompleteSinceKnown()
	idle := now.Sub(c.lastMark) >= markInterval && now.Sub(c.table.LogTime()) >= markInterval
	if idle || incomplete && !c.wasIncomplete {
		c.lastMark = now
		c.enqueue(Mark{ID: c.NewID()})
	}
	c.wasIncomplete = incomplete
}

// enqueue puts a record into the queue and wakes Run.
func (c *Claimer) enqueue(r Record) {
	c.queue = append(c.queue, r)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run appends queued records until ctx ends and returns its error. It makes one
// append at a time, of up to BatchSize records, within the budget.
func (c *Claimer) Run(ctx context.Context) error {
	c.init()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		if err := c.flush(ctx); err != nil {
			return err
		}
	}
}

// flush appends until the queue is empty. The error is that of ctx.
func (c *Claimer) flush(ctx context.Context) error {
	for {
		if err := c.Budget.Wait(ctx); err != nil {
			return fmt.Errorf("wait for the append budget: %w", err)
		}
		batch := c.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		if c.append(ctx, batch) == nil {
			continue
		}
		c.requeue(batch)
		if err := sleeper.Sleep(ctx, c.RetryDelay); err != nil {
			return err
		}
	}
}

func (c *Claimer) append(ctx context.Context, batch []Record) error {
	ctx, cancel := context.WithTimeout(ctx, c.AppendTimeout)
	defer cancel()
	err := c.Append(ctx, batch)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Appends++
	if err != nil {
		c.counts.Failed++
	}
	return err
}

// nextBatch removes the next batch from the queue. Claims that were abandoned before
// their first append are left out.
func (c *Claimer) nextBatch() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropObsolete(c.Now())
	n := min(len(c.queue), c.BatchSize)
	batch := slices.Clone(c.queue[:n])
	c.queue = slices.Delete(c.queue, 0, n)
	for _, r := range batch {
		if m, ok := r.(Claim); ok {
			c.pendingByID[m.ID].appendTried = true
		}
	}
	return batch
}

// requeue puts a batch whose append failed back at the front of the queue. If it did
// reach the log, readers ignore the copies because their ids are the same.
func (c *Claimer) requeue(batch []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = slices.Concat(batch, c.queue)
}

// dropObsolete removes claims that nobody waits for and releases of expired claims
// from the queue.
func (c *Claimer) dropObsolete(now time.Time) {
	c.queue = slices.DeleteFunc(c.queue, func(r Record) bool {
		switch t := r.(type) {
		case Claim:
			return c.pendingByID[t.ID] == nil
		case Release:
			return now.Sub(t.Minted) > c.table.Retention+c.Skew
		default:
			return false
		}
	})
}
