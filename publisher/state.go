package publisher

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// FileState is one file in force.
type FileState struct {
	Name      string    `json:"name"`
	Revision  int64     `json:"revision"` // offset of the change that brought it
	Content   string    `json:"content"`
	Publisher string    `json:"publisher"`
	Change    string    `json:"change"`
	Created   time.Time `json:"created"`
	Previous  *Version  `json:"previous,omitempty"` // nil when the file was new

	parsed decoder.Parsed
}

// Version is an earlier content of a file.
type Version struct {
	Revision int64  `json:"revision"`
	Content  string `json:"content"`
}

// State is what one reader of the stream knows. It is immutable; its zero value
// is no state, New returns the first one.
type State struct {
	files    []FileState // sorted by name
	settled  []Settled   // the last maxSettled changes, oldest first
	config   decoder.Config
	revision int64 // offset of the last change in force
	next     int64 // offset of the next record to apply
	from     int64 // offset from which every record was seen
	changed  int64 // offset of the last change or withdrawal that was seen
	complete bool  // every record that counts was seen, or a snapshot stands for it
}

// New returns the state before the first record of the stream.
func New() State { return State{next: 1, from: 1, complete: true} }

// Revision returns the offset of the last change in force, 0 when there is none.
// It only rises.
func (s State) Revision() int64 { return s.revision }

// Config returns the configuration in force.
func (s State) Config() decoder.Config { return s.config }

// Next returns the offset of the next record to apply.
func (s State) Next() int64 { return s.next }

// Complete reports whether the state accounts for every record before Next. A
// reader that lost records goes on with what it has, and judges nothing until a
// snapshot.
func (s State) Complete() bool { return s.complete }

// Files returns the files in force, sorted by name.
func (s State) Files() []FileState { return slices.Clone(s.files) }

// File returns one file in force.
func (s State) File(name string) (FileState, bool) {
	i, ok := s.find(name)
	if !ok {
		return FileState{}, false
	}
	return s.files[i], true
}

// Verdict returns what became of a change, if it is known and among the last
// ones.
func (s State) Verdict(id string) (Verdict, bool) {
	for _, t := range slices.Backward(s.settled) {
		if t.ID == id {
			return t.Verdict, true
		}
	}
	return Verdict{}, false
}

// History returns the last changes whose fate is known, oldest first, among them
// withdrawn ones that never came.
func (s State) History() []Settled { return slices.Clone(s.settled) }

func (s State) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.files, name, func(f FileState, n string) int {
		return strings.Compare(f.Name, n)
	})
}

// WithFirst returns the state of a reader that was told the lowest offset that
// the log still keeps. When records that it had not applied are gone, it is no
// longer complete.
func (s State) WithFirst(first int64) State {
	if first <= s.next {
		return s
	}
	s.next, s.from, s.complete = first, first, false
	return s
}

// WithSkipped returns the state after a record that no reader can decode. It
// changes nothing.
func (s State) WithSkipped(offset int64) State {
	s = s.WithFirst(offset)
	s.next = max(s.next, offset+1)
	return s
}

// Best returns the state that a starting reader should go on from: the one of
// the higher revision, then one that is complete, then the one that is further.
func Best(a, b State) State {
	if a.revision != b.revision {
		return pick(a.revision > b.revision, a, b)
	}
	if a.complete != b.complete {
		return pick(a.complete, a, b)
	}
	return pick(a.next >= b.next, a, b)
}

func pick(first bool, a, b State) State {
	if first {
		return a
	}
	return b
}

// snapshotFraction is the part of the retention after which a snapshot is
// appended anew. The rest is left for outages of the log.
const snapshotFraction = 4

// NeedsSnapshot reports whether a snapshot of s must be appended now, so that a
// reader always finds a place to start from. The time appendedAt is that of the
// last exact snapshot, or of the first record of the stream when there is none;
// retention is how long the log keeps a record.
func NeedsSnapshot(now time.Time, s State, appendedAt time.Time, retention time.Duration) bool {
	if !s.complete || s.next <= 1 {
		return false
	}
	return now.Sub(appendedAt) >= retention/snapshotFraction
}

// stateJSON is the form of a state between VMs and in snapshots.
type stateJSON struct {
	Files    []FileState `json:"files"`
	Settled  []Settled   `json:"settled"`
	Revision int64       `json:"revision"`
	Next     int64       `json:"next"`
	From     int64       `json:"from"`
	Changed  int64       `json:"changed"`
	Complete bool        `json:"complete"`
}

// MarshalJSON returns the form between VMs.
func (s State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateJSON{
		Files: s.files, Settled: s.settled, Revision: s.revision,
		Next: s.next, From: s.from, Changed: s.changed, Complete: s.complete,
	})
}

// UnmarshalJSON reads the form between VMs and decodes the files anew.
func (s *State) UnmarshalJSON(b []byte) error {
	var j stateJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return fmt.Errorf("decode state of configuration: %w", err)
	}
	t := State{
		files: j.Files, settled: j.Settled, revision: j.Revision,
		next: j.Next, from: j.From, changed: j.Changed, complete: j.Complete,
	}
	for i, f := range t.files {
		t.files[i] = f.withParsed()
	}
	c, err := decodeFiles(t.files)
	if err != nil {
		return fmt.Errorf("decode files of configuration at revision %d: %w", t.revision, err)
	}
	c.Revision = t.revision
	t.config = c
	*s = t
	return nil
}

// Encode returns s in the form between VMs.
func Encode(s State) ([]byte, error) { return json.Marshal(s) }

// DecodeState returns the state of the form between VMs.
func DecodeState(b []byte) (State, error) {
	var s State
	err := json.Unmarshal(b, &s)
	return s, err
}

// withParsed returns f with its content read, so that changes of other files
// need not read it again.
func (f FileState) withParsed() FileState {
	f.parsed = decoder.Parse(decoder.File{Name: f.Name, Content: f.Content})
	return f
}

func decodeFiles(files []FileState) (decoder.Config, error) {
	ps := make([]decoder.Parsed, len(files))
	for i, f := range files {
		ps[i] = f.parsed
	}
	return decoder.Combine(ps)
}
