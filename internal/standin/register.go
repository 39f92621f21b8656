package standin

import (
	"context"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

const (
	registerRetry   = 200 * time.Millisecond
	deregisterLimit = 1 * time.Second
)

// Register puts a VM on the list, trying until the list answers or the context
// ends, and takes it off when the context ends.
func Register(ctx context.Context, l connector.List, v connector.ListedVM) {
	for l.Register(ctx, v) != nil {
		pause(ctx, registerRetry)
		if ctx.Err() != nil {
			return
		}
	}
	<-ctx.Done()
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterLimit)
	defer cancel()
	_ = l.Deregister(c, v.ID) // the platform finds out by itself in the end
}
