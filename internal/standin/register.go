package standin

import (
	"context"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

const (
	registerRetryDelay = 200 * time.Millisecond
	deregisterTimeout  = 1 * time.Second
)

// Register registers a VM with the list, retrying until it succeeds or ctx ends,
// and deregisters it when ctx ends.
func Register(ctx context.Context, l connector.List, v connector.ListedVM) {
	for l.Register(ctx, v) != nil {
		sleep(ctx, registerRetryDelay)
		if ctx.Err() != nil {
			return
		}
	}
	<-ctx.Done()
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	_ = l.Deregister(c, v.ID) // on failure the platform removes the VM by itself later
}
