package server

import (
	"context"
	"sync"
)

// broadcaster wakes all goroutines that wait for the next change.
type broadcaster struct {
	mu sync.Mutex
	c  chan struct{}
}

// next returns a channel that is closed at the next change.
func (b *broadcaster) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c == nil {
		b.c = make(chan struct{})
	}
	return b.c
}

func (b *broadcaster) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
}

// await returns nil once f holds for the view, or the error of ctx.
func (s *Server) await(ctx context.Context, f func(*view) bool) error {
	for {
		c := s.viewChanged.next()
		if f(s.view.Load()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c:
		}
	}
}
