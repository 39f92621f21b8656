package publisher

import (
	"fmt"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// Outcome is the result of applying a record.
type Outcome string

// The outcomes of a change.
const (
	OutcomeInForce   Outcome = "in-force"
	OutcomeConflict  Outcome = "conflict"  // a base is not the current revision of its file
	OutcomeInvalid   Outcome = "invalid"   // the resulting configuration would be invalid
	OutcomeWithdrawn Outcome = "withdrawn" // a withdrawal precedes the change
	OutcomeUnjudged  Outcome = "unjudged"  // not evaluated: this reader lacks earlier records or does not support the format
)

// The outcomes of any record.
const (
	OutcomeRepeated Outcome = "repeated" // its id already has a verdict, or its offset was applied before
	OutcomeSnapshot Outcome = "snapshot" // an exact snapshot, from which a reader may start
	OutcomeStale    Outcome = "stale"    // a snapshot that is not exact: changes precede it that its state does not cover
	OutcomeDiffers  Outcome = "differs"  // an exact snapshot whose state differs from this reader's, which indicates a fault
)

// Conflict is a file that was changed after the base revision of a change.
type Conflict struct {
	File      string `json:"file"`
	Base      int64  `json:"base"`      // revision that the change was made against
	Current   int64  `json:"present"`   // revision in force, 0 when the file was removed
	Publisher string `json:"publisher"` // publisher of the revision in force, "" when the file was removed
	Change    string `json:"change"`    // id of the change that is in force
}

// String returns the file, both revisions, and the publisher and change in force.
func (c Conflict) String() string {
	if c.Current == 0 {
		return fmt.Sprintf("%s: made against revision %d, but the file was removed", c.File, c.Base)
	}
	return fmt.Sprintf("%s: made against revision %d, but revision %d by %s (change %s) is in force",
		c.File, c.Base, c.Current, c.Publisher, c.Change)
}

// Verdict is the decision of Apply on a record.
type Verdict struct {
	Outcome   Outcome          `json:"outcome"`
	Offset    int64            `json:"offset"`              // of the record
	Publisher string           `json:"publisher,omitempty"` // of a change
	Created   time.Time        `json:"created,omitzero"`    // of a change, by its publisher's clock
	Files     []string         `json:"files,omitempty"`     // names of the files of a change
	Conflicts []Conflict       `json:"conflicts,omitempty"`
	Problems  decoder.Problems `json:"problems,omitempty"` // at most maxKeptProblems
}

// Err returns nil when the change is in force, and otherwise the reason why it is not.
func (v Verdict) Err() error {
	switch v.Outcome {
	case OutcomeInForce:
		return nil
	case OutcomeConflict:
		return &ConflictError{Conflicts: v.Conflicts}
	case OutcomeInvalid:
		return v.Problems
	case OutcomeWithdrawn:
		return fmt.Errorf("change at offset %d is not in force: %w", v.Offset, ErrWithdrawn)
	default:
		return fmt.Errorf("change at offset %d is not in force: %s", v.Offset, v.Outcome)
	}
}

// ConflictError reports that another change of the same files came first.
type ConflictError struct{ Conflicts []Conflict }

// Error returns each file with the change that is in force.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = c.String()
	}
	return "another change was first: " + strings.Join(lines, "; ")
}

// DecidedChange is a change with its verdict.
type DecidedChange struct {
	ID      string  `json:"id"`
	Verdict Verdict `json:"verdict"`
}
