// Package elector decides when an entry VM claims the leadership, keeps it alive
// or gives it up. It reads no clock and does no I/O.
package elector

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"
)

const (
	renewEvery  = 800 * time.Millisecond  // of a live leader
	silence     = 2600 * time.Millisecond // three renewals missed, and one late
	spread      = 400 * time.Millisecond  // between the first and the last VM that claims
	firstWait   = 150 * time.Millisecond  // nobody has led yet: only the spread keeps VMs apart
	firstSpread = 300 * time.Millisecond
	fullCores   = 0.8                    // share of a core of the largest VMs
	claimPause  = 500 * time.Millisecond // between two claims of one VM
)

// Claim is a record of the leadership topic. The offset of the record that
// begins a leadership makes its epoch; renewals name it.
type Claim struct {
	Holder   string `json:"holder"`
	Life     string `json:"life"`               // of the holder's process
	Epoch    int64  `json:"epoch,omitempty"`    // 0 in the record that begins it
	Number   int64  `json:"number,omitempty"`   // of the claims and renewals of the holder's process
	Released bool   `json:"released,omitempty"` // the holder leaves
}

// Encode returns the record's value.
func (c Claim) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode claim of %s: %w", c.Holder, err)
	}
	return b, nil
}

// Decode decodes a record's value; the offset gives the epoch of a first record.
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

// Action is what is to be done now.
type Action int

// The actions.
const (
	Nothing Action = iota
	MakeClaim
	Renew
)

// Elector follows the leadership topic for one VM.
type Elector struct {
	Self  string
	Life  string
	Cores float64 // share of a core that the VM has; larger VMs claim first, 0 when it is not known

	known   Claim
	next    int64 // offset of the next record
	read    bool  // the topic has been read
	heard   time.Time
	acted   time.Time
	down    bool // the store does not answer
	leaving bool
}

// Take takes in a record of the topic.
func (e *Elector) Take(now time.Time, offset int64, c Claim) {
	if offset+1 > e.next {
		e.next = offset + 1
	}
	if c.Epoch < e.known.Epoch {
		return
	}
	e.known = c
	e.heard = now
}

// Reached says that the topic was read up to an offset.
func (e *Elector) Reached(now time.Time, next int64) {
	if !e.read {
		e.read = true
		e.heard = now
	}
	e.next = max(e.next, next)
}

// StoreChanged says whether the store answers. Its return is taken as a sign of
// life of the leader, who could not renew without it.
func (e *Elector) StoreChanged(now time.Time, up bool) {
	if up && e.down {
		e.heard = now
	}
	e.down = !up
}

// Leave says that the VM shuts down; it claims no more.
func (e *Elector) Leave() { e.leaving = true }

// Next returns the offset at which the topic must end for an append to be made.
func (e *Elector) Next() int64 { return e.next }

// Epoch returns the highest epoch known.
func (e *Elector) Epoch() int64 { return e.known.Epoch }

// Leader returns the VM that leads, "" when none does.
func (e *Elector) Leader() string {
	if e.known.Released {
		return ""
	}
	return e.known.Holder
}

// Leading reports whether this life of the VM leads. One that has released the
// leadership leads on until another VM has claimed it.
func (e *Elector) Leading() bool {
	return e.known.Holder == e.Self && e.known.Life == e.Life
}

// Decide returns what is to be done now.
func (e *Elector) Decide(now time.Time) Action {
	if !e.read || e.down {
		return Nothing
	}
	if e.Leading() {
		if e.known.Released || now.Sub(e.acted) < renewEvery {
			return Nothing
		}
		e.acted = now
		return Renew
	}
	if e.leaving || now.Sub(e.acted) < claimPause || now.Sub(e.heard) < e.patience() {
		return Nothing
	}
	e.acted = now
	return MakeClaim
}

// patience returns how long this VM waits for a sign of the leader.
func (e *Elector) patience() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.Self)) // a hash never fails
	share := int64(h.Sum32() % 1000)
	if e.Cores > 0 {
		share += int64(1000 * max(0, 1-e.Cores/fullCores))
	}
	if e.known.Holder == e.Self {
		return 0 // an earlier life of this VM, which is surely over
	}
	if e.known.Holder == "" || e.known.Released {
		return firstWait + time.Duration(share*int64(firstSpread)/1000)
	}
	return silence + time.Duration(share*int64(spread)/1000)
}
