package follower

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"golang.org/x/time/rate"
)

var (
	// ErrNotAppended says that the record is surely not in the stream, nor will be.
	ErrNotAppended = errors.New("not appended")
	// ErrUnknown says that the record may be in the stream, or may still get there.
	ErrUnknown = errors.New("may or may not have been appended")
)

// Appender writes records to one stream. Records that are asked for at the same
// time share an append. An append that fails, or whose answer is lost, is
// repeated with the same ids until the deadline of each record.
type Appender struct {
	Stream    string
	Write     func(ctx context.Context, records []json.RawMessage) (int64, error)
	Uncertain func(err error) bool // whether a failed Write may have taken effect; always, when nil
	Batch     int                  // most records of one append, 100 when zero
	Queue     int                  // most records that wait, 1000 when zero
	Timeout   time.Duration        // of one append, 2 s when zero
	Backoff   Backoff
	Budget    *rate.Limiter // of appends, 20 a second when nil
}

// Run appends until the context ends and returns its error.
func (a *Appender) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Append returns nil once the record is in the stream: the log said so, or
// Observe has seen it. The error is ErrNotAppended when it is surely not there,
// ErrUnknown otherwise. The context needs a deadline.
func (a *Appender) Append(ctx context.Context, e Envelope) error { return ErrNotAppended }

// Observe tells the appender of a record that was read from the stream. It is to
// be called for every entry that a Follower of the stream handles.
func (a *Appender) Observe(e Entry) {}
