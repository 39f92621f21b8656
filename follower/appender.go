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
	// ErrNotAppended says that the record is surely not in the stream, nor will be.
	ErrNotAppended = errors.New("not appended")
	// ErrUnknown says that the record may be in the stream, or may still get there.
	ErrUnknown = errors.New("may or may not have been appended")
)

const (
	defaultBatch   = 100
	defaultQueue   = 1000
	defaultTimeout = 2 * time.Second
)

// Appender writes records to one stream. Records that are asked for at the same
// time share an append; there is no order between them. An append that failed is
// repeated until the deadline of each record. One whose answer was lost is
// repeated, with the same ids, once the stream was read to its end without them:
// a record may so be in the stream twice, which changes nothing.
//
// Observe and CaughtUp are to be called by a Follower of the same stream.
type Appender struct {
	Stream    string
	Write     func(ctx context.Context, records []json.RawMessage) (int64, error)
	Uncertain func(err error) bool // whether a failed Write may have taken effect; always, when nil
	Batch     int                  // most records of one append, 100 when zero
	Queue     int                  // most records that wait, 1000 when zero
	Timeout   time.Duration        // of one append, 2 s when zero
	Backoff   Backoff
	Budget    *rate.Limiter // of appends, 20 a second when nil

	mu      sync.Mutex
	byID    map[string]*item
	ready   []*item // to be written, oldest first
	signal  chan struct{}
	stopped bool
	size    int // records of the next append; halved by failures, so that one bad record fails alone
}

// item is a record on its way into the stream.
type item struct {
	id      string
	data    json.RawMessage
	state   itemState
	maybe   bool // an append of it has failed and may have taken effect
	waiters int
	done    chan struct{} // closed when err stands
	err     error
}

type itemState int

const (
	itemReady   itemState = iota // in the queue
	itemSent                     // in the append that is under way
	itemSettles                  // an answer was lost, and the stream is read
	itemDone
)

// Append returns nil once the record is in the stream: the log said so, or
// Observe has seen it. The error is ErrNotAppended when it is surely not there,
// ErrUnknown otherwise. The context should have a deadline.
func (a *Appender) Append(ctx context.Context, e Envelope) error {
	b, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode record %s for stream %s: %w: %w", e.ID, a.Stream, ErrNotAppended, err)
	}
	i, err := a.enter(e.ID, b)
	if err != nil {
		return err
	}
	select {
	case <-i.done:
		return i.err
	case <-ctx.Done():
		return a.leave(i, ctx.Err())
	}
}

// enter puts a record into the queue, or joins the one with the same id.
func (a *Appender) enter(id string, data []byte) (*item, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if i, ok := a.byID[id]; ok {
		i.waiters++
		return i, nil
	}
	switch {
	case a.stopped:
		return nil, fmt.Errorf("append record %s to stream %s: appender has ended: %w", id, a.Stream, ErrNotAppended)
	case len(a.byID) >= orInt(a.Queue, defaultQueue):
		return nil, fmt.Errorf("append record %s to stream %s: queue of %d is full: %w", id, a.Stream, len(a.byID), ErrNotAppended)
	}
	i := &item{id: id, data: data, waiters: 1, done: make(chan struct{})}
	a.byID[id] = i
	a.queue(i)
	return i, nil
}

// init makes what the zero value lacks.
func (a *Appender) init() {
	if a.byID == nil {
		a.byID = map[string]*item{}
		a.signal = make(chan struct{}, 1)
		a.size = orInt(a.Batch, defaultBatch)
	}
}

// queue puts a record at the end of the queue.
func (a *Appender) queue(i *item) {
	i.state = itemReady
	a.ready = append(a.ready, i)
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// leave gives up waiting for a record, and says what is known of it.
func (a *Appender) leave(i *item, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.state == itemDone {
		return i.err
	}
	i.waiters--
	known := i.state == itemReady && !i.maybe
	if i.waiters == 0 && i.state != itemSent {
		a.drop(i)
	}
	if known && i.waiters == 0 {
		return fmt.Errorf("append record %s to stream %s: %w: %w", i.id, a.Stream, ErrNotAppended, cause)
	}
	return fmt.Errorf("append record %s to stream %s: %w: %w", i.id, a.Stream, ErrUnknown, cause)
}

// drop forgets a record.
func (a *Appender) drop(i *item) {
	i.state = itemDone
	delete(a.byID, i.id)
	a.ready = slices.DeleteFunc(a.ready, func(o *item) bool { return o == i })
}

// finish tells those who wait for a record.
func (a *Appender) finish(i *item, err error) {
	if i.state == itemDone {
		return
	}
	a.drop(i)
	i.err = err
	close(i.done)
}

// Observe settles a record that was read from the stream.
func (a *Appender) Observe(e Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i, ok := a.byID[e.ID]; ok {
		a.finish(i, nil)
	}
}

// CaughtUp says that the stream was read to its end. Records whose answer was
// lost before, and which were not seen, are written again.
func (a *Appender) CaughtUp(int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	var lost []*item
	for _, i := range a.byID {
		if i.state == itemSettles {
			lost = append(lost, i)
		}
	}
	slices.SortFunc(lost, func(i, j *item) int { return cmp.Compare(i.id, j.id) })
	for _, i := range lost {
		a.queue(i)
	}
}
