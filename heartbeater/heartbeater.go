// Package heartbeater tracks which entry VMs are live, from the heartbeats that
// they exchange and from the platform's VM list, which lags.
//
// The package does no I/O and reads no clock.
package heartbeater

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Intervals and timeouts of heartbeats.
const (
	Interval       = 1 * time.Second         // between heartbeats of a pair of VMs; 7 pairs stay below 2 KB/s
	SuspectAfter   = 3*Interval + Interval/2 // silence after which a VM is suspect: three missed heartbeats
	ForgetAfter    = 60 * time.Second        // silence after which an unlisted VM is forgotten
	PauseThreshold = SuspectAfter - Interval // gap between ticks from which on this process counts as paused
	reverseAfter   = 2 * Interval            // silence after which the VM with the higher id of a pair sends too
)

// Digest is the state of one entry VM that its heartbeats carry.
type Digest struct {
	VM               string
	Zone             string
	Address          string // HOST:PORT for other entry VMs, "" for the address in the VM list
	Incarnation      uint64 // rises with each start of the process
	Sequence         uint64 // rises with each digest of an incarnation
	Leaving          bool
	Ready            bool
	ConfigRevision   int64
	ControlOffset    int64         // next offset of the control stream
	LogDownFor       time.Duration // for how long the log has been unavailable to it, 0 if it is available
	Leading          bool          // it is the leader, which decides placements
	JobsWaiting      bool          // it is the leader, and jobs wait for workers
	Epoch            leaser.Epoch
	Heard            []string // VMs heard directly within SuspectAfter
	LeavingExecutors []string // executors that announced that they are leaving
}

// newer reports whether d was created after o, a digest of the same VM.
func (d Digest) newer(o Digest) bool {
	if d.Incarnation != o.Incarnation {
		return d.Incarnation > o.Incarnation
	}
	return d.Sequence > o.Sequence
}

// Listed is an entry VM in the platform's list or in the settings.
type Listed struct {
	VM      string
	Address string
	Leaving bool
}

// Member is the known state of another entry VM.
type Member struct {
	Digest  Digest
	Address string    // where to reach it
	Listed  bool      // whether the VM list contained it when last read
	Heard   time.Time // when its newest digest arrived, zero if never
	Known   time.Time // when it was first listed or heard
}

// State is the membership as one entry VM sees it. It is immutable.
type State struct {
	self      string
	members   []Member  // sorted by VM, without self
	startedAt time.Time // of the first tick
	lastTick  time.Time
	resumedAt time.Time // when a pause of this process was last noticed, zero if never
}

// New returns the membership of the VM self without any other VM.
func New(self string) State { return State{self: self} }

// WithTick records that this process is running at now, and forgets unlisted
// VMs that were silent for more than ForgetAfter. It reports whether the process
// was paused since the last tick, so that its knowledge of other VMs is stale.
func (s State) WithTick(now time.Time) (State, bool) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	paused := !s.lastTick.IsZero() && now.Sub(s.lastTick) > PauseThreshold
	s.lastTick = now
	if paused {
		s.resumedAt = now
	}
	s.members = slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool {
		return !m.Listed && now.Sub(latest(m.Heard, m.Known)) > ForgetAfter
	})
	return s, paused
}

// WithListed adds the VMs of the platform's list as members to send heartbeats to.
// A VM that is missing from the list is not considered dead for that.
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

// WithHeard adds a digest received from its own VM, in a heartbeat or an answer. A
// digest that is not newer than the last one is ignored.
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

// Known returns the sorted other VMs, including silent ones, that are not forgotten
// and did not announce that they are leaving.
func (s State) Known() []string {
	var v []string
	for _, m := range s.members {
		if !m.Digest.Leaving {
			v = append(v, m.Digest.VM)
		}
	}
	return v
}

// ResumedAt returns when a pause of this process was last noticed, zero if never.
func (s State) ResumedAt() time.Time { return s.resumedAt }

// Members returns all known other VMs, sorted.
func (s State) Members() []Member { return slices.Clone(s.members) }

// HeartbeatTargets returns the members to send a heartbeat to. Of each pair of VMs
// the one with the lower id sends. The other one sends too after some silence,
// since a link may work in one direction only.
func (s State) HeartbeatTargets(now time.Time) []Member {
	var c []Member
	for _, m := range s.members {
		if m.Address == "" {
			continue // it sent a heartbeat without an address, and is not listed yet
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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
