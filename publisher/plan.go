package publisher

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/diff"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// ErrNothing says that the files are already in force.
var ErrNothing = errors.New("nothing to publish")

// Request is what a publisher wants in force.
type Request struct {
	Files        []decoder.File // files that were not published before are added
	Remove       []string       // names of files to remove; files that are not named stay
	Base         int64          // revision of the whole that Files were made against; 0 for the present one
	AllowRemoval bool           // whether an organisation or service may disappear
	DryRun       bool           // stop before anything is appended
}

// Plan is a change that is ready to be appended.
type Plan struct {
	Change  Change
	Config  decoder.Config // that would come into force
	Diff    string         // unified, of all files
	Changes []KeyChange    // by file and key
	Dropped []string       // organisations and services that would disappear
}

// DroppedError says that a change would remove what it may not.
type DroppedError struct{ Names []string }

// Error names what would disappear.
func (e *DroppedError) Error() string {
	return fmt.Sprintf("these would disappear, which was not allowed: %q", e.Names)
}

// NewPlan returns the change that brings r into force on s. The error is
// ErrNothing, a ConflictError, a DroppedError or decoder.Problems.
func NewPlan(s State, r Request, id string, now time.Time) (Plan, error) {
	p := Plan{Change: Change{Format: Format, ID: id, Created: now}}
	for _, f := range r.Files {
		p.add(s, r, FileChange{Name: f.Name, Content: f.Content})
	}
	for _, n := range r.Remove {
		p.add(s, r, FileChange{Name: n, Removed: true})
	}
	if len(p.Change.Files) == 0 {
		return p, ErrNothing
	}
	c, err := Preview(s, p.Change)
	if err != nil {
		return p, err
	}
	p.Config = c
	if p.Changes, err = keyChanges(s, p.Change.Files); err != nil {
		return p, err
	}
	p.Dropped = dropped(s.Config(), c)
	if len(p.Dropped) > 0 && !r.AllowRemoval {
		return p, &DroppedError{Names: p.Dropped}
	}
	return p, nil
}

// add adds what differs from s to the change.
func (p *Plan) add(s State, r Request, f FileChange) {
	present, exists := s.File(f.Name)
	if exists != f.Removed && present.Content == f.Content {
		return
	}
	f.Base = present.Revision
	if r.Base > 0 && f.Base > r.Base {
		f.Base = r.Base // someone changed the file since: the rule will refuse it
	}
	p.Change.Files = append(p.Change.Files, f)
	oldName := fmt.Sprintf("%s (revision %d)", f.Name, present.Revision)
	newName := f.Name
	if f.Removed {
		newName += " (removed)"
	}
	p.Diff += string(diff.Diff(oldName, []byte(present.Content), newName, []byte(f.Content)))
}

// dropped returns the tables that are in a and not in b.
func dropped(a, b decoder.Config) []string {
	after := tables(b)
	return slices.DeleteFunc(tables(a), func(n string) bool { return slices.Contains(after, n) })
}

func tables(c decoder.Config) []string {
	var names []string
	for _, o := range c.Organisations {
		names = append(names, "organisation."+o.Name)
	}
	for _, s := range c.Services {
		names = append(names, "service."+s.Name)
	}
	return names
}
