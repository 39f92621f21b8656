package publisher

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// Reader keeps the state of one VM. One goroutine feeds it the stream in order;
// any goroutine may call State and NeedsSnapshot.
type Reader struct {
	Changed func(State) // called after each change of the revision, may be nil

	at atomic.Pointer[position]
}

// position is what a reader knows at one place of the stream.
type position struct {
	state    State
	startsAt time.Time // when the record that a new reader could start from was appended
}

// State returns the present state.
func (r *Reader) State() State {
	return r.position().state
}

func (r *Reader) position() position {
	if p := r.at.Load(); p != nil {
		return *p
	}
	return position{state: New()}
}

// First tells the lowest offset that the log still keeps. It is called before
// the first record, and whenever the log has dropped records that were not read.
func (r *Reader) First(first int64) {
	p := r.position()
	r.set(p.state.WithFirst(first), p.startsAt)
}

// Skip passes over a record that could not be decoded.
func (r *Reader) Skip(offset int64) {
	p := r.position()
	r.set(p.state.WithSkipped(offset), p.startsAt)
}

// Adopt takes the state of a peer when it is better than the present one. A
// peer that is behind in the stream is of no use, since reading does not go back.
func (r *Reader) Adopt(s State) {
	now := r.State()
	if s.next < now.next || Best(now, s).next == now.next && now.complete {
		return
	}
	r.set(Best(now, s), time.Time{})
}

// Read applies the next record. A record that cannot be decoded is the same to
// every reader, and is passed over with an error.
func (r *Reader) Read(offset int64, appended time.Time, kind string, body json.RawMessage) (Verdict, error) {
	record, err := DecodeRecord(kind, body)
	if err != nil {
		r.Skip(offset)
		return Verdict{}, fmt.Errorf("read configuration at offset %d: %w", offset, err)
	}
	p := r.position()
	s, v := Apply(p.state, offset, record)
	if v.Outcome == OutcomeSnapshot || offset == 1 {
		p.startsAt = appended
	}
	r.set(s, p.startsAt)
	return v, nil
}

// NeedsSnapshot reports whether the leader must append a snapshot now.
func (r *Reader) NeedsSnapshot(now time.Time, retention time.Duration) bool {
	p := r.position()
	return NeedsSnapshot(now, p.state, p.startsAt, retention)
}

func (r *Reader) set(s State, startsAt time.Time) {
	before := r.State().revision
	r.at.Store(&position{s, startsAt})
	if r.Changed != nil && s.revision != before {
		r.Changed(s)
	}
}
