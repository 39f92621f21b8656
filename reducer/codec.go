package reducer

import (
	"encoding/json"
	"fmt"
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

// Encode returns the kind and the JSON body under which r is kept in the log.
func Encode(r Record) (string, json.RawMessage, error) {
	k, err := kind(r)
	if err != nil {
		return "", nil, err
	}
	b, err := json.Marshal(r)
	if err != nil {
		return "", nil, fmt.Errorf("encode %s record: %w", k, err)
	}
	return k, b, nil
}

func kind(r Record) (string, error) {
	switch r.(type) {
	case JobAccepted:
		return kindJobAccepted, nil
	case JobCancelled:
		return kindJobCancelled, nil
	case LeaderClaimed:
		return kindLeaderClaimed, nil
	case LeaderVouched:
		return kindLeaderVouched, nil
	case StartRecorded:
		return kindStartRecorded, nil
	case JobEnded:
		return kindJobEnded, nil
	}
	return "", fmt.Errorf("encode record: unknown type %T", r)
}

// Decode returns the record of a kind and body. A kind that this version does
// not know is an error, so that the record is set aside rather than skipped.
func Decode(kind string, body json.RawMessage) (Record, error) {
	switch kind {
	case kindJobAccepted:
		return decode[JobAccepted](kind, body)
	case kindJobCancelled:
		return decode[JobCancelled](kind, body)
	case kindLeaderClaimed:
		return decode[LeaderClaimed](kind, body)
	case kindLeaderVouched:
		return decode[LeaderVouched](kind, body)
	case kindStartRecorded:
		return decode[StartRecorded](kind, body)
	case kindJobEnded:
		return decode[JobEnded](kind, body)
	}
	return nil, fmt.Errorf("decode control record: unknown kind %q", kind)
}

func decode[T Record](kind string, body json.RawMessage) (Record, error) {
	var r T
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("decode %s record: %w", kind, err)
	}
	return r, nil
}
