package publisher

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/diff"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// ErrNothingToPublish reports that the files are already in force.
var ErrNothingToPublish = errors.New("nothing to publish")

// Request holds the files that a publisher wants in force.
type Request struct {
	Files        []decoder.File // files to add or replace
	Remove       []string       // names of files to remove; all other files stay
	Base         int64          // configuration revision that Files were made against; 0 for the current one
	AllowRemoval bool           // whether organisations and services may be removed
	DryRun       bool           // stop before anything is appended
}

// Plan is a change that is ready to append.
type Plan struct {
	Change  Change
	Config  decoder.Config // configuration with the change in force
	Diff    string         // unified diff of all files
	Changes []KeyChange    // by file and key
	Removed []string       // organisations and services that would be removed
}

// RemovalError reports that a change would remove organisations or services although
// Request.AllowRemoval is not set.
type RemovalError struct{ Names []string }

// Error returns the names that would be removed.
func (e *RemovalError) Error() string {
	return fmt.Sprintf("change would remove %q, which the request does not allow", e.Names)
}

// NewPlan returns the change that brings r into force on s. The error is
// ErrNothingToPublish, a ConflictError, a RemovalError or decoder.Problems.
func NewPlan(s State, r Request, id string, now time.Time) (Plan, error) {
	p := Plan{Change: Change{Format: Format, ID: id, Created: now}}
	for _, f := range r.Files {
		p.add(s, r, FileChange{Name: f.Name, Content: f.Content})
	}
	for _, n := range r.Remove {
		p.add(s, r, FileChange{Name: n, Removed: true})
	}
	if len(p.Change.Files) == 0 {
		return p, ErrNothingToPublish
	}
	c, err := Preview(s, p.Change)
	if err != nil {
		return p, err
	}
	p.Config = c
	if p.Changes, err = keyChanges(s, p.Change.Files); err != nil {
		return p, err
	}
	p.Removed = removedTables(s.Config(), c)
	if len(p.Removed) > 0 && !r.AllowRemoval {
		return p, &RemovalError{Names: p.Removed}
	}
	return p, nil
}

// add adds f to the change if it differs from s.
func (p *Plan) add(s State, r Request, f FileChange) {
	current, exists := s.File(f.Name)
	if exists != f.Removed && current.Content == f.Content {
		return
	}
	f.Base = current.Revision
	if r.Base > 0 && f.Base > r.Base {
		f.Base = r.Base // the file was changed since r.Base, so Apply will report a conflict
	}
	p.Change.Files = append(p.Change.Files, f)
	oldName := fmt.Sprintf("%s (revision %d)", f.Name, current.Revision)
	newName := f.Name
	if f.Removed {
		newName += " (removed)"
	}
	p.Diff += string(diff.Diff(oldName, []byte(current.Content), newName, []byte(f.Content)))
}

// removedTables returns the organisations and services that are in a but not in b.
func removedTables(a, b decoder.Config) []string {
	after := tableNames(b)
	return slices.DeleteFunc(tableNames(a), func(n string) bool { return slices.Contains(after, n) })
}

func tableNames(c decoder.Config) []string {
	var names []string
	for _, o := range c.Organisations {
		names = append(names, "organisation."+o.Name)
	}
	for _, s := range c.Services {
		names = append(names, "service."+s.Name)
	}
	return names
}
