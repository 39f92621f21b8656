// Package publisher brings configuration into force.
//
// Publishers append changes to a stream of the log. Every reader applies the
// same rule to the records in log order, so all of them agree on what is in
// force. The rule (Apply) does no I/O and reads no clock; Publisher is the flow
// of one publication, from a set of files until every VM has them.
package publisher

import (
	"encoding/json"
	"time"

	"github.com/lacewingdoor/lacewingdoor/follower"
)

// Record is an entry of the stream.
type Record interface{ isRecord() }

// The kinds of records, as an envelope names them.
const (
	KindChange     = "change"
	KindWithdrawal = "withdrawal"
	KindSnapshot   = "snapshot"
)

// Format is the version of the rule, and of the layout of files. It is raised
// whenever the same record could be judged differently than before.
const Format = 1

// Change replaces and removes files, all of them or none.
type Change struct {
	Format    int          `json:"format"`    // that its publisher checked it by; readers of an older one can't judge it
	ID        string       `json:"id"`        // unique; the same id twice is one change
	Publisher string       `json:"publisher"` // organisation that asked for it
	Created   time.Time    `json:"created"`   // by the publisher's clock, for people to read
	Files     []FileChange `json:"files"`
}

// FileChange is what a change does to one file.
type FileChange struct {
	Name    string `json:"name"`
	Base    int64  `json:"base"`    // revision that it was made against, 0 when there was no such file
	Content string `json:"content"` // empty when removed
	Removed bool   `json:"removed"`
}

// Withdrawal makes a change void that stands later in the log, or nowhere. It
// does nothing to a change that stands before it. A publisher whose append got
// no answer uses it to settle what became of the change.
type Withdrawal struct {
	ID string `json:"id"` // of the change
}

// Snapshot is the whole state at some place in the log. A reader that found the
// beginning of the stream gone may start from it.
type Snapshot struct {
	State State `json:"state"`
}

func (Change) isRecord()     {}
func (Withdrawal) isRecord() {}
func (Snapshot) isRecord()   {}

var kinds = follower.Kinds[Record]{KindChange: Change{}, KindWithdrawal: Withdrawal{}, KindSnapshot: Snapshot{}}

// Kind returns the kind of r.
func Kind(r Record) string { return kinds.Kind(r) }

// EncodeRecord returns the kind of r and the body of its envelope.
func EncodeRecord(r Record) (string, json.RawMessage, error) { return kinds.Encode(r) }

// DecodeRecord returns the record of a kind from the body of its envelope.
func DecodeRecord(kind string, body json.RawMessage) (Record, error) { return kinds.Decode(kind, body) }
