// Package claimer makes requests with an idempotency key run at most once.
//
// Before a VM sends such a request it appends a claim of the key to a stream of
// the log. The first claim in log order holds the key, and only its VM sends the
// request, once. Table is the rule, which all readers of the stream share;
// Claimer is the flow of the claims of one VM.
package claimer

import (
	"encoding/json"
	"fmt"
	"time"
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

// Kind returns the kind of r.
func Kind(r Record) string {
	switch r.(type) {
	case Claim:
		return KindClaim
	case Release:
		return KindRelease
	case Mark:
		return KindMark
	default:
		return ""
	}
}

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

// DecodeRecord returns the record of a kind from the body of its envelope.
func DecodeRecord(kind string, body json.RawMessage) (Record, error) {
	switch kind {
	case KindClaim:
		return decodeAs[Claim](kind, body)
	case KindRelease:
		return decodeAs[Release](kind, body)
	case KindMark:
		return decodeAs[Mark](kind, body)
	default:
		return nil, fmt.Errorf("decode record: kind %q is not known", kind)
	}
}

func decodeAs[T Record](kind string, body json.RawMessage) (Record, error) {
	var r T
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("decode %s: %w", kind, err)
	}
	return r, nil
}
