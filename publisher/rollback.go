package publisher

import (
	"fmt"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// Rollback returns the request that reverts a change in force: its files get their
// previous content, and files that it added are removed. The request becomes a new
// change with its own revision. The error is a ConflictError when one of the files
// was changed since.
func Rollback(s State, id string) (Request, error) {
	v, ok := s.Verdict(id)
	if !ok {
		return Request{}, fmt.Errorf("change %s is not among the last ones", id)
	}
	if v.Outcome != OutcomeInForce {
		return Request{}, fmt.Errorf("change %s was never in force: %w", id, v.Err())
	}
	r := Request{AllowRemoval: true}
	var cs []Conflict
	for _, n := range v.Files {
		f, _ := s.File(n)
		switch {
		case f.Change != id:
			cs = append(cs, Conflict{File: n, Base: v.Offset, Current: f.Revision, Publisher: f.Publisher, Change: f.Change})
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
