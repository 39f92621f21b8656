package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

// First tells the lowest offset that the log still keeps. It is called whenever
// the log has dropped records that were not read.
func (c *Claimer) First(first int64) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.First(first)
}

// Skip passes over a record that could not be decoded.
func (c *Claimer) Skip(offset int64) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Skip(offset)
	c.mark()
}

// Read applies the next record of the stream.
func (c *Claimer) Read(offset int64, appended time.Time, kind string, body json.RawMessage) error {
	r, err := DecodeRecord(kind, body)
	if err != nil {
		c.Skip(offset)
		return fmt.Errorf("read claims at offset %d: %w", offset, err)
	}
	c.Apply(offset, appended, r)
	return nil
}

// Apply is Read for a record that is decoded.
func (c *Claimer) Apply(offset int64, appended time.Time, r Record) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.table.Apply(offset, appended, r)
	m, ok := r.(Claim)
	if !ok || result == ResultNone {
		return
	}
	if p := c.pending[m.ID]; p != nil {
		c.forget(p)
		p.result <- result
	}
}

// CaughtUp says that the stream was read to its end.
func (c *Claimer) CaughtUp(int64) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = true
	c.mark()
}

// markInterval is the longest time that the stream stays without a record while
// a VM runs.
const markInterval = time.Minute

// mark appends a mark when the table does not know from what time on it has
// seen every record, and when the stream has been quiet for long: so there is a
// record of each minute that the log keeps, and a VM that starts can judge keys
// at once.
func (c *Claimer) mark() {
	now := c.Now()
	if c.marked.IsZero() {
		c.marked = now
	}
	lost := !c.table.Covered()
	quiet := now.Sub(c.marked) >= markInterval && now.Sub(c.table.Latest()) >= markInterval
	if quiet || lost && !c.lost {
		c.marked = now
		c.push(Mark{ID: c.NewID()})
	}
	c.lost = lost
}

// push puts a record into the queue and wakes Run.
func (c *Claimer) push(r Record) {
	c.queue = append(c.queue, r)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run appends what waits until ctx ends, and returns its error. One append is
// under way at a time and takes all that waits, within the budget.
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

// flush appends until nothing waits. The error is that of ctx.
func (c *Claimer) flush(ctx context.Context) error {
	for {
		if err := c.Budget.Wait(ctx); err != nil {
			return fmt.Errorf("wait for the budget of appends: %w", err)
		}
		batch := c.take()
		if len(batch) == 0 {
			return nil
		}
		if c.append(ctx, batch) == nil {
			continue
		}
		c.putBack(batch)
		if err := sleeper.Sleep(ctx, c.Retry); err != nil {
			return err
		}
	}
}

func (c *Claimer) append(ctx context.Context, batch []Record) error {
	ctx, cancel := context.WithTimeout(ctx, c.AppendTime)
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

// take removes the next batch from the queue. Claims that were given up before
// they were ever tried are left out.
func (c *Claimer) take() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(c.Now())
	n := min(len(c.queue), c.Batch)
	batch := slices.Clone(c.queue[:n])
	c.queue = slices.Delete(c.queue, 0, n)
	for _, r := range batch {
		if m, ok := r.(Claim); ok {
			c.pending[m.ID].tried = true
		}
	}
	return batch
}

// putBack returns a batch to the queue whose append failed. It may be in the log
// all the same: appending it again changes nothing, since ids are the same.
func (c *Claimer) putBack(batch []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = slices.Concat(batch, c.queue)
}

// drop removes from the queue what is not worth an append any more: claims that
// nobody waits for, and releases of claims that have become void by time.
func (c *Claimer) drop(now time.Time) {
	c.queue = slices.DeleteFunc(c.queue, func(r Record) bool {
		switch t := r.(type) {
		case Claim:
			return c.pending[t.ID] == nil
		case Release:
			return now.Sub(t.Minted) > c.table.Keep+c.Skew
		default:
			return false
		}
	})
}
