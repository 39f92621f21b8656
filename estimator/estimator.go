// Package estimator learns how long gangs and requests run.
//
// It decides only: it does no I/O and reads no clock, so it can be embedded
// without the daemon. An Estimator is immutable and its memory is bounded.
package estimator

import (
	"cmp"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
)

// Key names what is expected to run for similar times.
type Key struct {
	Organisation string
	Service      string
	Class        string // class of a job, or path of a route
	Size         int    // gang size rounded up to a power of two, 0 for requests
}

// JobKey returns the key of a gang of so many tasks.
func JobKey(organisation, service, class string, tasks int) Key {
	size := 1
	for size < tasks {
		size *= 2
	}
	return Key{Organisation: organisation, Service: service, Class: class, Size: size}
}

// RouteKey returns the key of the requests under one path of a service.
func RouteKey(service, path string) Key { return Key{Service: service, Class: path} }

// keyComparer orders keys.
type keyComparer struct{}

// Compare returns how a and b are ordered.
func (keyComparer) Compare(a, b Key) int {
	return cmp.Or(
		strings.Compare(a.Organisation, b.Organisation),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Class, b.Class),
		cmp.Compare(a.Size, b.Size),
	)
}

// DefaultKeys is how many keys an estimator remembers unless told otherwise.
const DefaultKeys = 4096 // about 1.5 MB

// Estimator holds the run times seen for each key. It is immutable.
type Estimator struct {
	keys    int
	learned *immutable.SortedMap[Key, *entry]
	byAge   *immutable.SortedMap[uint64, Key] // by last observation, oldest first
	next    uint64
}

// entry is what is known of one key. It is never changed.
type entry struct {
	seen  uint64 // number of the last observation
	times histogram
}

// New returns an estimator that remembers at most so many keys and has seen
// nothing yet.
func New(keys int) Estimator {
	return Estimator{
		keys:    max(1, keys),
		learned: immutable.NewSortedMap[Key, *entry](keyComparer{}),
		byAge:   immutable.NewSortedMap[uint64, Key](nil),
	}
}

// Len returns the number of keys that are remembered.
func (e Estimator) Len() int { return e.learned.Len() }

// With returns the estimator after a run of k took observed. When there are too
// many keys, the one that was observed longest ago is forgotten.
func (e Estimator) With(k Key, observed time.Duration) Estimator {
	n := entry{seen: e.next}
	if old, ok := e.learned.Get(k); ok {
		n.times = old.times
		e.byAge = e.byAge.Delete(old.seen)
	}
	n.times = n.times.with(observed)
	e.learned = e.learned.Set(k, &n)
	e.byAge = e.byAge.Set(n.seen, k)
	e.next++
	if e.learned.Len() > e.keys {
		return e.withoutOldest()
	}
	return e
}

func (e Estimator) withoutOldest() Estimator {
	i := e.byAge.Iterator()
	seen, k, ok := i.Next()
	if !ok {
		return e
	}
	e.byAge = e.byAge.Delete(seen)
	e.learned = e.learned.Delete(k)
	return e
}

// Quantile returns the time within which the share q, from 0 to 1, of the runs
// of k end. The declared run time counts as a few vague observations, which
// fade as real ones come in; zero means that nothing was declared.
func (e Estimator) Quantile(k Key, q float64, declared time.Duration) time.Duration {
	return e.times(k).withPrior(declared).quantile(q)
}

// Remaining returns the time within which the share q of those runs of k end
// that have lasted for elapsed already. A run that has outlasted all that is
// known is expected to go on for as long as it has lasted.
func (e Estimator) Remaining(k Key, q float64, declared, elapsed time.Duration) time.Duration {
	return e.times(k).withPrior(declared).remaining(q, elapsed)
}

func (e Estimator) times(k Key) histogram {
	if n, ok := e.learned.Get(k); ok {
		return n.times
	}
	return histogram{}
}
