// Package publisher publishes configuration changes to all entry VMs.
//
// Publishers append changes to a stream of the log. Every reader applies the records
// in log order with the same deterministic function, so all readers agree on the
// configuration in force. That function, Apply, does no I/O and reads no clock.
// Publisher carries out one publication, from a set of files until every VM has them.
package publisher

import (
	"encoding/json"
	"time"

	"github.com/lacewingdoor/lacewingdoor/follower"
)

// Record is an entry of the stream.
type Record interface{ isRecord() }

// The kinds of records, as in an envelope.
const (
	KindChange     = "change"
	KindWithdrawal = "withdrawal"
	KindSnapshot   = "snapshot"
)

// Format is the version of Apply and of the schema of files. It is increased whenever
// the verdict on an existing record could change.
const Format = 1

// Change atomically adds, replaces and removes files.
type Change struct {
	Format    int          `json:"format"`    // that its publisher validated it with; readers of an older format cannot evaluate it
	ID        string       `json:"id"`        // unique; a second change with the same id has no effect
	Publisher string       `json:"publisher"` // organisation that published it
	Created   time.Time    `json:"created"`   // by the publisher's clock; informational
	Files     []FileChange `json:"files"`
}

// FileChange is the change of one file.
type FileChange struct {
	Name    string `json:"name"`
	Base    int64  `json:"base"`    // revision that it was made against, 0 when the file did not exist
	Content string `json:"content"` // empty when removed
	Removed bool   `json:"removed"`
}

// Withdrawal makes a change void that is later in the log, or not in the log at all.
// It has no effect on a change that precedes it. A publisher whose append got no
// answer uses it to force a verdict on the change.
type Withdrawal struct {
	ID string `json:"id"` // of the change
}

// Snapshot is the complete state at some point of the log. A reader may start from it
// when the beginning of the stream was dropped.
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
