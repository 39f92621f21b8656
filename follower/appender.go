package follower

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

var (
	// ErrNotAppended means that the record is not in the stream and won't be.
	ErrNotAppended = errors.New("not appended")
	// ErrUnknown means that the record may be in the stream or may still be appended.
	ErrUnknown = errors.New("may or may not have been appended")
)

const (
	defaultBatchSize     = 100
	defaultQueueSize     = 1000
	defaultAppendTimeout = 2 * time.Second
)

// Appender writes records to one stream. Records submitted at the same time share
// an append, in no particular order. A failed append is retried until the deadline
// of each record. If the answer was lost, it is retried with the same ids once the
// stream has been read to its end without them. A record may therefore be in the
// stream twice; readers ignore the copy.
//
// A Follower of the same stream must call Observe and CaughtUp.
type Appender struct {
	Stream    string
	Write     func(ctx context.Context, records []json.RawMessage) (int64, error)
	Uncertain func(err error) bool // whether a failed Write may have taken effect; always true when nil
	BatchSize int                  // most records in one append; 100 when zero
	QueueSize int                  // most records not yet appended; 1000 when zero
	Timeout   time.Duration        // of one append; 2 s when zero
	Backoff   Backoff
	Budget    *rate.Limiter // limits appends; 20 per second when nil

	mu         sync.Mutex
	byID       map[string]*item
	queued     []*item // to be appended, oldest first
	signal     chan struct{}
	stopped    bool
	batchLimit int // most records in the next append; halved by failures so that one rejected record fails alone
}

// item is a record that is not yet known to be in the stream.
type item struct {
	id        string
	data      json.RawMessage
	state     itemState
	uncertain bool // a failed append of it may have taken effect
	waiters   int
	done      chan struct{} // closed when err is final
	err       error
}

type itemState int

const (
	itemQueued      itemState = iota // waits in the queue
	itemSent                         // in the current append
	itemUnconfirmed                  // the answer was lost; reading the stream will tell
	itemDone
)

// Append returns nil once the record is in the stream, confirmed by the log or by
// Observe. The error is ErrNotAppended when the record is certainly not there, and
// ErrUnknown otherwise. The context should have a deadline.
func (a *Appender) Append(ctx context.Context, e Envelope) error {
	b, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode record %s for stream %s: %w: %w", e.ID, a.Stream, ErrNotAppended, err)
	}
	i, err := a.add(e.ID, b)
	if err != nil {
		return err
	}
	select {
	case <-i.done:
		return i.err
	case <-ctx.Done():
		return a.abandon(i, ctx.Err())
	}
}

// add queues a record, or joins the pending one with the same id.
func (a *Appender) add(id string, data []byte) (*item, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if i, ok := a.byID[id]; ok {
		i.waiters++
		return i, nil
	}
	switch {
	case a.stopped:
		return nil, fmt.Errorf("append record %s to stream %s: appender has stopped: %w", id, a.Stream, ErrNotAppended)
	case len(a.byID) >= intOrDefault(a.QueueSize, defaultQueueSize):
		return nil, fmt.Errorf("append record %s to stream %s: queue of %d is full: %w", id, a.Stream, len(a.byID), ErrNotAppended)
	}
	i := &item{id: id, data: data, waiters: 1, done: make(chan struct{})}
	a.byID[id] = i
	a.enqueue(i)
	return i, nil
}

// init prepares a zero Appender for use.
func (a *Appender) init() {
	if a.byID == nil {
		a.byID = map[string]*item{}
		a.signal = make(chan struct{}, 1)
		a.batchLimit = intOrDefault(a.BatchSize, defaultBatchSize)
	}
}

// enqueue puts a record at the end of the queue and wakes Run.
func (a *Appender) enqueue(i *item) {
	i.state = itemQueued
	a.queued = append(a.queued, i)
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// abandon stops waiting for a record and returns what is known about it.
func (a *Appender) abandon(i *item, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.state == itemDone {
		return i.err
	}
	i.waiters--
	neverSent := i.state == itemQueued && !i.uncertain
	if i.waiters == 0 && i.state != itemSent {
		a.remove(i)
	}
	if neverSent && i.waiters == 0 {
		return fmt.Errorf("append record %s to stream %s: %w: %w", i.id, a.Stream, ErrNotAppended, cause)
	}
	return fmt.Errorf("append record %s to stream %s: %w: %w", i.id, a.Stream, ErrUnknown, cause)
}

// remove drops a record from the queue and from the pending ones.
func (a *Appender) remove(i *item) {
	i.state = itemDone
	delete(a.byID, i.id)
	a.queued = slices.DeleteFunc(a.queued, func(o *item) bool { return o == i })
}

// finish reports the result of a record to all its waiters.
func (a *Appender) finish(i *item, err error) {
	if i.state == itemDone {
		return
	}
	a.remove(i)
	i.err = err
	close(i.done)
}

// Observe completes a record that was read from the stream.
func (a *Appender) Observe(e Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i, ok := a.byID[e.ID]; ok {
		a.finish(i, nil)
	}
}

// CaughtUp is called when the stream has been read to its end. Records whose
// answer was lost and that were not read back are appended again.
func (a *Appender) CaughtUp(int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	var unconfirmed []*item
	for _, i := range a.byID {
		if i.state == itemUnconfirmed {
			unconfirmed = append(unconfirmed, i)
		}
	}
	slices.SortFunc(unconfirmed, func(i, j *item) int { return cmp.Compare(i.id, j.id) })
	for _, i := range unconfirmed {
		a.enqueue(i)
	}
}
