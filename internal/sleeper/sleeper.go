// Package sleeper provides a sleep that a context can interrupt.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. It returns early, with the context's error, if ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// SleepUntil waits for d. It returns early if ctx ends or the channel is closed.
func SleepUntil(ctx context.Context, d time.Duration, early <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-t.C:
	}
}
