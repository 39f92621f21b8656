package publisher

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// FileState is a file in force.
type FileState struct {
	Name      string    `json:"name"`
	Revision  int64     `json:"revision"` // offset of the last change of the file
	Content   string    `json:"content"`
	Publisher string    `json:"publisher"`
	Change    string    `json:"change"`
	Created   time.Time `json:"created"`
	Previous  *Version  `json:"previous,omitempty"` // nil when the file was new

	parsed decoder.Parsed
}

// Version is a previous version of a file.
type Version struct {
	Revision int64  `json:"revision"`
	Content  string `json:"content"`
}

// State is the state of one reader of the stream. It is immutable. The zero value is
// not valid; New returns the initial state.
type State struct {
	files      []FileState     // sorted by name
	verdicts   []DecidedChange // of the last maxVerdicts changes, oldest first
	config     decoder.Config
	revision   int64 // offset of the last change in force
	next       int64 // offset of the next record to apply
	seenFrom   int64 // offset since which no record was missed
	lastChange int64 // offset of the last change or withdrawal that was read
	complete   bool  // every change and withdrawal was read or is covered by a snapshot
}

// New returns the state before the first record of the stream.
func New() State { return State{next: 1, seenFrom: 1, complete: true} }

// Revision returns the offset of the last change in force, 0 when there is none.
// It never decreases.
func (s State) Revision() int64 { return s.revision }

// Config returns the configuration in force.
func (s State) Config() decoder.Config { return s.config }

// Next returns the offset of the next record to apply.
func (s State) Next() int64 { return s.next }

// Complete reports whether the state covers every record before Next. A reader that
// missed records keeps its configuration, and evaluates no change until it reads a
// snapshot.
func (s State) Complete() bool { return s.complete }

// Files returns the files in force, sorted by name.
func (s State) Files() []FileState { return slices.Clone(s.files) }

// File returns the file in force with a name.
func (s State) File(name string) (FileState, bool) {
	i, ok := s.find(name)
	if !ok {
		return FileState{}, false
	}
	return s.files[i], true
}

// Verdict returns the verdict on a change, if it is known and still kept.
func (s State) Verdict(id string) (Verdict, bool) {
	for _, t := range slices.Backward(s.verdicts) {
		if t.ID == id {
			return t.Verdict, true
		}
	}
	return Verdict{}, false
}

// History returns the last changes with a verdict, oldest first, including withdrawn
// changes that were never appended.
func (s State) History() []DecidedChange { return slices.Clone(s.verdicts) }

func (s State) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.files, name, func(f FileState, n string) int {
		return strings.Compare(f.Name, n)
	})
}

// WithFirstOffset returns the state of a reader whose log has dropped all records
// before first. The state becomes incomplete when records that it had not applied
// were dropped.
func (s State) WithFirstOffset(first int64) State {
	if first <= s.next {
		return s
	}
	s.next, s.seenFrom, s.complete = first, first, false
	return s
}

// WithSkipped returns the state after a record that no reader can decode, and that
// has no effect.
func (s State) WithSkipped(offset int64) State {
	s = s.WithFirstOffset(offset)
	s.next = max(s.next, offset+1)
	return s
}

// Best returns the state from which a starting reader should continue: the one with
// the higher revision, else the complete one, else the one with the higher next
// offset.
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

// snapshotRetentionDivisor divides the retention into the age of the last snapshot at
// which a new one is due. The rest of the retention is a margin for log outages.
const snapshotRetentionDivisor = 4

// NeedsSnapshot reports whether a snapshot of s must be appended now, so that new
// readers always have a record to start from. Here appendedAt is the time of the
// last exact snapshot, or of the first record of the stream when there is none, and
// retention is how long the log keeps a record.
func NeedsSnapshot(now time.Time, s State, appendedAt time.Time, retention time.Duration) bool {
	if !s.complete || s.next <= 1 {
		return false
	}
	return now.Sub(appendedAt) >= retention/snapshotRetentionDivisor
}

// stateJSON is the JSON encoding of a state between VMs and in snapshots.
type stateJSON struct {
	Files      []FileState     `json:"files"`
	Decided    []DecidedChange `json:"settled"`
	Revision   int64           `json:"revision"`
	Next       int64           `json:"next"`
	SeenFrom   int64           `json:"from"`
	LastChange int64           `json:"changed"`
	Complete   bool            `json:"complete"`
}

// MarshalJSON returns the JSON encoding that VMs exchange.
func (s State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateJSON{
		Files: s.files, Decided: s.verdicts, Revision: s.revision,
		Next: s.next, SeenFrom: s.seenFrom, LastChange: s.lastChange, Complete: s.complete,
	})
}

// UnmarshalJSON reads the JSON encoding that VMs exchange, and decodes the files again.
func (s *State) UnmarshalJSON(b []byte) error {
	var j stateJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return fmt.Errorf("decode configuration state: %w", err)
	}
	t := State{
		files: j.Files, verdicts: j.Decided, revision: j.Revision,
		next: j.Next, seenFrom: j.SeenFrom, lastChange: j.LastChange, complete: j.Complete,
	}
	for i, f := range t.files {
		t.files[i] = f.withParsed()
	}
	c, err := decodeFiles(t.files)
	if err != nil {
		return fmt.Errorf("decode configuration files at revision %d: %w", t.revision, err)
	}
	c.Revision = t.revision
	t.config = c
	*s = t
	return nil
}

// Encode returns the JSON encoding of s.
func Encode(s State) ([]byte, error) { return json.Marshal(s) }

// DecodeState returns the state of a JSON encoding.
func DecodeState(b []byte) (State, error) {
	var s State
	err := json.Unmarshal(b, &s)
	return s, err
}

// withParsed returns f with its content parsed, so that changes of other files need
// not parse it again.
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
