package relayer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
)

// Relayer calls the store directly or through other entry VMs. Its exported fields
// must be set before use. It is safe for concurrent use.
type Relayer struct {
	Direct        accessor.Client
	Peer          func(address string) accessor.Client
	Peers         func() []string   // addresses of other entry VMs
	DirectChanged func(direct bool) // called when the direct route fails or recovers
	Now           func() time.Time

	mu         sync.Mutex
	selector   RouteSelector
	lastAnswer map[string]time.Time // by route, time of the last answered call
}

// StoreClient returns a client that calls the store through the relayer.
func (r *Relayer) StoreClient() accessor.Client {
	return accessor.Client{
		Append: func(ctx context.Context, a accessor.Append) (int64, error) {
			var offset int64
			err := r.tryRoutes(func(x accessor.Client) (err error) {
				offset, err = x.Append(ctx, a)
				return err
			})
			return offset, err
		},
		Read: func(ctx context.Context, topic string, from int64, wait time.Duration) ([]accessor.Record, int64, error) {
			var records []accessor.Record
			var end int64
			err := r.tryRoutes(func(x accessor.Client) (err error) {
				records, end, err = x.Read(ctx, topic, from, wait)
				return err
			})
			return records, end, err
		},
		Newest: func(ctx context.Context, topic string) ([]accessor.Record, int64, error) {
			var records []accessor.Record
			var end int64
			err := r.tryRoutes(func(x accessor.Client) (err error) {
				records, end, err = x.Newest(ctx, topic)
				return err
			})
			return records, end, err
		},
	}
}

var errNoRoute = fmt.Errorf("%w: neither this VM nor its peers can reach it", accessor.ErrNotDone)

// tryRoutes tries one route after the other until the store answers. If all fail and
// one attempt may have been carried out, it returns the error of that attempt.
func (r *Relayer) tryRoutes(do func(accessor.Client) error) error {
	r.mu.Lock()
	routes := r.selector.Candidates(r.Now(), r.Peers())
	r.mu.Unlock()
	if len(routes) == 0 {
		return errNoRoute
	}
	var tried attempts
	for i := 0; i < len(routes); i++ {
		w := routes[i]
		x := r.Direct
		if w != Direct {
			x = r.Peer(w)
		}
		sent := r.Now()
		err := do(x)
		if errors.Is(err, context.Canceled) {
			return err // cancelled by the caller; says nothing about the route
		}
		if accessor.Answered(err) {
			r.recordResult(w, true)
			return err
		}
		if r.answeredSince(w, sent) {
			return tried.with(err).result() // the route works; only this response was lost
		}
		if errors.Is(err, errUnreachable) {
			r.recordUnreachable(w)
		} else {
			r.recordResult(w, false)
		}
		tried = tried.with(err)
		if i == len(routes)-1 && errors.Is(tried.result(), accessor.ErrNotDone) && !slices.Contains(routes, Direct) && r.DirectWorks() {
			routes = append(routes, Direct) // it recovered during the call
		}
	}
	return tried.result()
}

// recordUnreachable records a failure to connect to a peer.
func (r *Relayer) recordUnreachable(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.RecordUnreachable(r.Now(), peer)
}

// answeredSince reports whether another call on the route was answered after the given
// time.
func (r *Relayer) answeredSince(route string, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastAnswer[route].After(sent)
}

func (r *Relayer) recordResult(route string, worked bool) {
	r.mu.Lock()
	if worked {
		if r.lastAnswer == nil {
			r.lastAnswer = map[string]time.Time{}
		}
		r.lastAnswer[route] = r.Now()
	}
	before := r.selector.DirectFailed()
	r.selector.RecordResult(r.Now(), route, worked)
	after := r.selector.DirectFailed()
	r.mu.Unlock()
	if before != after {
		r.DirectChanged(!after)
	}
}

// Probe runs until the context ends. While the direct route fails, it probes the route
// with small reads of a topic, so that no caller has to wait for the route.
func (r *Relayer) Probe(ctx context.Context, topic string) {
	for sleeper.Sleep(ctx, probeInterval) == nil {
		r.mu.Lock()
		due := r.selector.ProbeDue(r.Now())
		r.mu.Unlock()
		if !due {
			continue
		}
		_, _, err := r.Direct.Read(ctx, topic, 0, 0)
		if ctx.Err() == nil {
			r.recordResult(Direct, accessor.Answered(err))
		}
	}
}

// DirectWorks reports whether the last attempt on the direct route succeeded.
func (r *Relayer) DirectWorks() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.selector.DirectFailed()
}
