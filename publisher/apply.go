package publisher

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

const (
	// maxSettled is how many changes are remembered by id. It covers more than a
	// day of changes.
	maxSettled = 1024
	// maxKeptProblems is how many problems of an invalid change are remembered.
	maxKeptProblems = 20
	// MaxTotalSize is the largest whole configuration, in bytes of content.
	MaxTotalSize = 1 << 20 // so that a snapshot stays a record of moderate size
)

// Apply returns the state after the record at offset, and what became of the
// record. Records are applied in the order of the stream; one that was applied
// before changes nothing.
//
// A change takes force when each base is the present revision of its file, 0
// for a file that does not exist, and the whole is valid. The verdict depends
// on the records alone, so all complete readers agree on it. A change of a newer
// Format makes the state incomplete: its reader is to be replaced.
func Apply(s State, offset int64, r Record) (State, Verdict) {
	if offset < s.next {
		return s, Verdict{Outcome: OutcomeRepeated, Offset: offset}
	}
	s = s.WithFirst(offset)
	s.next = offset + 1
	switch t := r.(type) {
	case Change:
		s, v := s.change(offset, t)
		s.changed = offset
		return s, v
	case Withdrawal:
		s, v := s.withdrawal(offset, t)
		s.changed = offset
		return s, v
	case Snapshot:
		return s.snapshot(offset, t)
	default:
		return s, Verdict{Outcome: OutcomeRepeated, Offset: offset}
	}
}

func (s State) change(offset int64, c Change) (State, Verdict) {
	if c.Format > Format {
		s.complete, s.from = false, s.next // what follows can't be judged either
	}
	if !s.complete {
		return s, Verdict{Outcome: OutcomeUnjudged, Offset: offset, Publisher: c.Publisher}
	}
	if _, ok := s.Verdict(c.ID); ok {
		return s, Verdict{Outcome: OutcomeRepeated, Offset: offset, Publisher: c.Publisher}
	}
	t, v := s.judge(offset, c)
	return t.settle(c.ID, v), v
}

// judge applies the rule to a change that was not seen before.
func (s State) judge(offset int64, c Change) (State, Verdict) {
	v := Verdict{Outcome: OutcomeInForce, Offset: offset, Publisher: c.Publisher, Created: c.Created}
	for _, f := range c.Files {
		v.Files = append(v.Files, f.Name)
	}
	if ps := checkShape(c); len(ps) > 0 {
		v.Outcome, v.Problems = OutcomeInvalid, ps
		return s, v
	}
	if v.Conflicts = s.conflicts(c); len(v.Conflicts) > 0 {
		v.Outcome = OutcomeConflict
		return s, v
	}
	t, err := s.withFiles(offset, c)
	if err != nil {
		v.Outcome, v.Problems = OutcomeInvalid, problemsOf(err)
		return s, v
	}
	return t, v
}

// Preview returns the configuration that c would bring into force on s, or the
// error that Apply would find: a ConflictError or decoder.Problems.
func Preview(s State, c Change) (decoder.Config, error) {
	t, v := s.judge(s.next, c)
	return t.config, v.Err()
}

// checkShape returns what is wrong with a change whatever the state.
func checkShape(c Change) decoder.Problems {
	var ps decoder.Problems
	if c.ID == "" || len(c.Files) == 0 {
		ps = append(ps, decoder.Problem{File: "change", Line: 1, Allowed: "an id and at least one file"})
	}
	names := map[string]bool{}
	for _, f := range c.Files {
		if !validName(f.Name) || names[f.Name] {
			ps = append(ps, decoder.Problem{File: f.Name, Line: 1, Allowed: "a relative path that ends in .toml, once"})
		}
		names[f.Name] = true
	}
	return ps
}

// maxNameLength is the longest name of a file, in bytes.
const maxNameLength = 256

func validName(n string) bool {
	return len(n) <= maxNameLength && strings.HasSuffix(n, ".toml") && path.Clean(n) == n &&
		!strings.HasPrefix(n, "/") && !strings.HasPrefix(n, "../")
}

func (s State) conflicts(c Change) []Conflict {
	var cs []Conflict
	for _, f := range c.Files {
		present, _ := s.File(f.Name)
		if present.Revision == f.Base {
			continue
		}
		cs = append(cs, Conflict{
			File: f.Name, Base: f.Base, Present: present.Revision,
			Publisher: present.Publisher, Change: present.Change,
		})
	}
	return cs
}

// withFiles returns the state with the files of c in force.
func (s State) withFiles(offset int64, c Change) (State, error) {
	s.files = slices.Clone(s.files)
	for _, f := range c.Files {
		n := FileState{
			Name: f.Name, Revision: offset, Content: f.Content,
			Publisher: c.Publisher, Change: c.ID, Created: c.Created,
		}
		i, ok := s.find(f.Name)
		if ok {
			n.Previous = &Version{Revision: s.files[i].Revision, Content: s.files[i].Content}
			s.files = slices.Delete(s.files, i, i+1)
		}
		if !f.Removed {
			s.files = slices.Insert(s.files, i, n.withParsed())
		}
	}
	total := 0
	for _, f := range s.files {
		total += len(f.Content)
	}
	if total > MaxTotalSize {
		return s, fmt.Errorf("all files together have %d bytes, more than %d", total, MaxTotalSize)
	}
	config, err := decodeFiles(s.files)
	if err != nil {
		return s, err
	}
	config.Revision = offset
	s.config, s.revision = config, offset
	return s, nil
}

func problemsOf(err error) decoder.Problems {
	var ps decoder.Problems
	if errors.As(err, &ps) {
		return ps[:min(len(ps), maxKeptProblems)]
	}
	return decoder.Problems{{File: "change", Line: 1, Allowed: "a smaller change: " + err.Error()}}
}

// settle remembers what became of a change.
func (s State) settle(id string, v Verdict) State {
	kept := s.settled
	if len(kept) >= maxSettled {
		kept = kept[len(kept)-maxSettled+1:]
	}
	s.settled = append(slices.Clone(kept), Settled{ID: id, Verdict: v})
	return s
}

func (s State) withdrawal(offset int64, w Withdrawal) (State, Verdict) {
	v := Verdict{Outcome: OutcomeWithdrawn, Offset: offset}
	if !s.complete {
		v.Outcome = OutcomeUnjudged
		return s, v
	}
	if _, ok := s.Verdict(w.ID); ok {
		v.Outcome = OutcomeRepeated
		return s, v
	}
	return s.settle(w.ID, v), v
}

// snapshot takes the state of a snapshot when this reader lacks records and the
// snapshot is exact: no change stands between its state and its place.
func (s State) snapshot(offset int64, n Snapshot) (State, Verdict) {
	v := Verdict{Outcome: OutcomeSnapshot, Offset: offset}
	t := n.State
	switch {
	case !t.complete, t.next > offset, t.next <= s.changed, t.next < s.from:
		v.Outcome = OutcomeStale
	case t.revision < s.revision, s.complete && t.revision != s.revision:
		v.Outcome = OutcomeDiffers
	case !s.complete:
		t.next, t.from, t.changed = s.next, s.from, s.changed
		return t, v
	}
	return s, v
}
