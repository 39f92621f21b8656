package assembler

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
)

const (
	progressWait        = 500 * time.Millisecond // how long a caller waits for a read; the store takes up to 240 ms when it is slow
	progressReadTimeout = 2 * time.Second        // of the read itself, which all waiting callers share
	progressRetryDelay  = time.Second            // without reads after one that failed or took longer than progressWait
)

var (
	errStale   = errors.New("the store did not answer in time; the state may be stale")
	errTimeout = errors.New("no answer in time")
)

// progressReader reads the progress of jobs on demand, when a caller requests a state, so
// that VMs need not follow it closely. It is safe for concurrent use.
type progressReader struct {
	Read   func(context.Context) error
	Now    func() time.Time
	Failed func(error) // called at most once per progressRetryDelay

	group    singleflight.Group
	failedAt atomic.Int64 // Unix time in milliseconds of the last read that failed or took too long
}

// read returns once all progress that was stored before the call is read. It returns
// errStale if that fails or takes longer than progressWait.
func (l *progressReader) read(ctx context.Context) error {
	if l.Now().Sub(time.UnixMilli(l.failedAt.Load())) < progressRetryDelay {
		return errStale
	}
	done := l.group.DoChan("", func() (any, error) {
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), progressReadTimeout)
		defer cancel()
		return nil, l.Read(c)
	})
	t := time.NewTimer(progressWait)
	defer t.Stop()
	err := errTimeout
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
	now, lastFailure := l.Now(), l.failedAt.Load()
	if now.Sub(time.UnixMilli(lastFailure)) >= progressRetryDelay && l.failedAt.CompareAndSwap(lastFailure, now.UnixMilli()) {
		l.Failed(err)
	}
	return errStale
}
