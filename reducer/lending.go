package reducer

import (
	"errors"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// errGuaranteed is why a non-idempotent job can never run: it may not borrow, as
// it cannot be stopped when the owner of a guarantee calls.
var errGuaranteed = errors.New("not enough capacity is left beside the guarantees of others, " +
	"which a non-idempotent job may not borrow")

// unknownRun is taken for jobs of which nothing is known, so that they delay no
// reservation.
const unknownRun = 24 * time.Hour

// estimate returns how long a job runs at most, by what was learned.
func (s State) estimate(j *job) time.Duration {
	d := s.estimates.Quantile(j.estimateKey(), runQuantile, j.DeclaredRun)
	if d == 0 {
		return unknownRun
	}
	return d
}

// spare reports whether a job that runs for so long leaves room for all
// guarantees that hold meanwhile and are not used.
func (s State) spare(now time.Time, j *job, run time.Duration, workers []placer.Worker) bool {
	var free, owed placer.Resources
	for _, w := range workers {
		free = free.Plus(w.Free)
	}
	for i := s.tenants.Iterator(); !i.Done(); {
		name, n, _ := i.Next()
		used, _ := s.usage.Get(name)
		if name == j.Organisation {
			used = used.Plus(j.Gang.Total())
		}
		owed = owed.Plus(unused(n.Guarantees, used, func(g decoder.Guarantee) bool {
			return GuaranteeActive(g, now) || beginsWithin(g, now, run)
		}))
	}
	return j.Gang.Total().Plus(owed).Fits(free)
}

// lendable reports why a non-idempotent job can never run beside the guarantees
// that hold all day.
func (s State) lendable(j Job) error {
	if !j.NonIdempotent || !s.capacitiesKnown() {
		return nil
	}
	var all, owed placer.Resources
	for _, w := range s.placerWorkers(func(*worker) bool { return true }) {
		all = all.Plus(w.Capacity)
	}
	for i := s.tenants.Iterator(); !i.Done(); {
		name, n, _ := i.Next()
		var used placer.Resources
		if name == j.Organisation {
			used = j.Gang.Total()
		}
		owed = owed.Plus(unused(n.Guarantees, used, func(g decoder.Guarantee) bool { return g.From == g.To }))
	}
	if !j.Gang.Total().Plus(owed).Fits(all) {
		return errGuaranteed
	}
	return nil
}

// unused returns what is left of the guarantees that count.
func unused(all []decoder.Guarantee, used placer.Resources, counts func(decoder.Guarantee) bool) placer.Resources {
	var sum placer.Resources
	for _, g := range all {
		if counts(g) {
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

// beginsWithin reports whether the hours of a guarantee begin within a time.
func beginsWithin(g decoder.Guarantee, now time.Time, d time.Duration) bool {
	const day = 24 * time.Hour
	if d >= day {
		return true
	}
	wait := (g.From - timeOfDay(g, now) + day) % day
	return wait <= d
}
