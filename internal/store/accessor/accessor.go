// Package accessor says what access to the store is: topics that keep the newest
// record of each key, and the errors of appends and reads.
package accessor

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a record of a keyed topic. One without a value drops its key.
type Record struct {
	Offset int64  `json:"offset"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
}

// Writer names the one writer of a topic; an append of an older epoch is refused.
type Writer struct {
	Name     string `json:"name"`
	Epoch    int64  `json:"epoch"`
	Sequence int64  `json:"sequence"` // of this append, from 0 in each epoch
}

// Anywhere is an offset at which every append is made.
const Anywhere = -1

// Append asks for records to be appended to a topic, all or none. Without records
// it only sets the epoch of the writer. The same append may be made twice: its
// writer's sequence number, its offset or its keys keep the second from changing
// anything.
type Append struct {
	Topic   string   `json:"topic"`
	Records []Record `json:"records,omitempty"`
	At      int64    `json:"at"` // offset at which the topic must end, or Anywhere
	Writer  Writer   `json:"writer"`
}

// The errors of access, beside those of transport. An append with another error
// may have been made, or be made later.
var (
	ErrNotDone = errors.New("not carried out by the store")
	ErrMoved   = errors.New("the topic has moved on")
	ErrFenced  = errors.New("a newer writer has taken over")
	ErrTrimmed = errors.New("the records are gone") // a snapshot has what matters of them
)

// SequenceError says which sequence number the store expects of a writer.
type SequenceError struct{ Expected int64 }

// Error returns the message.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d", e.Expected)
}

// Answered reports whether err is an answer of the store about the call, and not
// a failure to get one.
func Answered(err error) bool {
	var s *SequenceError
	return err == nil || errors.Is(err, ErrMoved) || errors.Is(err, ErrFenced) || errors.Is(err, ErrTrimmed) || errors.As(err, &s)
}

// Access is a way to the store.
type Access struct {
	// Append returns the offset of the first record.
	Append func(context.Context, Append) (int64, error)
	// Read returns the records from an offset on, and the offset after the last
	// one in the topic. It waits for a record for so long.
	Read func(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error)
	// Newest returns the newest record of each key, and the offset from which on
	// Read shows what the answer may lack.
	Newest func(ctx context.Context, topic string) ([]Record, int64, error)
}
