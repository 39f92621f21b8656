package assembler

import (
	"context"
	"fmt"
	"sync"
)

// sharedRead lets concurrent callers share reads. Each caller gets the result of a read that
// began after its call: an earlier one may miss what was stored meanwhile.
type sharedRead struct {
	mu      sync.Mutex
	running *readRound
	next    *readRound // for those who have called since the running one began
}

// readRound is one read.
type readRound struct {
	read func() error
	done chan struct{}
	err  error
}

// do returns the result of a read, or an error if the context ends before.
func (s *sharedRead) do(ctx context.Context, read func() error) error {
	s.mu.Lock()
	r := s.next
	if r == nil {
		r = &readRound{read: read, done: make(chan struct{})}
		if s.running == nil {
			s.running = r
			go s.run(r)
		} else {
			s.next = r
		}
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("wait for a shared read: %w", ctx.Err())
	}
}

func (s *sharedRead) run(r *readRound) {
	for r != nil {
		r.err = r.read()
		close(r.done)
		s.mu.Lock()
		r, s.next = s.next, nil
		s.running = r
		s.mu.Unlock()
	}
}
