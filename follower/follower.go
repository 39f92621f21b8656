// Package follower reads and appends to the streams of the platform's log.
//
// A Follower hands the records of one stream to its user, in order, through
// outages of the log. An Appender writes records to a stream in batches and
// settles those whose answer was lost.
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
	defaultLimit = 500             // records of one read
	defaultWait  = 1 * time.Second // of one read
	defaultRate  = 20              // reads or appends a second; 8 VMs with 2 busy streams stay within the several hundred that the log takes
	defaultBurst = 5
	downAfter    = 2 // failed reads in a row; a single one may be a connection that broke
)

// Envelope is the outer part of every record of every stream.
type Envelope struct {
	ID   string          `json:"id"`   // unique; a record seen twice changes nothing
	Kind string          `json:"kind"` // tells how to decode the body
	VM   string          `json:"vm"`   // that wrote it
	Body json.RawMessage `json:"body"`
}

// Entry is a record as it was read.
type Entry struct {
	Envelope

	Offset   int64
	Appended time.Time // by the clock of the log
}

// Record is a record of a stream before it is decoded.
type Record struct {
	Offset   int64
	Appended time.Time // by the clock of the log
	Data     []byte
}

// Page is the answer to one read of a stream.
type Page struct {
	First   int64 // lowest offset that is still kept
	Next    int64 // offset that the next record will get
	Records []Record
}

// Follower reads a stream from an offset on and goes on with what is appended.
// Every function is called from the goroutine of Run; those but Read may be nil.
type Follower struct {
	Stream string
	From   int64         // offset of the first record wanted; 1 when zero
	Limit  int           // records of one read, 500 when zero
	Wait   time.Duration // longest wait for a new record in one read, 1 s when zero

	Read        func(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error)
	Handle      func(Entry)                                        // each record, in order, once
	CaughtUp    func(next int64)                                   // the stream was read to its end; called after each such read
	Gap         func(from, first int64)                            // records from..first-1 are no longer kept
	Undecodable func(offset int64, data []byte, err error)         // a record that is not an envelope
	Up          func(up bool)                                      // whether the log answers; called on each change
	Failed      func(err error, failures int, retry time.Duration) // a read failed; the next one comes after retry

	Backoff Backoff
	Budget  *rate.Limiter // of reads, 20 a second when nil

	next     int64
	failures int
	up       bool
	told     bool // Up was called
}

// Run reads until the context ends and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	f.next = max(1, f.From)
	b := orBudget(f.Budget)
	for {
		if err := b.Wait(ctx); err != nil {
			return fmt.Errorf("follow stream %s: %w", f.Stream, err)
		}
		p, err := f.Read(ctx, f.next, orInt(f.Limit, defaultLimit), orTime(f.Wait, defaultWait))
		if ctx.Err() != nil {
			return fmt.Errorf("follow stream %s: %w", f.Stream, ctx.Err())
		}
		if err == nil {
			err = f.check(p)
		}
		if err != nil {
			f.fail(ctx, err)
			continue
		}
		f.failures = 0
		f.tellUp(true)
		f.take(p)
	}
}

// ErrBehind says that the log has lost records that were read from it before.
var ErrBehind = errors.New("stream ends before a record that was read from it")

// check refuses a page that can't be of this stream.
func (f *Follower) check(p Page) error {
	if p.Next < f.next {
		return fmt.Errorf("stream %s: next offset %d, read up to %d: %w", f.Stream, p.Next, f.next, ErrBehind)
	}
	return nil
}

// fail tells of a failed read and waits before the next.
func (f *Follower) fail(ctx context.Context, err error) {
	f.failures++
	d := f.Backoff.Delay(f.failures)
	if f.Failed != nil {
		f.Failed(err, f.failures, d)
	}
	if f.failures >= downAfter {
		f.tellUp(false)
	}
	_ = sleeper.Sleep(ctx, d)
}

func (f *Follower) tellUp(up bool) {
	if f.told && f.up == up {
		return
	}
	f.told, f.up = true, up
	if f.Up != nil {
		f.Up(up)
	}
}

// take hands over the records of a page.
func (f *Follower) take(p Page) {
	f.skipTo(p.First)
	for _, r := range p.Records {
		if r.Offset < f.next {
			continue
		}
		f.skipTo(r.Offset)
		f.handle(r)
		f.next = r.Offset + 1
	}
	if f.next == p.Next && f.CaughtUp != nil {
		f.CaughtUp(p.Next)
	}
}

// skipTo goes on at an offset, and tells of a gap before it.
func (f *Follower) skipTo(offset int64) {
	if offset <= f.next {
		return
	}
	if f.Gap != nil {
		f.Gap(f.next, offset)
	}
	f.next = offset
}

// handle decodes one record and hands it over.
func (f *Follower) handle(r Record) {
	var e Envelope
	err := json.Unmarshal(r.Data, &e)
	if err == nil && (e.ID == "" || e.Kind == "") {
		err = errNoEnvelope
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

var errNoEnvelope = errors.New("record lacks an id or a kind")

func orBudget(b *rate.Limiter) *rate.Limiter {
	if b == nil {
		return rate.NewLimiter(defaultRate, defaultBurst)
	}
	return b
}

func orInt(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

func orTime(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
