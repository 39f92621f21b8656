package relayer

import (
	"errors"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
)

// attempts is what is known of one call after attempts on several routes, none of which the
// store has answered. The zero value has no attempts. Its error can't be replaced by that of a
// later attempt: a call that may have been carried out must not be reported as not done.
type attempts struct {
	err error
}

// with returns the attempts with one more, which failed with err. After accessor.ErrNotDone it
// was certainly not carried out, after any other error it may have been.
func (a attempts) with(err error) attempts {
	if a.err == nil || errors.Is(a.err, accessor.ErrNotDone) {
		return attempts{err}
	}
	return a
}

// result returns the error that says least about whether the call was carried out.
func (a attempts) result() error { return a.err }
