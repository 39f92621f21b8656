package assembler

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
)

const (
	lookPatience = 150 * time.Millisecond // that a caller waits for news of a job; the store answers within 5 ms on a good day
	lookTimeout  = 2 * time.Second        // of a look itself
	lookPause    = time.Second            // without looks after one that failed or took too long
)

var errStale = errors.New("the store did not answer in time: told as read before")

// looker reads the progress of jobs when a caller asks for one, so that VMs need not
// follow it closely. It is safe for concurrent use.
type looker struct {
	Read func(context.Context) error
	Now  func() time.Time

	group singleflight.Group
	slow  atomic.Int64 // Unix milliseconds of the last look that failed or took too long
}

// look returns once what was stored before is read, or after a short while.
func (l *looker) look(ctx context.Context) error {
	if l.Now().Sub(time.UnixMilli(l.slow.Load())) < lookPause {
		return errStale
	}
	done := l.group.DoChan("", func() (any, error) {
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookTimeout)
		defer cancel()
		return nil, l.Read(c)
	})
	t := time.NewTimer(lookPatience)
	defer t.Stop()
	select {
	case r := <-done:
		if r.Err == nil {
			return nil
		}
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	l.slow.Store(l.Now().UnixMilli())
	return errStale
}
