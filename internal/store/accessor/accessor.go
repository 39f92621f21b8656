// Package accessor defines the interface to the store: compacted topics, which keep
// the newest record of each key, and the errors of appends and reads.
package accessor

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a record of a compacted topic. A record without a value deletes its key.
type Record struct {
	Offset int64  `json:"offset"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
}

// Writer identifies the only writer of a topic. The store rejects appends of an older
// epoch.
type Writer struct {
	Name     string `json:"name"`
	Epoch    int64  `json:"epoch"`
	Sequence int64  `json:"sequence"` // of this append, starts at 0 in each epoch
}

// AnyOffset as the expected end of a topic makes an append unconditional.
const AnyOffset = -1

// Append is a request to append all of the records to a topic or none. Without
// records it only sets the epoch of the writer. An append may be retried: the sequence
// number of the writer, the expected end or the keys make it idempotent.
type Append struct {
	Topic       string   `json:"topic"`
	Records     []Record `json:"records,omitempty"`
	ExpectedEnd int64    `json:"at"` // expected end offset of the topic, or AnyOffset
	Writer      Writer   `json:"writer"`
}

// The errors that calls return besides transport errors. After any other error an
// append may have been carried out, or may still be.
var (
	ErrNotDone        = errors.New("the store did not carry out the call")
	ErrOffsetMismatch = errors.New("the end of the topic is not at the expected offset")
	ErrFenced         = errors.New("a writer with a newer epoch has taken over")
	ErrTrimmed        = errors.New("the records were trimmed") // a snapshot has the newest record of each key
)

// SequenceError reports a wrong sequence number and the one that the store expects.
type SequenceError struct{ Expected int64 }

// Error returns the error message.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d", e.Expected)
}

// Answered reports whether the store handled the call: err is nil or an error of the
// store about the call, not a failure to reach the store.
func Answered(err error) bool {
	var s *SequenceError
	return err == nil || errors.Is(err, ErrOffsetMismatch) || errors.Is(err, ErrFenced) || errors.Is(err, ErrTrimmed) || errors.As(err, &s)
}

// Client holds the functions that call the store, directly or through a peer. The topic of a
// call is the name of a topic, or of one of its partitions as Partition returns it.
type Client struct {
	// Append returns the offset of the first record.
	Append func(context.Context, Append) (int64, error)
	// Read returns the records from an offset on and the end offset of the topic.
	// It waits up to the given time for a record.
	Read func(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error)
	// Newest returns the newest record of each key, and the offset from which Read
	// returns the records that the snapshot may lack.
	Newest func(ctx context.Context, topic string) ([]Record, int64, error)
	// NewestPage returns a page of what Newest returns: the records of keys after the given
	// one, empty for the first page, and whether more follow. Pages are not a snapshot: the end
	// offset of the first one counts. Relayer clients have none.
	NewestPage func(ctx context.Context, topic, after string) (Page, error)
}

// Page is a page of the newest records of a topic.
type Page struct {
	Records []Record
	End     int64 // offset from which Read returns the records that this page may lack
	More    bool
}

// ReadPages returns all records of the pages of a topic, and the end offset of the first one.
func ReadPages(ctx context.Context, topic string, page func(ctx context.Context, topic, after string) (Page, error)) ([]Record, int64, error) {
	var all []Record
	end := int64(-1)
	after := ""
	for {
		p, err := page(ctx, topic, after)
		if err != nil {
			return nil, 0, err
		}
		if end < 0 {
			end = p.End
		}
		all = append(all, p.Records...)
		if !p.More || len(p.Records) == 0 {
			return all, end, nil
		}
		after = p.Records[len(p.Records)-1].Key
	}
}
