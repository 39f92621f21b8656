package limiter

import (
	"slices"
	"time"
)

// Division says between which entry VMs the slots of executors are divided, as
// one of them sees it. It is immutable.
//
// The share of a VM does not rise when more VMs are counted, and the shares of
// those counted add up to the slots. So no executor gets more than its slots as
// long as of any two VMs that use slots each counts the other. A VM is counted at
// once when it is first known, uses slots only when the others count it, and is
// dropped only by VMs that exchange heartbeats with more than half of those they
// count, for any two such VMs hear of each other from a third one. A VM that
// exchanges heartbeats with fewer goes on with the share that it had.
type Division struct {
	self    string
	suspect time.Duration // after which a VM takes another, silent one for dead
	others  []counted     // sorted by VM
	since   time.Time     // when this VM started, or noticed that it was paused
	joined  bool          // the others count this VM
}

type counted struct {
	vm      string
	seen    time.Time // when it was last thought to be live
	dropped bool      // its slots are divided among the others
}

// Sight is what a VM sees of the others, all sorted and without itself.
type Sight struct {
	Present []string // VMs that are thought to be live
	Mutual  []string // VMs heard lately that have heard this one
	Known   []string // VMs that may be live although they are silent
	Paused  bool     // this VM was paused until now
}

// NewDivision returns the division as the VM self sees it at its start. VMs take
// silent ones for dead after suspect.
func NewDivision(self string, suspect time.Duration) Division {
	return Division{self: self, suspect: suspect}
}

// With returns the division after a look at the other VMs.
func (d Division) With(now time.Time, s Sight) Division {
	if d.since.IsZero() || s.Paused {
		d.since = now
		d.joined = false
	}
	d.others = d.seen(now, s)
	d.others = d.without(now, s)
	d.joined = d.joined || now.Sub(d.since) >= d.suspect || d.acknowledged(s.Mutual)
	return d
}

// seen counts the VMs of s.
func (d Division) seen(now time.Time, s Sight) []counted {
	others := make([]counted, 0, len(d.others)+1)
	for _, vm := range union(vmsOf(d.others), s.Present, s.Known) {
		c := counted{vm: vm, seen: now}
		if i, ok := d.find(vm); ok {
			c = d.others[i]
		}
		if contains(s.Present, vm) {
			c.seen = now
			c.dropped = false
		}
		others = append(others, c)
	}
	return others
}

// without drops VMs that were silent for so long that this VM would have noticed
// by now if it were itself cut off.
func (d Division) without(now time.Time, s Sight) []counted {
	most := 2*(len(s.Mutual)+1) > len(d.VMs())
	kept := d.others[:0]
	for _, c := range d.others {
		known := contains(s.Known, c.vm)
		if silent := now.Sub(c.seen) >= d.suspect; silent && !known {
			continue
		} else if silent && most {
			c.dropped = true
		}
		kept = append(kept, c)
	}
	return kept
}

// acknowledged reports whether all VMs count this one. A VM that knows no other
// can't tell.
func (d Division) acknowledged(mutual []string) bool {
	if len(mutual) == 0 {
		return false
	}
	for _, c := range d.others {
		if !c.dropped && !contains(mutual, c.vm) {
			return false
		}
	}
	return true
}

// Joined reports whether this VM may use slots.
func (d Division) Joined() bool { return d.joined }

// VMs returns the sorted VMs between which the slots are divided.
func (d Division) VMs() []string {
	vms := []string{d.self}
	for _, c := range d.others {
		if !c.dropped {
			vms = append(vms, c.vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// Own returns how many of an executor's slots this VM may use.
func (d Division) Own(executor string, slots int) int {
	if !d.joined {
		return 0
	}
	return Own(d.VMs(), d.self, executor, slots)
}

func (d Division) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(d.others, vm, func(c counted, vm string) int { return compare(c.vm, vm) })
}

func vmsOf(others []counted) []string {
	vms := make([]string, len(others))
	for i, c := range others {
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
