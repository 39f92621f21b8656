// Package follower reads from and appends to streams of the platform's log.
//
// A Follower delivers the records of one stream in order and keeps reading
// through outages of the log. An Appender writes records in batches and finds out
// from the stream whether a record whose answer was lost was appended.
package follower

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

const (
	defaultReadLimit  = 500             // records per read
	defaultReadWait   = 1 * time.Second // longest wait per read
	defaultRate       = 20              // reads or appends per second; 8 VMs with 2 busy streams stay below the several hundred that the log accepts
	defaultBurst      = 5
	failuresUntilDown = 2 // consecutive; a single failure may be a broken connection
)

// Envelope wraps the body of every record in every stream.
type Envelope struct {
	ID   string          `json:"id"`   // unique; readers ignore a second record with the same id
	Kind string          `json:"kind"` // selects the type of the body
	VM   string          `json:"vm"`   // writer of the record
	Body json.RawMessage `json:"body"`
}

// Entry is a decoded record and its position in the stream.
type Entry struct {
	Envelope

	Offset   int64
	Appended time.Time // by the log's clock
}

// Record is an undecoded record of a stream.
type Record struct {
	Offset   int64
	Appended time.Time // by the log's clock
	Data     []byte
}

// Page is the result of one read of a stream.
type Page struct {
	First   int64 // lowest offset that the log still keeps
	Next    int64 // offset of the next record to be appended
	Records []Record
}

// Follower reads a stream from a given offset and follows new records. All
// callbacks run on the goroutine of Run; all but Read may be nil.
type Follower struct {
	Stream string
	From   int64         // first offset to read; 1 when zero
	Limit  int           // most records in one read; 500 when zero
	Wait   time.Duration // longest wait for a new record in one read; 1 s when zero

	Read                func(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error)
	Handle              func(Entry)                                        // receives each record once, in order
	CaughtUp            func(next int64)                                   // called after each read that reached the end of the stream
	Gap                 func(from, first int64)                            // records from..first-1 are missing from the log
	Undecodable         func(offset int64, data []byte, err error)         // receives a record that is not a valid envelope
	AvailabilityChanged func(up bool)                                      // called when the log becomes available or unavailable
	ReadFailed          func(err error, failures int, retry time.Duration) // called after a failed read; the next read follows after retry

	Backoff Backoff
	Budget  *rate.Limiter // limits reads; 20 per second when nil

	next       int64
	failures   int
	up         bool
	upReported bool // AvailabilityChanged has been called
}

// Run reads until the context ends and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	f.next = max(1, f.From)
	b := budgetOrDefault(f.Budget)
	for {
		if err := b.Wait(ctx); err != nil {
			return fmt.Errorf("follow stream %s: %w", f.Stream, err)
		}
		p, err := f.Read(ctx, f.next, intOrDefault(f.Limit, defaultReadLimit), durationOrDefault(f.Wait, defaultReadWait))
		if ctx.Err() != nil {
			return fmt.Errorf("follow stream %s: %w", f.Stream, ctx.Err())
		}
		if err == nil {
			err = f.checkPage(p)
		}
		if err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.failures = 0
		f.reportUp(true)
		f.handlePage(p)
	}
}

// ErrTruncated means that the log has lost records that were already read.
var ErrTruncated = errors.New("stream ends before a record that was already read")

// checkPage rejects a page that ends before the records already read.
func (f *Follower) checkPage(p Page) error {
	if p.Next < f.next {
		return fmt.Errorf("stream %s: next offset is %d, expected at least %d: %w", f.Stream, p.Next, f.next, ErrTruncated)
	}
	return nil
}

// handleFailure reports a failed read and waits before the next one.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	f.failures++
	d := f.Backoff.Delay(f.failures)
	if f.ReadFailed != nil {
		f.ReadFailed(err, f.failures, d)
	}
	if f.failures >= failuresUntilDown {
		f.reportUp(false)
	}
	_ = sleeper.Sleep(ctx, d)
}

func (f *Follower) reportUp(up bool) {
	if f.upReported && f.up == up {
		return
	}
	f.upReported, f.up = true, up
	if f.AvailabilityChanged != nil {
		f.AvailabilityChanged(up)
	}
}

// handlePage delivers the records of a page.
func (f *Follower) handlePage(p Page) {
	f.skipTo(p.First)
	for _, r := range p.Records {
		if r.Offset < f.next {
			continue
		}
		f.skipTo(r.Offset)
		f.handleRecord(r)
		f.next = r.Offset + 1
	}
	if f.next == p.Next && f.CaughtUp != nil {
		f.CaughtUp(p.Next)
	}
}

// skipTo moves forward to an offset and reports the gap before it.
func (f *Follower) skipTo(offset int64) {
	if offset <= f.next {
		return
	}
	if f.Gap != nil {
		f.Gap(f.next, offset)
	}
	f.next = offset
}

// handleRecord decodes and delivers one record.
func (f *Follower) handleRecord(r Record) {
	var e Envelope
	err := json.Unmarshal(r.Data, &e)
	if err == nil && (e.ID == "" || e.Kind == "") {
		err = errIncompleteEnvelope
	}
	if err != nil {
		if f.Undecodable != nil {
			f.Undecodable(r.Offset, r.Data, fmt.Errorf("decode record %d of stream %s: %w", r.Offset, f.Stream, err))
		}
		return
	}
	if f.Handle != nil {
		f.Handle(Entry{Envelope: e, Offset: r.Offset, Appended: r.Appended})
	}
}

var errIncompleteEnvelope = errors.New("envelope has no id or no kind")

func budgetOrDefault(b *rate.Limiter) *rate.Limiter {
	if b == nil {
		return rate.NewLimiter(defaultRate, defaultBurst)
	}
	return b
}

func intOrDefault(n, fallback int) int {
	if n == 0 {
		return fallback
	}
	return n
}

func durationOrDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
