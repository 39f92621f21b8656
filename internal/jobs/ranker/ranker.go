// Package ranker orders jobs that compete for resources by what their delay costs callers. It
// performs no I/O and reads no clock.
package ranker

import (
	"cmp"
	"time"
)

// Class is the part of the order that no waiting time outweighs.
type Class int

// The classes, the first one first.
const (
	Guaranteed Class = iota // urgent, within the guarantee of its organisation
	Urgent                  // urgent, beyond that guarantee
	Competing               // others that can still earn
	Worthless               // it can't end before its completion has lost all value
)

// WorthlessFactor is the multiple of the objective after which a completion has no value.
const WorthlessFactor = 3

// floodDelay is how much later a job counts as due if its organisation uses all resources
// beyond its even share. Without it, the older jobs of one organisation come before those of
// all others.
const floodDelay = 5 * time.Second

// Job is what the order of a job depends on.
type Job struct {
	Urgent     bool
	Guaranteed bool // it is urgent, and what it needs is within the guarantee of its organisation
	Endless    bool // it runs until it is cancelled
	AcceptedAt time.Time
	Objective  time.Duration // from the acceptance to the due completion
	Remaining  time.Duration // longest chain of the steps that are left
	UsedShare  float64       // share of its organisation in what jobs of this kind use, 0 to 1
	EvenShare  float64       // what each organisation with such jobs would have
}

// Rank is the place of a job in the order.
type Rank struct {
	Class Class
	At    time.Time // the earlier one first within a class
}

// Compare returns a negative number if a goes before b.
func Compare(a, b Rank) int { return cmp.Or(cmp.Compare(a.Class, b.Class), a.At.Compare(b.At)) }

// Of returns the rank of a job. Urgent jobs come first, those within a guarantee before the
// others, by their acceptance. Other jobs follow by the latest start that still meets the
// objective, later if their organisation uses more than its even share. Jobs that can no longer
// earn anything are last. A guarantee holds for a job that is too late as well.
func Of(now time.Time, j Job) Rank {
	delay := time.Duration(max(0, j.UsedShare-j.EvenShare) * float64(floodDelay))
	start := j.AcceptedAt.Add(j.Objective - j.Remaining + delay)
	switch {
	case j.Guaranteed:
		return Rank{Guaranteed, j.AcceptedAt}
	case !j.CanEarn(now):
		return Rank{Worthless, start}
	case j.Urgent:
		return Rank{Urgent, j.AcceptedAt.Add(delay)}
	default:
		return Rank{Competing, start}
	}
}

// CanEarn reports whether a job that starts now can end before its completion has lost all
// value.
func (j Job) CanEarn(now time.Time) bool {
	return j.Endless || !now.After(j.AcceptedAt.Add(WorthlessFactor*j.Objective-j.Remaining))
}
