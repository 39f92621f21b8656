// Package estimator estimates how long gangs and requests run, from past run
// times.
//
// The package does no I/O and reads no clock, so it can be embedded without the
// daemon. An Estimator is immutable and its memory is bounded.
package estimator

import (
	"cmp"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
)

// Key identifies a group of gangs or requests that are expected to have similar run
// times.
type Key struct {
	Organisation string
	Service      string
	Class        string // class of a job, or path of a route
	Size         int    // gang size rounded up to a power of two, 0 for requests
}

// JobKey returns the key of a gang with the given number of tasks.
func JobKey(organisation, service, class string, tasks int) Key {
	size := 1
	for size < tasks {
		size *= 2
	}
	return Key{Organisation: organisation, Service: service, Class: class, Size: size}
}

// RouteKey returns the key of the requests to one route path of a service.
func RouteKey(service, path string) Key { return Key{Service: service, Class: path} }

// keyComparer implements [immutable.Comparer] for keys.
type keyComparer struct{}

// Compare returns a negative number, 0 or a positive number as a is less than,
// equal to or greater than b.
func (keyComparer) Compare(a, b Key) int {
	return cmp.Or(
		strings.Compare(a.Organisation, b.Organisation),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Class, b.Class),
		cmp.Compare(a.Size, b.Size),
	)
}

// DefaultKeys is the default for the maximum number of keys of an estimator.
const DefaultKeys = 4096 // about 1.5 MB

// Estimator holds the observed run times of each key. It is immutable.
type Estimator struct {
	maxKeys        int
	entries        *immutable.SortedMap[Key, *entry]
	byLastObserved *immutable.SortedMap[uint64, Key] // by number of the last observation
	nextSequence   uint64                            // number of the next observation
}

// entry holds the observations of one key. It is immutable.
type entry struct {
	lastObserved uint64 // number of the last observation
	times        histogram
}

// New returns an estimator without observations that holds at most maxKeys keys.
func New(maxKeys int) Estimator {
	return Estimator{
		maxKeys:        max(1, maxKeys),
		entries:        immutable.NewSortedMap[Key, *entry](keyComparer{}),
		byLastObserved: immutable.NewSortedMap[uint64, Key](nil),
	}
}

// Len returns the number of keys with observations.
func (e Estimator) Len() int { return e.entries.Len() }

// With returns the estimator with the observed run time of k added. If there are
// too many keys, the least recently observed one is evicted.
func (e Estimator) With(k Key, observed time.Duration) Estimator {
	n := entry{lastObserved: e.nextSequence}
	if old, ok := e.entries.Get(k); ok {
		n.times = old.times
		e.byLastObserved = e.byLastObserved.Delete(old.lastObserved)
	}
	n.times = n.times.with(observed)
	e.entries = e.entries.Set(k, &n)
	e.byLastObserved = e.byLastObserved.Set(n.lastObserved, k)
	e.nextSequence++
	if e.entries.Len() > e.maxKeys {
		return e.evictOldest()
	}
	return e
}

func (e Estimator) evictOldest() Estimator {
	i := e.byLastObserved.Iterator()
	oldest, k, ok := i.Next()
	if !ok {
		return e
	}
	e.byLastObserved = e.byLastObserved.Delete(oldest)
	e.entries = e.entries.Delete(k)
	return e
}

// Quantile returns the q-quantile of the run times of k, with q from 0 to 1. The
// declared run time counts as a few observations with a wide spread, whose weight
// falls as real ones are added; zero means that none was declared.
func (e Estimator) Quantile(k Key, q float64, declared time.Duration) time.Duration {
	return e.times(k).withPrior(declared).quantile(q)
}

// Remaining returns the q-quantile of the remaining run time of those runs of k
// that have lasted for elapsed. A run that has lasted longer than all observations
// is expected to last as long again.
func (e Estimator) Remaining(k Key, q float64, declared, elapsed time.Duration) time.Duration {
	return e.times(k).withPrior(declared).remaining(q, elapsed)
}

func (e Estimator) times(k Key) histogram {
	if n, ok := e.entries.Get(k); ok {
		return n.times
	}
	return histogram{}
}
