package reducer

import (
	"encoding/json"

	"github.com/lacewingdoor/lacewingdoor/follower"
)

// Kinds of the records of the control stream.
const (
	kindJobAccepted   = "job-accepted"
	kindJobCancelled  = "job-cancelled"
	kindLeaderClaimed = "leader-claimed"
	kindTermConfirmed = "leader-vouched"
	kindStartRecorded = "start-recorded"
	kindJobEnded      = "job-ended"
)

var kinds = follower.Kinds[Record]{
	kindJobAccepted:   JobAccepted{},
	kindJobCancelled:  JobCancelled{},
	kindLeaderClaimed: LeaderClaimed{},
	kindTermConfirmed: TermConfirmed{},
	kindStartRecorded: StartRecorded{},
	kindJobEnded:      JobEnded{},
}

// Encode returns the kind and the JSON body that represent r in the log.
func Encode(r Record) (string, json.RawMessage, error) { return kinds.Encode(r) }

// Decode returns the record of a kind and body. An unknown kind is an error, so that
// a record of a newer version is set aside rather than skipped.
func Decode(kind string, body json.RawMessage) (Record, error) { return kinds.Decode(kind, body) }
