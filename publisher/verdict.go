package publisher

import (
	"fmt"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// Outcome is what became of a record.
type Outcome string

// The outcomes of a change.
const (
	OutcomeInForce   Outcome = "in-force"
	OutcomeConflict  Outcome = "conflict"  // a base is not the present revision of its file
	OutcomeInvalid   Outcome = "invalid"   // the whole would not be valid
	OutcomeWithdrawn Outcome = "withdrawn" // a withdrawal stands before the change
	OutcomeUnjudged  Outcome = "unjudged"  // this reader has not seen what came before
)

// The outcomes of any record.
const (
	OutcomeRepeated Outcome = "repeated" // its id was settled before, or its offset was applied
	OutcomeSnapshot Outcome = "snapshot" // an exact snapshot: a reader may start here
	OutcomeStale    Outcome = "stale"    // a snapshot with changes between its state and its place
	OutcomeDiffers  Outcome = "differs"  // an exact snapshot of another state: a fault
)

// Conflict is a file that had changed since a change was made.
type Conflict struct {
	File      string `json:"file"`
	Base      int64  `json:"base"`      // revision that the change was made against
	Present   int64  `json:"present"`   // revision in force, 0 when the file is gone
	Publisher string `json:"publisher"` // who brought that into force, "" when the file is gone
	Change    string `json:"change"`    // by which change
}

// String names the file, both revisions and the winner.
func (c Conflict) String() string {
	if c.Present == 0 {
		return fmt.Sprintf("%s: made against revision %d, but the file was removed", c.File, c.Base)
	}
	return fmt.Sprintf("%s: made against revision %d, but revision %d by %s (change %s) is in force",
		c.File, c.Base, c.Present, c.Publisher, c.Change)
}

// Verdict is what the rule says of a record.
type Verdict struct {
	Outcome   Outcome          `json:"outcome"`
	Offset    int64            `json:"offset"`              // of the record
	Publisher string           `json:"publisher,omitempty"` // of a change
	Created   time.Time        `json:"created,omitzero"`    // of a change, by its publisher's clock
	Files     []string         `json:"files,omitempty"`     // that a change named
	Conflicts []Conflict       `json:"conflicts,omitempty"`
	Problems  decoder.Problems `json:"problems,omitempty"` // at most maxKeptProblems
}

// Err returns nil when the change is in force, and else an error that says why
// not.
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

// ConflictError says that another change was first.
type ConflictError struct{ Conflicts []Conflict }

// Error names each file and who changed it.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = c.String()
	}
	return "another change was first: " + strings.Join(lines, "; ")
}

// Settled is a change whose fate is known.
type Settled struct {
	ID      string  `json:"id"`
	Verdict Verdict `json:"verdict"`
}
