package reducer

import (
	"encoding/json"

	"github.com/lacewingdoor/lacewingdoor/follower"
)

// The kinds of records of the control stream.
const (
	kindJobAccepted   = "job-accepted"
	kindJobCancelled  = "job-cancelled"
	kindLeaderClaimed = "leader-claimed"
	kindLeaderVouched = "leader-vouched"
	kindStartRecorded = "start-recorded"
	kindJobEnded      = "job-ended"
)

var kinds = follower.Kinds[Record]{
	kindJobAccepted:   JobAccepted{},
	kindJobCancelled:  JobCancelled{},
	kindLeaderClaimed: LeaderClaimed{},
	kindLeaderVouched: LeaderVouched{},
	kindStartRecorded: StartRecorded{},
	kindJobEnded:      JobEnded{},
}

// Encode returns the kind and the JSON body under which r is kept in the log.
func Encode(r Record) (string, json.RawMessage, error) { return kinds.Encode(r) }

// Decode returns the record of a kind and body. A kind that this version does
// not know is an error, so that the record is set aside rather than skipped.
func Decode(kind string, body json.RawMessage) (Record, error) { return kinds.Decode(kind, body) }
