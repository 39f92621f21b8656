package publisher

import (
	"fmt"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// Rollback returns the request that undoes a change in force: its files get the
// content that they had before, and those that it added are removed. It is a new
// change with a revision of its own. The error is a ConflictError when one of the
// files was changed since.
func Rollback(s State, id string) (Request, error) {
	v, ok := s.Verdict(id)
	if !ok {
		return Request{}, fmt.Errorf("change %s is not among the last ones", id)
	}
	if v.Outcome != OutcomeInForce {
		return Request{}, fmt.Errorf("change %s never was in force: %w", id, v.Err())
	}
	r := Request{AllowRemoval: true}
	var cs []Conflict
	for _, n := range v.Files {
		f, _ := s.File(n)
		switch {
		case f.Change != id:
			cs = append(cs, Conflict{File: n, Base: v.Offset, Present: f.Revision, Publisher: f.Publisher, Change: f.Change})
		case f.Previous == nil:
			r.Remove = append(r.Remove, n)
		default:
			r.Files = append(r.Files, decoder.File{Name: n, Content: f.Previous.Content})
		}
	}
	if len(cs) > 0 {
		return Request{}, &ConflictError{Conflicts: cs}
	}
	return r, nil
}
