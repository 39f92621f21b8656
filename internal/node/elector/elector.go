// Package elector decides when an entry VM claims or renews the leadership. It reads no
// clock and performs no I/O.
package elector

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"
)

const (
	renewInterval  = 800 * time.Millisecond  // between two renewals by the leader
	leaderTimeout  = 2600 * time.Millisecond // three missed renewals and the delay of a late one
	claimSpread    = 400 * time.Millisecond  // range of the per-VM delay that keeps VMs from claiming at once
	vacantDelay    = 150 * time.Millisecond  // without a leader: there is no timeout, only the spread separates the claims
	vacantSpread   = 300 * time.Millisecond
	largestVMCores = 0.8                    // CPU share of the largest VMs, in cores
	claimInterval  = 500 * time.Millisecond // between two claims by one VM
	releaseRetry   = 200 * time.Millisecond // between two attempts to release
)

// Claim is a record of the leadership topic: a claim, a renewal or a release. The epoch
// is the offset of the claim record plus one; renewals and the release repeat it.
type Claim struct {
	Holder   string `json:"holder"`
	Instance string `json:"life"`               // identifies the holder's process
	Epoch    int64  `json:"epoch,omitempty"`    // 0 in the claim itself
	Number   int64  `json:"number,omitempty"`   // counts the claims and renewals by the holder's process
	Released bool   `json:"released,omitempty"` // the holder is shutting down
	Parts    int    `json:"parts,omitempty"`    // the holder reads jobs from partitions 0 to Parts-1; 0 from a version that knows only partition 0
}

// Encode returns the claim as the value of a record.
func (c Claim) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode claim of %s: %w", c.Holder, err)
	}
	return b, nil
}

// Decode decodes the value of a record. The offset sets the epoch of a new claim.
func Decode(offset int64, value []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return c, fmt.Errorf("decode claim at offset %d: %w", offset, err)
	}
	if c.Epoch == 0 {
		c.Epoch = offset + 1
	}
	return c, nil
}

// Action is what an entry VM has to do next.
type Action int

// The actions.
const (
	NoAction Action = iota
	MakeClaim
	Renew
	Release
)

// Elector tracks the leadership topic for one VM.
type Elector struct {
	Self     string
	Instance string
	Cores    float64 // the VM's CPU share in cores, 0 if unknown; larger VMs claim first

	latest     Claim
	nextOffset int64     // offset at which the topic ends
	caughtUp   bool      // the topic was read to its end at least once
	heardAt    time.Time // when the leader last gave a sign of life
	actedAt    time.Time // when Decide last returned an action
	storeDown  bool
	leaving    bool
	endedEpoch int64     // leadership of this process that has ended without a newer one
	triedAt    time.Time // when Decide last returned Release
}

// Apply applies a record of the topic. A record of an older epoch only moves the end.
func (e *Elector) Apply(now time.Time, offset int64, c Claim) {
	if offset+1 > e.nextOffset {
		e.nextOffset = offset + 1
	}
	if c.Epoch < e.latest.Epoch {
		return
	}
	e.latest = c
	e.heardAt = now
}

// CaughtUp records that the topic was read up to an offset.
func (e *Elector) CaughtUp(now time.Time, next int64) {
	if !e.caughtUp {
		e.caughtUp = true
		e.heardAt = now
	}
	e.nextOffset = max(e.nextOffset, next)
}

// SetStoreUp records whether the store answers. Recovery of the store counts as a sign of
// life of the leader, which could not renew during the outage.
func (e *Elector) SetStoreUp(now time.Time, up bool) {
	if up && e.storeDown {
		e.heardAt = now
	}
	e.storeDown = !up
}

// Leave records that the VM is shutting down. It makes no further claims, renews no more, and
// releases the leadership if it has it or turns out to have claimed it.
func (e *Elector) Leave() { e.leaving = true }

// End records that the scheduler of this process's leadership has ended although the topic
// shows no newer one. The VM claims a new one at once instead of renewing it.
func (e *Elector) End(epoch int64) { e.endedEpoch = epoch }

// NextOffset returns the offset at which the topic must end for an append to succeed.
func (e *Elector) NextOffset() int64 { return e.nextOffset }

// Epoch returns the highest known epoch.
func (e *Elector) Epoch() int64 { return e.latest.Epoch }

// Leader returns the name of the leader, "" if there is none.
func (e *Elector) Leader() string {
	if e.latest.Released {
		return ""
	}
	return e.latest.Holder
}

// Parts returns the number of partitions from which the leader reads jobs. Without a leader, the
// next one may know only partition 0.
func (e *Elector) Parts() int {
	if e.latest.Released {
		return 1
	}
	return max(1, e.latest.Parts)
}

// Leading reports whether this process is the leader. After a release it remains the
// leader until another VM has claimed the leadership.
func (e *Elector) Leading() bool { return e.holds() && e.latest.Epoch != e.endedEpoch }

// holds reports whether the newest claim is this process's own.
func (e *Elector) holds() bool { return e.latest.Holder == e.Self && e.latest.Instance == e.Instance }

// Decide returns the action to take now.
func (e *Elector) Decide(now time.Time) Action {
	if !e.caughtUp || e.storeDown {
		return NoAction
	}
	if e.Leading() || (e.leaving && e.holds()) {
		return e.decideAsLeader(now)
	}
	if e.leaving || now.Sub(e.actedAt) < claimInterval || now.Sub(e.heardAt) < e.claimDelay() {
		return NoAction
	}
	e.actedAt = now
	return MakeClaim
}

// decideAsLeader returns the action of the leader. An append may get lost, so a release is
// repeated until the topic shows it.
func (e *Elector) decideAsLeader(now time.Time) Action {
	switch {
	case e.latest.Released:
		return NoAction
	case e.leaving:
		if now.Sub(e.triedAt) < releaseRetry {
			return NoAction
		}
		e.triedAt = now
		return Release
	case now.Sub(e.actedAt) < renewInterval:
		return NoAction
	default:
		e.actedAt = now
		return Renew
	}
}

// claimDelay returns how long the leader must have been silent before this VM claims.
func (e *Elector) claimDelay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.Self)) // hash.Hash.Write never returns an error
	permille := int64(h.Sum32() % 1000)
	if e.Cores > 0 {
		permille += int64(1000 * max(0, 1-e.Cores/largestVMCores))
	}
	if e.latest.Holder == e.Self {
		return 0 // an earlier process or an earlier leadership of this VM, which has ended
	}
	if e.latest.Holder == "" || e.latest.Released {
		return vacantDelay + time.Duration(permille*int64(vacantSpread)/1000)
	}
	return leaderTimeout + time.Duration(permille*int64(claimSpread)/1000)
}
