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
	DirectChanged func(direct bool) // called when the direct route to partition 0 fails or recovers
	Now           func() time.Time

	// Recovered is called when a call to a partition is answered after others were not; nil for
	// none.
	Recovered func(part int)

	// ProbeInterval returns the time between two probes of the direct route to partition 0; nil
	// for a default.
	ProbeInterval func() time.Duration

	// ProbedTopic is the topic whose partitions other than 0 are probed while the direct route
	// to them fails.
	ProbedTopic string

	mu     sync.Mutex
	routes map[int]*partitionRoutes // by partition: the store may lose some of them only
}

// partitionRoutes are the routes to one partition of all topics.
type partitionRoutes struct {
	selector   RouteSelector
	lastAnswer map[string]time.Time // by route, time of the last answered call
	failing    bool                 // the last result of a call was a failure
}

// partition returns the routes to a partition. r.mu must be held.
func (r *Relayer) partition(part int) *partitionRoutes {
	if r.routes == nil {
		r.routes = map[int]*partitionRoutes{}
	}
	p, ok := r.routes[part]
	if !ok {
		p = &partitionRoutes{lastAnswer: map[string]time.Time{}}
		r.routes[part] = p
	}
	return p
}

// StoreClient returns a client that calls the store through the relayer.
func (r *Relayer) StoreClient() accessor.Client {
	return accessor.Client{
		Append: func(ctx context.Context, a accessor.Append) (int64, error) {
			var offset int64
			err := r.tryRoutes(a.Topic, func(x accessor.Client) (err error) {
				offset, err = x.Append(ctx, a)
				return err
			})
			return offset, err
		},
		Read: func(ctx context.Context, topic string, from int64, wait time.Duration) ([]accessor.Record, int64, error) {
			var records []accessor.Record
			var end int64
			err := r.tryRoutes(topic, func(x accessor.Client) (err error) {
				records, end, err = x.Read(ctx, topic, from, wait)
				return err
			})
			return records, end, err
		},
		Newest: func(ctx context.Context, topic string) ([]accessor.Record, int64, error) {
			var records []accessor.Record
			var end int64
			err := r.tryRoutes(topic, func(x accessor.Client) (err error) {
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
func (r *Relayer) tryRoutes(topic string, do func(accessor.Client) error) error {
	_, part := accessor.SplitPartition(topic)
	r.mu.Lock()
	routes := r.partition(part).selector.Candidates(r.Now(), r.Peers())
	r.mu.Unlock()
	if len(routes) == 0 {
		return errNoRoute
	}
	var result error
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
			r.recordResult(part, w, true)
			return err
		}
		if r.answeredSince(part, w, sent) {
			return lessCertain(result, err) // the route works; only this response was lost
		}
		if errors.Is(err, errUnreachable) {
			r.recordUnreachable(part, w)
		} else {
			r.recordResult(part, w, false)
		}
		result = lessCertain(result, err)
		if i == len(routes)-1 && errors.Is(result, accessor.ErrNotDone) && !slices.Contains(routes, Direct) && r.DirectWorks(part) {
			routes = append(routes, Direct) // it recovered during the call
		}
	}
	return result
}

// recordUnreachable records a failure to connect to a peer.
func (r *Relayer) recordUnreachable(part int, peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partition(part).selector.RecordUnreachable(r.Now(), peer)
}

// answeredSince reports whether another call on the route to the partition was answered after
// the given time.
func (r *Relayer) answeredSince(part int, route string, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partition(part).lastAnswer[route].After(sent)
}

func (r *Relayer) recordResult(part int, route string, worked bool) {
	r.mu.Lock()
	p := r.partition(part)
	if worked {
		p.lastAnswer[route] = r.Now()
	}
	before := p.selector.DirectFailed()
	p.selector.RecordResult(r.Now(), route, worked)
	after := p.selector.DirectFailed()
	recovered := worked && p.failing
	p.failing = !worked
	r.mu.Unlock()
	if recovered && r.Recovered != nil {
		r.Recovered(part)
	}
	if before != after && part == 0 {
		r.DirectChanged(!after)
	}
}

// Probe runs until the context ends. While the direct route to a partition fails, it probes the
// route with small reads of a topic, so that no caller has to wait for the route.
func (r *Relayer) Probe(ctx context.Context, topic string) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for sleeper.Sleep(ctx, r.probeInterval()) == nil {
		for _, part := range r.dueProbes() {
			name := topic
			if part != 0 {
				name = accessor.Partition(r.ProbedTopic, part)
			}
			probes.Go(func() {
				_, _, err := r.Direct.Read(ctx, name, 0, 0)
				if ctx.Err() == nil {
					r.recordResult(part, Direct, accessor.Answered(err))
				}
			})
		}
	}
}

// probeInterval returns the time between two probes.
func (r *Relayer) probeInterval() time.Duration {
	if r.ProbeInterval == nil {
		return probeInterval
	}
	return r.ProbeInterval()
}

// dueProbes returns the partitions whose direct route is to be probed now, and delays their
// next probes.
func (r *Relayer) dueProbes() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []int
	for part, p := range r.routes {
		if p.selector.ProbeDue(r.Now()) {
			interval := r.probeInterval()
			if part != 0 {
				interval = otherProbeInterval
			}
			p.selector.ProbeStarted(r.Now(), interval)
			due = append(due, part)
		}
	}
	return due
}

// DirectWorks reports whether the last attempt on the direct route to a partition succeeded.
func (r *Relayer) DirectWorks(part int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.partition(part).selector.DirectFailed()
}
