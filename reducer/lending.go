package reducer

import (
	"errors"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// errMayNotBorrow is why a non-idempotent job can never run: it may not borrow
// guaranteed capacity, because it cannot be stopped when the owner reclaims it.
var errMayNotBorrow = errors.New("not enough capacity is left beyond the guarantees of other organisations, " +
	"which a non-idempotent job may not borrow")

// unknownRunTime is assumed for jobs without an estimate, so that they are not
// backfilled in front of a reservation.
const unknownRunTime = 24 * time.Hour

// estimate returns the upper estimate of the run time of a job.
func (s State) estimate(j *job) time.Duration {
	d := s.estimates.Quantile(j.estimateKey(), runQuantile, j.DeclaredRun)
	if d == 0 {
		return unknownRunTime
	}
	return d
}

// leavesGuarantees reports whether a job with this run time leaves enough free
// resources for the unused part of all guarantees that are active while it runs.
func (s State) leavesGuarantees(now time.Time, j *job, run time.Duration, workers []placer.Worker) bool {
	var free, unused placer.Resources
	for _, w := range workers {
		free = free.Plus(w.Free)
	}
	for i := s.tenants.Iterator(); !i.Done(); {
		name, n, _ := i.Next()
		used, _ := s.usage.Get(name)
		if name == j.Organisation {
			used = used.Plus(j.Gang.Total())
		}
		unused = unused.Plus(unusedGuarantee(n.Guarantees, used, func(g decoder.Guarantee) bool {
			return GuaranteeActive(g, now) || startsWithin(g, now, run)
		}))
	}
	return j.Gang.Total().Plus(unused).Fits(free)
}

// checkBorrowing returns why a non-idempotent job can never run beside the guarantees
// that are active all day, or nil.
func (s State) checkBorrowing(j Job) error {
	if !j.NonIdempotent || !s.capacitiesKnown() {
		return nil
	}
	var capacity, unused placer.Resources
	for _, w := range s.placerWorkers(func(*worker) bool { return true }) {
		capacity = capacity.Plus(w.Capacity)
	}
	for i := s.tenants.Iterator(); !i.Done(); {
		name, n, _ := i.Next()
		var used placer.Resources
		if name == j.Organisation {
			used = j.Gang.Total()
		}
		unused = unused.Plus(unusedGuarantee(n.Guarantees, used, func(g decoder.Guarantee) bool { return g.From == g.To }))
	}
	if !j.Gang.Total().Plus(unused).Fits(capacity) {
		return errMayNotBorrow
	}
	return nil
}

// unusedGuarantee returns the part of the included guarantees that is not used.
func unusedGuarantee(all []decoder.Guarantee, used placer.Resources, include func(decoder.Guarantee) bool) placer.Resources {
	var sum placer.Resources
	for _, g := range all {
		if include(g) {
			sum = sum.Plus(guaranteeTotal(g))
		}
	}
	left := sum.Minus(used)
	return placer.Resources{
		MilliCores:   max(0, left.MilliCores),
		MemoryMB:     max(0, left.MemoryMB),
		Accelerators: max(0, left.Accelerators),
	}
}

// startsWithin reports whether the hours of a guarantee start within d.
func startsWithin(g decoder.Guarantee, now time.Time, d time.Duration) bool {
	const day = 24 * time.Hour
	if d >= day {
		return true
	}
	wait := (g.From - timeOfDay(g, now) + day) % day
	return wait <= d
}
