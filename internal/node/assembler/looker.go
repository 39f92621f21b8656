package assembler

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
)

const (
	lookPatience = 500 * time.Millisecond // that a caller waits for news of a job; the store takes 240 ms on its slowest days
	lookTimeout  = 2 * time.Second        // of a look itself
	lookPause    = time.Second            // without looks after one that failed or took too long
)

var (
	errStale = errors.New("the store did not answer in time: told as read before")
	errLate  = errors.New("no answer in time")
)

// looker reads the progress of jobs when a caller asks for one, so that VMs need not
// follow it closely. It is safe for concurrent use.
type looker struct {
	Read func(context.Context) error
	Now  func() time.Time
	Slow func(error) // told at most once in each lookPause, with the reason

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
	err := errLate
	select {
	case r := <-done:
		if r.Err == nil {
			return nil
		}
		err = r.Err
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	now, before := l.Now(), l.slow.Load()
	if now.Sub(time.UnixMilli(before)) >= lookPause && l.slow.CompareAndSwap(before, now.UnixMilli()) {
		l.Slow(err)
	}
	return errStale
}
