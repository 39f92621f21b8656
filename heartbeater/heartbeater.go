// Package heartbeater decides which entry VMs are live, from the heartbeats that
// they exchange and from the platform's lagging list.
//
// It decides only: it does no I/O and reads no clock.
package heartbeater

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// The timing of heartbeats.
const (
	Interval     = 1 * time.Second         // between heartbeats of a pair; 7 pairs stay below 2 KB/s
	SuspectAfter = 3*Interval + Interval/2 // silence that makes a VM suspect: three misses
	ForgetAfter  = 60 * time.Second        // silence after which an unlisted VM is forgotten
	PauseAfter   = SuspectAfter - Interval // gap between own ticks that means this process was paused
	reverseAfter = 2 * Interval            // silence after which the higher id of a pair calls too
)

// Digest is what one entry VM tells the others about itself.
type Digest struct {
	VM              string
	Zone            string
	Address         string // HOST:PORT for other entry VMs, "" for the one that the list names
	Incarnation     uint64 // rises when the process starts anew
	Sequence        uint64 // rises with each digest of an incarnation
	Leaving         bool
	Ready           bool
	ConfigRevision  int64
	ControlOffset   int64         // next offset of the control stream
	LogDown         time.Duration // for how long it has lacked the log, 0 when it has it
	Leading         bool          // it decides placements
	Waiting         bool          // it leads, and jobs wait for workers
	Epoch           leaser.Epoch
	Heard           []string // VMs heard directly within SuspectAfter
	LeavingExecutor []string // executors that said that they leave
}

// newer reports whether d was made after o by the same VM.
func (d Digest) newer(o Digest) bool {
	if d.Incarnation != o.Incarnation {
		return d.Incarnation > o.Incarnation
	}
	return d.Sequence > o.Sequence
}

// Listed is an entry VM as the platform lists it, or as the settings name it.
type Listed struct {
	VM      string
	Address string
	Leaving bool
}

// Member is what is known of one other entry VM.
type Member struct {
	Digest  Digest
	Address string    // where to reach it
	Listed  bool      // by the platform, when last read
	Heard   time.Time // when its newest digest arrived, zero if never
	Known   time.Time // when it was first named
}

// State is the membership as one entry VM sees it. It is immutable.
type State struct {
	self     string
	members  []Member  // sorted by VM, without self
	born     time.Time // of the first tick
	lastTick time.Time
	woke     time.Time // when a pause of this process was last noticed
}

// New returns the membership of a VM that knows of no other.
func New(self string) State { return State{self: self} }

// WithTick notes that this process runs at now. It reports whether the process
// was paused since the last tick; all that was known before is then stale.
func (s State) WithTick(now time.Time) (State, bool) {
	if s.born.IsZero() {
		s.born = now
	}
	paused := !s.lastTick.IsZero() && now.Sub(s.lastTick) > PauseAfter
	s.lastTick = now
	if paused {
		s.woke = now
	}
	s.members = slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool {
		return !m.Listed && now.Sub(later(m.Heard, m.Known)) > ForgetAfter
	})
	return s, paused
}

// WithListed takes the platform's list as a hint of whom to call. A VM that the
// list lacks is not thereby dead.
func (s State) WithListed(now time.Time, listed []Listed) State {
	m := slices.Clone(s.members)
	for i := range m {
		m[i].Listed = false
	}
	s.members = m
	for _, l := range listed {
		if l.VM == s.self || l.Address == "" {
			continue
		}
		i, ok := s.find(l.VM)
		if !ok {
			s.members = slices.Insert(s.members, i, Member{
				Digest: Digest{VM: l.VM}, Address: l.Address, Known: now,
			})
		}
		s.members[i].Listed = true
		if s.members[i].Digest.Address == "" {
			s.members[i].Address = l.Address
		}
	}
	return s
}

// WithHeard takes a digest that its own VM has just sent or answered. A digest
// older than one already seen changes nothing.
func (s State) WithHeard(now time.Time, d Digest) State {
	if d.VM == "" || d.VM == s.self {
		return s
	}
	s.members = slices.Clone(s.members)
	i, ok := s.find(d.VM)
	if !ok {
		s.members = slices.Insert(s.members, i, Member{Known: now, Address: d.Address})
	}
	m := &s.members[i]
	if !m.Heard.IsZero() && !d.newer(m.Digest) {
		return s
	}
	m.Digest, m.Heard = d, now
	if d.Address != "" {
		m.Address = d.Address
	}
	return s
}

// Known returns the sorted other VMs that may be live although they are silent:
// those that are not forgotten and did not say that they leave.
func (s State) Known() []string {
	var v []string
	for _, m := range s.members {
		if !m.Digest.Leaving {
			v = append(v, m.Digest.VM)
		}
	}
	return v
}

// Woke returns when a pause of this process was last noticed, zero for never.
func (s State) Woke() time.Time { return s.woke }

// Members returns all other VMs that are known, sorted.
func (s State) Members() []Member { return slices.Clone(s.members) }

// Calls returns the members to send a heartbeat to. Of each pair the lower id
// calls; the higher one joins in when it has heard nothing for a while, for a
// link may work in one direction only.
func (s State) Calls(now time.Time) []Member {
	var c []Member
	for _, m := range s.members {
		if m.Address == "" {
			continue // it has called, and the list does not name it yet
		}
		if s.self < m.Digest.VM || now.Sub(m.Heard) >= reverseAfter {
			c = append(c, m)
		}
	}
	return c
}

func (s State) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(s.members, vm, func(m Member, v string) int {
		switch {
		case m.Digest.VM < v:
			return -1
		case m.Digest.VM > v:
			return 1
		}
		return 0
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
