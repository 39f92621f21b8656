package heartbeater

import (
	"slices"
	"time"
)

// Settled reports whether this VM has run for long enough to have heard from every
// live VM. Before that, a VM that is not in Live may still be live.
func (s State) Settled(now time.Time) bool {
	return !s.startedAt.IsZero() && now.Sub(s.startedAt) >= SuspectAfter
}

// Live returns the sorted VMs that are considered live and are not leaving. It
// includes this VM unless leaving is set. A suspect VM is live again as soon as it
// is heard.
func (s State) Live(now time.Time, leaving bool) []string {
	return s.liveVMs(now, !leaving, func(m Member) bool { return !m.Digest.Leaving })
}

// Present returns the sorted VMs that are considered live, including this VM and
// those that are leaving, which still finish their work.
func (s State) Present(now time.Time) []string {
	return s.liveVMs(now, true, func(Member) bool { return true })
}

// Others returns the sorted other VMs that are considered live, including those
// that are leaving and those that only another VM has heard.
func (s State) Others(now time.Time) []string {
	var v []string
	for _, m := range s.members {
		if s.heardDirectly(now, m) {
			v = append(append(v, m.Digest.VM), m.Digest.Heard...)
		}
	}
	v = slices.DeleteFunc(v, func(vm string) bool { return vm == s.self })
	slices.Sort(v)
	return slices.Compact(v)
}

// MissingSince returns when a missing VM was last heard, the latest time if several
// are missing and zero if none is. A VM is missing if it is listed and silent
// without having announced that it is leaving: it may be dead, or on the other side
// of a network partition.
func (s State) MissingSince(now time.Time) time.Time {
	var lastHeard time.Time
	for _, m := range s.members {
		if m.Listed && !m.Digest.Leaving && !s.heardDirectly(now, m) && !s.heardIndirectly(now, m) {
			lastHeard = latest(lastHeard, m.Heard)
		}
	}
	return lastHeard
}

// Heard returns the sorted VMs that this VM has heard directly within SuspectAfter.
func (s State) Heard(now time.Time) []string {
	var v []string
	for _, m := range s.members {
		if s.heardDirectly(now, m) {
			v = append(v, m.Digest.VM)
		}
	}
	return v
}

// Mutual returns the sorted VMs that this VM has heard directly within SuspectAfter
// and since its last pause, and that have heard this VM.
func (s State) Mutual(now time.Time) []string {
	var v []string
	for _, m := range s.members {
		if s.heardDirectly(now, m) && !m.Heard.Before(s.resumedAt) && slices.Contains(m.Digest.Heard, s.self) {
			v = append(v, m.Digest.VM)
		}
	}
	return v
}

// Leader returns the member heard directly within SuspectAfter that leads with the
// highest epoch. It may be a provisional leader, which is not recorded in the log.
func (s State) Leader(now time.Time) (Member, bool) {
	var best Member
	for _, m := range s.members {
		if m.Digest.Leading && s.heardDirectly(now, m) && (!best.Digest.Leading || best.Digest.Epoch.Less(m.Digest.Epoch)) {
			best = m
		}
	}
	return best, best.Digest.Leading
}

// LeavingExecutors returns the sorted executors that a live peer reports as leaving.
func (s State) LeavingExecutors(now time.Time) []string {
	var v []string
	for _, m := range s.members {
		if s.heardDirectly(now, m) {
			v = append(v, m.Digest.LeavingExecutors...)
		}
	}
	slices.Sort(v)
	return slices.Compact(v)
}

func (s State) liveVMs(now time.Time, includeSelf bool, keep func(Member) bool) []string {
	var v []string
	if includeSelf {
		v = append(v, s.self)
	}
	for _, m := range s.members {
		if keep(m) && (s.heardDirectly(now, m) || s.heardIndirectly(now, m)) {
			v = append(v, m.Digest.VM)
		}
	}
	slices.Sort(v)
	return v
}

// heardDirectly reports whether this VM heard m within SuspectAfter. Time during
// which this process was paused does not count as silence of m.
func (s State) heardDirectly(now time.Time, m Member) bool {
	if m.Heard.IsZero() {
		return false
	}
	return now.Sub(latest(m.Heard, s.resumedAt)) <= SuspectAfter
}

// heardIndirectly reports whether a VM that was heard directly has heard m.
func (s State) heardIndirectly(now time.Time, m Member) bool {
	for _, o := range s.members {
		if s.heardDirectly(now, o) && slices.Contains(o.Digest.Heard, m.Digest.VM) {
			return true
		}
	}
	return false
}
