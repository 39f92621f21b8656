// Package claimer makes requests with an idempotency key run at most once.
//
// Before a VM sends such a request it appends a claim of the key to a stream of
// the log. The first claim in log order holds the key, and only its VM sends the
// request, once. Table is the rule, which all readers of the stream share;
// Claimer is the flow of the claims of one VM.
package claimer

import (
	"encoding/json"
	"time"

	"github.com/lacewingdoor/lacewingdoor/follower"
)

// Record is an entry of the stream.
type Record interface{ isRecord() }

// The kinds of records, as an envelope names them.
const (
	KindClaim   = "claim"
	KindRelease = "release"
	KindMark    = "mark"
)

// Claim asks for a key.
type Claim struct {
	ID      string    `json:"id"`  // unique; the same id twice is one claim
	Key     string    `json:"key"` // hash of the key
	Minted  time.Time `json:"minted"`
	VM      string    `json:"vm"`
	Request string    `json:"request"`
}

// Release gives a key back that was claimed for a request which was not sent. It
// makes its claim void, whichever of the two stands first in the log.
type Release struct {
	ID     string    `json:"id"`  // of the claim
	Key    string    `json:"key"` // hash of the key
	Minted time.Time `json:"minted"`
}

// Mark changes nothing. Its place tells a reader from what time on it has seen
// every record.
type Mark struct {
	ID string `json:"id"`
}

func (Claim) isRecord()   {}
func (Release) isRecord() {}
func (Mark) isRecord()    {}

var kinds = follower.Kinds[Record]{KindClaim: Claim{}, KindRelease: Release{}, KindMark: Mark{}}

// Kind returns the kind of r.
func Kind(r Record) string { return kinds.Kind(r) }

// EncodeRecord returns the kind of r and the body of its envelope.
func EncodeRecord(r Record) (string, json.RawMessage, error) { return kinds.Encode(r) }

// DecodeRecord returns the record of a kind from the body of its envelope.
func DecodeRecord(kind string, body json.RawMessage) (Record, error) { return kinds.Decode(kind, body) }

// EnvelopeID returns the id that the envelope of r carries.
func EnvelopeID(r Record) string {
	switch t := r.(type) {
	case Claim:
		return t.ID
	case Release:
		return t.ID + "-" + KindRelease
	case Mark:
		return t.ID
	default:
		return ""
	}
}
