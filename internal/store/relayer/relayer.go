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
	Peers         func() []string                 // addresses of other entry VMs
	DirectChanged func(topic string, direct bool) // called when the direct route to partition 0 of a topic fails or recovers
	Now           func() time.Time

	// Served is the direct route for the calls of other VMs, whose responses are smaller; zero for
	// Direct.
	Served accessor.Client

	// Charge charges memory to the connection of a call of another VM. The returned function
	// ends that. Nil for none.
	Charge func(ctx context.Context, bytes int64) (release func(), err error)

	// Recovered is called when a call to a partition of a topic is answered after others were
	// not; nil for none.
	Recovered func(partition string)

	// ProbeInterval returns the time between two probes of the direct route to partition 0 of a
	// topic; nil for a default.
	ProbeInterval func() time.Duration

	mu         sync.Mutex
	routes     map[string]*partitionRoutes // by name of the partition: the store may lose single partitions of single topics
	lastAnswer map[string]time.Time        // by route, time of the last answered call to any partition
}

// partitionRoutes are the routes to one partition of a topic.
type partitionRoutes struct {
	selector   RouteSelector
	lastAnswer map[string]time.Time // by route, time of the last answered call
	failing    bool                 // the last result of a call was a failure
	calledAt   time.Time            // of the last call
	nextOffset int64                // from which the last read asked for records; a probe from there gets few
}

// partition returns the routes to a partition. r.mu must be held.
func (r *Relayer) partition(name string) *partitionRoutes {
	if r.routes == nil {
		r.routes = map[string]*partitionRoutes{}
	}
	p, ok := r.routes[name]
	if !ok {
		p = &partitionRoutes{lastAnswer: map[string]time.Time{}}
		r.routes[name] = p
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
			r.noteOffset(topic, from)
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
func (r *Relayer) tryRoutes(name string, do func(accessor.Client) error) error {
	r.mu.Lock()
	p := r.partition(name)
	p.calledAt = r.Now()
	routes := p.selector.Candidates(p.calledAt, r.Peers())
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
			r.recordResult(name, w, true)
			return err
		}
		if r.answeredSince(name, w, sent, err) {
			return tried.with(err).result() // the route works; only this response was lost
		}
		if errors.Is(err, errUnreachable) {
			r.recordUnreachable(w)
		} else {
			r.recordResult(name, w, false)
		}
		tried = tried.with(err)
		if i == len(routes)-1 && errors.Is(tried.result(), accessor.ErrNotDone) && !slices.Contains(routes, Direct) && r.DirectWorks(name) {
			routes = append(routes, Direct) // it recovered during the call
		}
	}
	return tried.result()
}

// noteOffset records from where a partition is read.
func (r *Relayer) noteOffset(name string, from int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partition(name).nextOffset = from
}

// recordUnreachable records a failure to connect to a peer, which holds for all partitions.
func (r *Relayer) recordUnreachable(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.routes {
		p.selector.RecordUnreachable(r.Now(), peer)
	}
}

// answeredSince reports whether the route has answered another call since the given time, so that
// a failure says nothing about it. A call that was refused is compared with calls to the same
// partition only, as the store may lose it alone; a call without an answer with all calls, as
// answers get lost on routes that work.
func (r *Relayer) answeredSince(name, route string, sent time.Time, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, accessor.ErrNotDone) {
		return r.partition(name).lastAnswer[route].After(sent)
	}
	return r.lastAnswer[route].After(sent)
}

func (r *Relayer) recordResult(name, route string, worked bool) {
	r.mu.Lock()
	p := r.partition(name)
	if worked {
		if r.lastAnswer == nil {
			r.lastAnswer = map[string]time.Time{}
		}
		p.lastAnswer[route], r.lastAnswer[route] = r.Now(), r.Now()
	}
	before := p.selector.DirectFailed()
	p.selector.RecordResult(r.Now(), route, worked)
	after := p.selector.DirectFailed()
	recovered := worked && p.failing
	p.failing = !worked
	r.mu.Unlock()
	if recovered && r.Recovered != nil {
		r.Recovered(name)
	}
	if topic, part := accessor.SplitPartition(name); before != after && part == 0 {
		r.DirectChanged(topic, !after)
	}
}

// Probe runs until the context ends. While the direct route to a partition fails, it probes the
// route with small reads, so that no caller has to wait for the route.
func (r *Relayer) Probe(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for sleeper.Sleep(ctx, r.probeInterval()) == nil {
		for name, from := range r.dueProbes() {
			probes.Go(func() {
				_, _, err := r.Direct.Read(ctx, name, from, 0)
				if ctx.Err() == nil {
					r.recordResult(name, Direct, accessor.Answered(err))
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

// dueProbes returns the partitions whose direct route is to be probed now, with the offsets to
// read from, and delays their next probes. A partition without calls is not probed: the next
// call tries its direct route again.
func (r *Relayer) dueProbes() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	due := map[string]int64{}
	for name, p := range r.routes {
		if !p.selector.ProbeDue(now) {
			continue
		}
		if now.Sub(p.calledAt) > maxProbedIdle {
			p.selector.RecordResult(now, Direct, true)
			continue
		}
		interval := r.probeInterval()
		if _, part := accessor.SplitPartition(name); part != 0 {
			interval = otherProbeInterval
		}
		p.selector.ProbeStarted(now, interval)
		due[name] = p.nextOffset
	}
	return due
}

// DirectWorks reports whether the last attempt on the direct route to a partition succeeded.
func (r *Relayer) DirectWorks(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.partition(name).selector.DirectFailed()
}
