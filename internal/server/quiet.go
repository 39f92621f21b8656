package server

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// quietFor is the time in which the same step at the same peer is logged once.
const quietFor = 10 * time.Second

// maxQuiet bounds the memory of what was logged.
const maxQuiet = 4096 // 1,000 workers, each with a few steps

// quietLogger logs a fault that repeats once in a while, with the number of
// repetitions in between.
type quietLogger struct {
	to  *logrus.Logger
	now func() time.Time

	mu   sync.Mutex
	last map[quietKey]quietEntry
}

type quietKey struct{ step, peer string }

type quietEntry struct {
	at      time.Time
	omitted int
}

func (q *quietLogger) log(step, peer string, err error) {
	n, ok := q.admit(quietKey{step, peer})
	if !ok {
		return
	}
	q.to.WithField("step", step).WithField("peer", peer).WithField("omitted", n).Warn(err.Error())
}

// admit reports whether to log now, and how often it was not logged before.
func (q *quietLogger) admit(k quietKey) (int, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	e, ok := q.last[k]
	if ok && now.Sub(e.at) < quietFor {
		e.omitted++
		q.last[k] = e
		return 0, false
	}
	if q.last == nil || len(q.last) >= maxQuiet {
		q.last = map[quietKey]quietEntry{}
	}
	q.last[k] = quietEntry{at: now}
	return e.omitted, true
}
