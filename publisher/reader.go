package publisher

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// Reader holds the configuration state of one VM. One goroutine passes it the records
// in stream order; any goroutine may call State and NeedsSnapshot.
type Reader struct {
	Changed func(State) // called after each change of the revision; may be nil

	current atomic.Pointer[position]
}

// position is the state of a reader at one point of the stream.
type position struct {
	state          State
	baseAppendedAt time.Time // when the last record from which a new reader could start was appended
}

// State returns the current state.
func (r *Reader) State() State {
	return r.position().state
}

func (r *Reader) position() position {
	if p := r.current.Load(); p != nil {
		return *p
	}
	return position{state: New()}
}

// SetFirstOffset sets the lowest offset that the log still keeps. It is called before
// the first record, and whenever the log has dropped records that were not read.
func (r *Reader) SetFirstOffset(first int64) {
	p := r.position()
	r.set(p.state.WithFirstOffset(first), p.baseAppendedAt)
}

// SkipUndecodable skips a record that could not be decoded.
func (r *Reader) SkipUndecodable(offset int64) {
	p := r.position()
	r.set(p.state.WithSkipped(offset), p.baseAppendedAt)
}

// Adopt replaces the state by that of a peer when Best prefers it. A peer that is
// behind in the stream is ignored, since reading never goes back.
func (r *Reader) Adopt(s State) {
	current := r.State()
	if s.next < current.next || Best(current, s).next == current.next && current.complete {
		return
	}
	r.set(Best(current, s), time.Time{})
}

// Read applies the next record. A record that cannot be decoded is skipped with an
// error; no reader can decode it, so all of them skip it.
func (r *Reader) Read(offset int64, appended time.Time, kind string, body json.RawMessage) (Verdict, error) {
	record, err := DecodeRecord(kind, body)
	if err != nil {
		r.SkipUndecodable(offset)
		return Verdict{}, fmt.Errorf("read configuration at offset %d: %w", offset, err)
	}
	p := r.position()
	s, v := Apply(p.state, offset, record)
	if v.Outcome == OutcomeSnapshot || offset == 1 {
		p.baseAppendedAt = appended
	}
	r.set(s, p.baseAppendedAt)
	return v, nil
}

// NeedsSnapshot reports whether the leader must append a snapshot now.
func (r *Reader) NeedsSnapshot(now time.Time, retention time.Duration) bool {
	p := r.position()
	return NeedsSnapshot(now, p.state, p.baseAppendedAt, retention)
}

func (r *Reader) set(s State, baseAppendedAt time.Time) {
	previous := r.State().revision
	r.current.Store(&position{s, baseAppendedAt})
	if r.Changed != nil && s.revision != previous {
		r.Changed(s)
	}
}
