package server

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
)

// The timing of renewals.
const (
	renewInterval = 1 * time.Second // well below leaser.MaxCountAge, so that counts stay fresh
	renewTimeout  = 1 * time.Second // of one call to a worker
	maxRenewals   = 64              // calls to workers under way
)

// renewer renews the leases on the workers that this VM owns, and reports what
// it reads there to the leader. It needs neither a leader nor the log.
type renewer struct {
	s *Server

	mu       sync.Mutex
	readings map[string]leaser.Reading // by worker
	others   map[string]leaser.Told    // by entry VM
	reach    leaser.Reach
	heard    map[string][]uint32 // by entry VM, what it says that it cannot reach
}

func newRenewer(s *Server) *renewer {
	return &renewer{
		s: s, readings: map[string]leaser.Reading{}, others: map[string]leaser.Told{}, heard: map[string][]uint32{},
	}
}

// told notes which gangs another VM sees running, and what it cannot reach.
func (r *renewer) told(now time.Time, d *peerv1.Digest) {
	t := leaser.Told{VM: d.GetVm(), At: now}
	for _, g := range d.GetGangs() {
		t.Gangs = append(t.Gangs, leaser.GangCount{Job: g.GetJob(), Attempt: int(g.GetAttempt()), Tasks: g.GetTasks()})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others[t.VM] = t
	r.heard[t.VM] = d.GetUnreached()
}

// gangs returns which gangs this VM sees running, for its digest. One that it sees
// whole is left out: no other VM renews any of its leases.
func (r *renewer) gangs(now time.Time) []*peerv1.GangCount {
	sizes := r.sizes()
	var v []*peerv1.GangCount
	for _, g := range r.counts(now) {
		if g.Running() == sizes[gangKey{g.Job, g.Attempt}] {
			continue
		}
		v = append(v, &peerv1.GangCount{Job: g.Job, Attempt: int32(g.Attempt), Tasks: g.Tasks})
	}
	return v
}

// gangKey names an attempt of a job.
type gangKey struct {
	job     string
	attempt int
}

// sizes returns the sizes of the gangs of several tasks that this VM has read of.
func (r *renewer) sizes() map[gangKey]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := map[gangKey]int{}
	for _, x := range r.readings {
		for _, l := range x.Inventory.Leases {
			if l.GangSize > 1 {
				v[gangKey{l.ID.Job, l.ID.Attempt}] = l.GangSize
			}
		}
	}
	return v
}

func (r *renewer) counts(now time.Time) []leaser.GangCount {
	r.mu.Lock()
	v := slices.Collect(maps.Values(r.readings))
	r.mu.Unlock()
	return leaser.Counts(now, v)
}

// all returns the counts of every VM, this one included.
func (r *renewer) all(now time.Time) []leaser.Told {
	own := leaser.Told{VM: r.s.Settings.VM, At: now, Gangs: r.counts(now)}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]leaser.Told{own}, slices.Collect(maps.Values(r.others))...)
}

// run renews until ctx ends.
func (r *renewer) run(ctx context.Context) {
	every(ctx, renewInterval, func() { r.s.reporter.report(ctx, r.turn(ctx)) })
}

// turn calls the workers whose turn it is, and returns what was read.
func (r *renewer) turn(ctx context.Context) []leaser.Reading {
	now := r.s.Now()
	owned := r.owned(now)
	r.forget(owned)
	return r.round(ctx, owned, []leaser.Told{leaser.Merge(now, r.all(now))})
}

// round renews the leases of all owned workers once, and returns what was read.
// A worker that does not answer in time is left out.
func (r *renewer) round(ctx context.Context, owned []connector.ListedVM, told []leaser.Told) []leaser.Reading {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxRenewals)
	readings := make([]leaser.Reading, len(owned))
	for i, w := range owned {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			readings[i] = r.renew(ctx, w, told)
		})
	}
	wg.Wait()
	return slices.DeleteFunc(readings, func(x leaser.Reading) bool { return x.At.IsZero() })
}

// forget drops what is known of workers that this VM does not renew any more.
func (r *renewer) forget(owned []connector.ListedVM) {
	keep := make(map[string]bool, len(owned))
	for _, w := range owned {
		keep[w.ID] = true
	}
	gone := func(worker string) bool { return !keep[worker] }
	r.mu.Lock()
	maps.DeleteFunc(r.readings, func(w string, _ leaser.Reading) bool { return gone(w) })
	r.mu.Unlock()
	r.s.reporter.forget(gone)
}

// renew renews the leases of one worker and returns its inventory; the zero
// reading when it did not answer.
func (r *renewer) renew(ctx context.Context, l connector.ListedVM, told []leaser.Told) leaser.Reading {
	c, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	last := r.last(l.ID)
	at := r.s.Now()
	a, err := r.s.worker(l.Address).Renew(c, r.request(at, last, told))
	if err != nil {
		r.s.quiet.log("renew", l.ID, err)
		r.missed(at, l.ID)
		return leaser.Reading{}
	}
	i, ok := a.Whole(last)
	if !ok {
		r.s.quiet.log("renew", l.ID, fmt.Errorf("renew leases at worker %s: its brief answer is to something else", l.ID))
		i = leaser.Inventory{Worker: l.ID} // asks for the whole at the next round
	}
	x := leaser.Reading{At: at, Inventory: i}
	r.mu.Lock()
	r.readings[l.ID] = x
	r.reach = r.reach.WithAnswer(l.ID)
	r.mu.Unlock()
	if !ok {
		return leaser.Reading{}
	}
	return x
}

// request returns what a worker is asked, as short as can be.
func (r *renewer) request(now time.Time, last leaser.Inventory, told []leaser.Told) connector.RenewRequest {
	q := connector.RenewRequest{
		TTLMS:        leaser.TTL.Milliseconds(),
		Renew:        leaser.Renewals(now, last, told),
		Acknowledged: leaser.Acknowledgements(last, r.s.over),
		Known:        last.Mark,
	}
	if last.Mark != "" && last.All(q.Renew) {
		q.Renew, q.RenewKnown = nil, true
	}
	return q
}

func (r *renewer) last(worker string) leaser.Inventory {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readings[worker].Inventory
}

// over reports whether an attempt of a job no longer counts, so that its ended
// leases need not be listed.
func (s *Server) over(job string, attempt int) bool {
	v := s.view.Load()
	return v.controlReady && v.control.Over(job, attempt)
}
