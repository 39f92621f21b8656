package server

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// throttleInterval is the time in which a fault of the same step and peer is logged
// once.
const throttleInterval = 10 * time.Second

// maxThrottleEntries bounds the number of step and peer pairs that are remembered.
const maxThrottleEntries = 4096 // 1,000 workers with a few steps each

// throttledLogger limits how often a repeated fault is logged, and logs the number
// of omitted repetitions.
type throttledLogger struct {
	to  *logrus.Logger
	now func() time.Time

	mu   sync.Mutex
	last map[throttleKey]throttleEntry
}

type throttleKey struct{ step, peer string }

type throttleEntry struct {
	at      time.Time
	omitted int
}

func (q *throttledLogger) log(step, peer string, err error) {
	n, ok := q.admit(throttleKey{step, peer})
	if !ok {
		return
	}
	q.to.WithField("step", step).WithField("peer", peer).WithField("omitted", n).Warn(err.Error())
}

// admit reports whether to log now, and how many repetitions were omitted before.
func (q *throttledLogger) admit(k throttleKey) (int, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	e, ok := q.last[k]
	if ok && now.Sub(e.at) < throttleInterval {
		e.omitted++
		q.last[k] = e
		return 0, false
	}
	if q.last == nil || len(q.last) >= maxThrottleEntries {
		q.last = map[throttleKey]throttleEntry{}
	}
	q.last[k] = throttleEntry{at: now}
	return e.omitted, true
}
