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

// maxRenewals is how many calls to workers may be under way.
const maxRenewals = 64

// batchInterval is the time between reports while nothing changes. With it the leader
// has the next reading of a steady worker, SteadyInterval and a tick later, before
// the last one is as old as leaser.MaxCountAge, at which it asks the worker itself.
const batchInterval = leaser.CallTimeout / 2

// renewer renews the leases on the workers that this VM owns, and reports what
// it reads there to the leader. It needs neither a leader nor the log.
type renewer struct {
	s *Server

	mu       sync.Mutex
	readings map[string]leaser.Reading // by worker
	news     []leaser.Reading          // not yet reported
	changed  bool                      // one of news is not like the reading before
	reported time.Time                 // when news were last taken
	mine     []connector.ListedVM      // workers that this VM calls
	taken    time.Time                 // when mine was found
	pace     map[string]pace           // by worker
	others   map[string]leaser.Told    // by entry VM
	reach    leaser.Reach
	heard    map[string][]uint32 // by entry VM, what it says that it cannot reach
	calls    chan struct{}       // holds a value for each call under way
}

// pace is when a worker was called, and when it is to be called again.
type pace struct {
	called   time.Time
	underWay bool
	steady   bool // it answered, nothing has changed there, and all its leases run
}

func newRenewer(s *Server) *renewer {
	return &renewer{
		s: s, readings: map[string]leaser.Reading{}, others: map[string]leaser.Told{}, heard: map[string][]uint32{},
		pace: map[string]pace{}, calls: make(chan struct{}, maxRenewals),
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

// run renews until ctx ends. A call that takes long holds up no other.
func (r *renewer) run(ctx context.Context) {
	every(ctx, leaser.CallTick, func() { go r.turn(ctx) })
}

// report reports what was read until ctx ends: changes at the next tick, the rest in
// batches.
func (r *renewer) report(ctx context.Context) {
	every(ctx, leaser.CallTick, func() {
		if news := r.batch(r.s.Now()); len(news) > 0 {
			r.s.reporter.report(ctx, news)
		}
	})
}

// batch returns the readings that are to be reported now.
func (r *renewer) batch(now time.Time) []leaser.Reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed && now.Sub(r.reported) < batchInterval {
		return nil
	}
	news := r.news
	r.news, r.changed, r.reported = nil, false, now
	return news
}

// turn calls the workers whose turn it is.
func (r *renewer) turn(ctx context.Context) {
	now := r.s.Now()
	if r.stale(now) {
		r.take(r.owned(now))
	}
	due := r.due(now)
	if len(due) == 0 {
		return
	}
	told := []leaser.Told{leaser.Merge(now, r.all(now))}
	var wg sync.WaitGroup
	for _, w := range due {
		r.calls <- struct{}{}
		wg.Go(func() {
			defer func() { <-r.calls }()
			r.renew(ctx, w, told)
		})
	}
	wg.Wait()
}

// stale reports whether it is time to find anew which workers this VM calls.
func (r *renewer) stale(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.taken) < leaser.CallInterval {
		return false
	}
	r.taken = now
	return true
}

// due returns the workers that are to be called now, and notes that they are.
func (r *renewer) due(now time.Time) []connector.ListedVM {
	waiting := r.s.view.Load().waiting(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []connector.ListedVM
	for _, w := range r.mine {
		p := r.pace[w.ID]
		interval := leaser.CallInterval
		if p.steady && !waiting {
			interval = leaser.SteadyInterval
		}
		if !p.underWay && leaser.Due(now, p.called, w.ID, interval) {
			p.called, p.underWay = now, true
			r.pace[w.ID] = p
			due = append(due, w)
		}
	}
	return due
}

// take notes which workers this VM calls, and drops what is known of others.
func (r *renewer) take(mine []connector.ListedVM) {
	keep := make(map[string]bool, len(mine))
	for _, w := range mine {
		keep[w.ID] = true
	}
	gone := func(worker string) bool { return !keep[worker] }
	r.mu.Lock()
	r.mine = mine
	maps.DeleteFunc(r.readings, func(w string, _ leaser.Reading) bool { return gone(w) })
	maps.DeleteFunc(r.pace, func(w string, p pace) bool { return gone(w) && !p.underWay })
	r.mu.Unlock()
	r.s.reporter.forget(gone)
}

// renew renews the leases of one worker, and keeps what it answers.
func (r *renewer) renew(ctx context.Context, l connector.ListedVM, told []leaser.Told) {
	c, cancel := context.WithTimeout(ctx, leaser.CallTimeout)
	defer cancel()
	last := r.last(l.ID)
	at := r.s.Now()
	a, err := r.s.worker(l.Address).Renew(c, r.request(at, last, told))
	if err != nil {
		r.s.quiet.log("renew", l.ID, err)
		r.missed(at, l.ID)
		return
	}
	i, ok := a.Whole(last)
	if !ok {
		r.s.quiet.log("renew", l.ID, fmt.Errorf("renew leases at worker %s: its brief answer is to something else", l.ID))
		i = leaser.Inventory{Worker: l.ID} // asks for the whole at the next call
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x := leaser.Reading{At: at, Inventory: i}
	r.readings[l.ID] = x
	r.reach = r.reach.WithAnswer(l.ID)
	r.pace[l.ID] = pace{called: at, steady: ok && i.Mark != "" && i.Mark == last.Mark && i.Steady()}
	if ok {
		r.news = append(r.news, x)
		r.changed = r.changed || i.Mark == "" || i.Mark != last.Mark
	}
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
