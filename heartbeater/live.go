package heartbeater

import (
	"slices"
	"time"
)

// Settled reports whether this VM has run for long enough to have heard from
// every live VM. Before that, a VM that is missing from Live may well be live.
func (s State) Settled(now time.Time) bool {
	return !s.born.IsZero() && now.Sub(s.born) >= SuspectAfter
}

// Live returns the sorted VMs that are thought to be live and to stay, self
// included unless leaving is set. Suspicion is never final: a VM that is heard
// again is live again.
func (s State) Live(now time.Time, leaving bool) []string {
	return s.filter(now, !leaving, func(m Member) bool { return !m.Digest.Leaving })
}

// Present returns the sorted VMs that are thought to be live, those that are
// leaving included: they still finish what they hold.
func (s State) Present(now time.Time) []string {
	return s.filter(now, true, func(Member) bool { return true })
}

// Others returns the sorted VMs but for this one that are thought to be live,
// those that are leaving included, and those of which only others have heard.
func (s State) Others(now time.Time) []string {
	var v []string
	for _, m := range s.members {
		if s.direct(now, m) {
			v = append(append(v, m.Digest.VM), m.Digest.Heard...)
		}
	}
	v = slices.DeleteFunc(v, func(vm string) bool { return vm == s.self })
	slices.Sort(v)
	return slices.Compact(v)
}

// Missing returns when the last of the listed VMs was heard that are silent though
// they did not say that they leave, zero when there is none. They may be dead, or on
// the other side of a network that has split.
func (s State) Missing(now time.Time) time.Time {
	var last time.Time
	for _, m := range s.members {
		if m.Listed && !m.Digest.Leaving && !s.direct(now, m) && !s.vouched(now, m) {
			last = later(last, m.Heard)
		}
	}
	return last
}

// Heard returns the sorted VMs that this VM has itself heard lately.
func (s State) Heard(now time.Time) []string {
	var v []string
	for _, m := range s.members {
		if s.direct(now, m) {
			v = append(v, m.Digest.VM)
		}
	}
	return v
}

// Mutual returns the sorted VMs that this VM has itself heard lately, and since
// it was last paused, and that have heard it.
func (s State) Mutual(now time.Time) []string {
	var v []string
	for _, m := range s.members {
		if s.direct(now, m) && !m.Heard.Before(s.woke) && slices.Contains(m.Digest.Heard, s.self) {
			v = append(v, m.Digest.VM)
		}
	}
	return v
}

// Leader returns the member heard lately that leads under the highest epoch. It
// may be a provisional leader, whom the log does not name.
func (s State) Leader(now time.Time) (Member, bool) {
	var best Member
	for _, m := range s.members {
		if m.Digest.Leading && s.direct(now, m) && (!best.Digest.Leading || best.Digest.Epoch.Less(m.Digest.Epoch)) {
			best = m
		}
	}
	return best, best.Digest.Leading
}

// LeavingExecutors returns the sorted executors that a live peer says are leaving.
func (s State) LeavingExecutors(now time.Time) []string {
	var v []string
	for _, m := range s.members {
		if s.direct(now, m) {
			v = append(v, m.Digest.LeavingExecutor...)
		}
	}
	slices.Sort(v)
	return slices.Compact(v)
}

func (s State) filter(now time.Time, self bool, keep func(Member) bool) []string {
	var v []string
	if self {
		v = append(v, s.self)
	}
	for _, m := range s.members {
		if keep(m) && (s.direct(now, m) || s.vouched(now, m)) {
			v = append(v, m.Digest.VM)
		}
	}
	slices.Sort(v)
	return v
}

// direct reports whether m was heard by this VM within SuspectAfter. Time in
// which this process was paused counts for nobody's silence.
func (s State) direct(now time.Time, m Member) bool {
	if m.Heard.IsZero() {
		return false
	}
	return now.Sub(later(m.Heard, s.woke)) <= SuspectAfter
}

// vouched reports whether a VM that was heard directly has itself heard m.
func (s State) vouched(now time.Time, m Member) bool {
	for _, o := range s.members {
		if s.direct(now, o) && slices.Contains(o.Digest.Heard, m.Digest.VM) {
			return true
		}
	}
	return false
}
