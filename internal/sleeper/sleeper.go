// Package sleeper waits in a way that can be interrupted.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends and returns its error.
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
