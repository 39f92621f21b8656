// Package claimer ensures that requests with an idempotency key run at most once.
//
// Before a VM sends such a request, it appends a claim of the key to a stream of the
// log. The first claim in log order holds the key, and only its VM sends the
// request, once. Table decides, identically for all readers of the stream, who holds
// a key; Claimer manages the claims of one VM.
package claimer

import (
	"encoding/json"
	"time"

	"github.com/lacewingdoor/lacewingdoor/follower"
)

// Record is a record of the claims stream.
type Record interface{ isRecord() }

// The kinds of records as named in envelopes.
const (
	KindClaim   = "claim"
	KindRelease = "release"
	KindMark    = "mark"
)

// Claim requests a key.
type Claim struct {
	ID      string    `json:"id"`  // unique; a second record with the same id is ignored
	Key     string    `json:"key"` // hash of the key
	Minted  time.Time `json:"minted"`
	VM      string    `json:"vm"`
	Request string    `json:"request"`
}

// Release releases the key of a request that was claimed but not sent. It voids the
// claim, whichever of the two comes first in the log.
type Release struct {
	ID     string    `json:"id"`  // of the claim
	Key    string    `json:"key"` // hash of the key
	Minted time.Time `json:"minted"`
}

// Mark has no effect on keys. Its time tells a reader since when it has read every
// record.
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

// EnvelopeID returns the id for the envelope of r.
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
