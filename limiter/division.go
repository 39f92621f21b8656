package limiter

import (
	"slices"
	"time"
)

// Division is the set of entry VMs between which the slots of executors are
// divided, as seen by one of them. It is immutable.
//
// The share of a VM never rises when a VM is added to the set, and the shares of
// all VMs of the set add up to the slots. So an executor is never overcommitted
// as long as any two VMs that use slots have each other in their sets. A VM is
// added as soon as it is known, and uses slots only once the others have added
// it. It is dropped only by VMs that exchange heartbeats with more than half of
// their set, since any two such VMs hear of each other through a third one. A VM
// that exchanges heartbeats with fewer keeps its share.
type Division struct {
	self         string
	suspectAfter time.Duration // silence after which a VM is considered dead
	peers        []peer        // other VMs, sorted
	startedAt    time.Time     // when this VM started, or last noticed that it was paused
	joined       bool          // the other VMs have added this VM, so it may use slots
}

// peer is another VM of the set.
type peer struct {
	vm       string
	lastSeen time.Time // when it was last considered live, or was added
	dropped  bool      // no longer gets a share of the slots
}

// View is what a VM knows of the other VMs. The lists are sorted and exclude the
// VM itself.
type View struct {
	Present []string // VMs that are considered live
	Mutual  []string // VMs heard lately that have also heard this one
	Known   []string // VMs that are not known to be gone, including silent ones
	Paused  bool     // this VM was paused since the last update
}

// NewDivision returns the division of the VM self at its start. A VM that is
// silent for suspectAfter is considered dead.
func NewDivision(self string, suspectAfter time.Duration) Division {
	return Division{self: self, suspectAfter: suspectAfter}
}

// WithView returns the division updated with what this VM knows of the others at
// now.
func (d Division) WithView(now time.Time, s View) Division {
	if d.startedAt.IsZero() || s.Paused {
		d.startedAt = now
		d.joined = false
	}
	d.peers = d.withSeen(now, s)
	d.peers = d.withoutSilent(now, s)
	d.joined = d.joined || now.Sub(d.startedAt) >= d.suspectAfter || d.acknowledged(s.Mutual)
	return d
}

// withSeen returns the peers with the VMs of s added.
func (d Division) withSeen(now time.Time, s View) []peer {
	peers := make([]peer, 0, len(d.peers)+1)
	for _, vm := range union(vmsOf(d.peers), s.Present, s.Known) {
		c := peer{vm: vm, lastSeen: now}
		if i, ok := d.find(vm); ok {
			c = d.peers[i]
		}
		if contains(s.Present, vm) {
			c.lastSeen = now
			c.dropped = false
		}
		peers = append(peers, c)
	}
	return peers
}

// withoutSilent drops VMs that were silent for suspectAfter if this VM exchanges
// heartbeats with a majority of the set. By then this VM would have noticed if it
// were itself partitioned off. Silent VMs that are no longer known are forgotten.
func (d Division) withoutSilent(now time.Time, s View) []peer {
	majority := 2*(len(s.Mutual)+1) > len(d.VMs())
	kept := d.peers[:0]
	for _, c := range d.peers {
		known := contains(s.Known, c.vm)
		if silent := now.Sub(c.lastSeen) >= d.suspectAfter; silent && !known {
			continue
		} else if silent && majority {
			c.dropped = true
		}
		kept = append(kept, c)
	}
	return kept
}

// acknowledged reports whether all VMs of the set have heard this one and so have
// added it. It is false for a VM that exchanges heartbeats with no other.
func (d Division) acknowledged(mutual []string) bool {
	if len(mutual) == 0 {
		return false
	}
	for _, c := range d.peers {
		if !c.dropped && !contains(mutual, c.vm) {
			return false
		}
	}
	return true
}

// Joined reports whether this VM may use slots.
func (d Division) Joined() bool { return d.joined }

// VMs returns the sorted VMs between which the slots are divided, including this
// one.
func (d Division) VMs() []string {
	vms := []string{d.self}
	for _, c := range d.peers {
		if !c.dropped {
			vms = append(vms, c.vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// OwnedSlots returns how many of an executor's slots this VM may use.
func (d Division) OwnedSlots(executor string, slots int) int {
	if !d.joined {
		return 0
	}
	return OwnedSlots(d.VMs(), d.self, executor, slots)
}

func (d Division) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(d.peers, vm, func(c peer, vm string) int { return compare(c.vm, vm) })
}

func vmsOf(peers []peer) []string {
	vms := make([]string, len(peers))
	for i, c := range peers {
		vms[i] = c.vm
	}
	return vms
}

func union(lists ...[]string) []string {
	u := slices.Concat(lists...)
	slices.Sort(u)
	return slices.Compact(u)
}

func contains(sorted []string, vm string) bool {
	_, ok := slices.BinarySearch(sorted, vm)
	return ok
}
