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
	// maxVerdicts is the number of verdicts that a state keeps. It covers more than a
	// day of changes.
	maxVerdicts = 1024
	// maxKeptProblems is the number of problems that the verdict on an invalid change
	// keeps.
	maxKeptProblems = 20
	// MaxTotalSize is the maximum size of all files together, in bytes of content.
	MaxTotalSize = 1 << 20 // limits the size of a snapshot record
)

// Apply returns the state after the record at offset, and the verdict on the record.
// Records are applied in stream order; a record that was applied before has no
// effect.
//
// A change comes into force when each base is the current revision of its file, 0
// for a file that does not exist, and the whole configuration is valid. The verdict
// depends only on the records, so all complete readers agree on it. A change of a
// newer Format makes the state incomplete: its reader must be upgraded.
func Apply(s State, offset int64, r Record) (State, Verdict) {
	if offset < s.next {
		return s, Verdict{Outcome: OutcomeRepeated, Offset: offset}
	}
	s = s.WithFirstOffset(offset)
	s.next = offset + 1
	switch t := r.(type) {
	case Change:
		s, v := s.applyChange(offset, t)
		s.lastChange = offset
		return s, v
	case Withdrawal:
		s, v := s.applyWithdrawal(offset, t)
		s.lastChange = offset
		return s, v
	case Snapshot:
		return s.applySnapshot(offset, t)
	default:
		return s, Verdict{Outcome: OutcomeRepeated, Offset: offset}
	}
}

func (s State) applyChange(offset int64, c Change) (State, Verdict) {
	if c.Format > Format {
		s.complete, s.seenFrom = false, s.next // later changes cannot be evaluated either
	}
	if !s.complete {
		return s, Verdict{Outcome: OutcomeUnjudged, Offset: offset, Publisher: c.Publisher}
	}
	if _, ok := s.Verdict(c.ID); ok {
		return s, Verdict{Outcome: OutcomeRepeated, Offset: offset, Publisher: c.Publisher}
	}
	t, v := s.evaluate(offset, c)
	return t.withVerdict(c.ID, v), v
}

// evaluate applies a change whose id was not seen before.
func (s State) evaluate(offset int64, c Change) (State, Verdict) {
	v := Verdict{Outcome: OutcomeInForce, Offset: offset, Publisher: c.Publisher, Created: c.Created}
	for _, f := range c.Files {
		v.Files = append(v.Files, f.Name)
	}
	if ps := validateChange(c); len(ps) > 0 {
		v.Outcome, v.Problems = OutcomeInvalid, ps
		return s, v
	}
	if v.Conflicts = s.conflicts(c); len(v.Conflicts) > 0 {
		v.Outcome = OutcomeConflict
		return s, v
	}
	t, err := s.withChange(offset, c)
	if err != nil {
		v.Outcome, v.Problems = OutcomeInvalid, problemsOf(err)
		return s, v
	}
	return t, v
}

// Preview returns the configuration that would be in force after c is applied to s,
// or the reason for which Apply would reject c: a ConflictError or decoder.Problems.
func Preview(s State, c Change) (decoder.Config, error) {
	t, v := s.evaluate(s.next, c)
	return t.config, v.Err()
}

// validateChange returns the problems of a change that do not depend on the state.
func validateChange(c Change) decoder.Problems {
	var ps decoder.Problems
	if c.ID == "" || len(c.Files) == 0 {
		ps = append(ps, decoder.Problem{File: "change", Line: 1, Allowed: "an id and at least one file"})
	}
	names := map[string]bool{}
	for _, f := range c.Files {
		if !validName(f.Name) || names[f.Name] {
			ps = append(ps, decoder.Problem{File: f.Name, Line: 1, Allowed: "a relative path that ends in .toml and is unique in the change"})
		}
		names[f.Name] = true
	}
	return ps
}

// maxNameLength is the maximum length of a file name, in bytes.
const maxNameLength = 256

func validName(n string) bool {
	return len(n) <= maxNameLength && strings.HasSuffix(n, ".toml") && path.Clean(n) == n &&
		!strings.HasPrefix(n, "/") && !strings.HasPrefix(n, "../")
}

func (s State) conflicts(c Change) []Conflict {
	var cs []Conflict
	for _, f := range c.Files {
		current, _ := s.File(f.Name)
		if current.Revision == f.Base {
			continue
		}
		cs = append(cs, Conflict{
			File: f.Name, Base: f.Base, Current: current.Revision,
			Publisher: current.Publisher, Change: current.Change,
		})
	}
	return cs
}

// withChange returns the state with c in force.
func (s State) withChange(offset int64, c Change) (State, error) {
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
		return s, fmt.Errorf("all files together have %d bytes, more than the limit of %d", total, MaxTotalSize)
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

// withVerdict adds the verdict on a change to the state.
func (s State) withVerdict(id string, v Verdict) State {
	kept := s.verdicts
	if len(kept) >= maxVerdicts {
		kept = kept[len(kept)-maxVerdicts+1:]
	}
	s.verdicts = append(slices.Clone(kept), DecidedChange{ID: id, Verdict: v})
	return s
}

func (s State) applyWithdrawal(offset int64, w Withdrawal) (State, Verdict) {
	v := Verdict{Outcome: OutcomeWithdrawn, Offset: offset}
	if !s.complete {
		v.Outcome = OutcomeUnjudged
		return s, v
	}
	if _, ok := s.Verdict(w.ID); ok {
		v.Outcome = OutcomeRepeated
		return s, v
	}
	return s.withVerdict(w.ID, v), v
}

// applySnapshot adopts the state of an exact snapshot when this reader lacks records.
// A snapshot is exact when no change is between its state and its own record.
func (s State) applySnapshot(offset int64, n Snapshot) (State, Verdict) {
	v := Verdict{Outcome: OutcomeSnapshot, Offset: offset}
	t := n.State
	switch {
	case !t.complete, t.next > offset, t.next <= s.lastChange, t.next < s.seenFrom:
		v.Outcome = OutcomeStale
	case t.revision < s.revision, s.complete && t.revision != s.revision:
		v.Outcome = OutcomeDiffers
	case !s.complete:
		t.next, t.seenFrom, t.lastChange = s.next, s.seenFrom, s.lastChange
		return t, v
	}
	return s, v
}
