package server

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// The timing of renewals.
const (
	renewInterval  = 1 * time.Second // well below leaser.MaxCountAge, so that counts stay fresh
	renewTimeout   = 1 * time.Second // of one call to a worker
	reportInterval = 5 * time.Second // longest time between reports of a worker that has not changed
	maxRenewals    = 64              // calls to workers under way
)

// renewer renews the leases on the workers that this VM owns, and reports what
// it reads there to the leader. It needs neither a leader nor the log.
type renewer struct {
	s *Server

	mu       sync.Mutex
	readings map[string]leaser.Reading // by worker
	others   map[string]leaser.Told    // by entry VM
	reported map[string]report         // by worker
}

// report is what the leader was last told of a worker.
type report struct {
	leader string
	at     time.Time
	leases []leaseState
}

// leaseState is what counts as a change of a lease.
type leaseState struct {
	id    leaser.ID
	state leaser.State
}

func newRenewer(s *Server) *renewer {
	return &renewer{
		s:        s,
		readings: map[string]leaser.Reading{},
		others:   map[string]leaser.Told{},
		reported: map[string]report{},
	}
}

// told notes which gangs another VM sees running.
func (r *renewer) told(now time.Time, d *peerv1.Digest) {
	t := leaser.Told{VM: d.GetVm(), At: now}
	for _, g := range d.GetGangs() {
		t.Gangs = append(t.Gangs, leaser.GangCount{Job: g.GetJob(), Attempt: int(g.GetAttempt()), Tasks: g.GetTasks()})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others[t.VM] = t
}

// gangs returns which gangs this VM sees running, for its digest.
func (r *renewer) gangs(now time.Time) []*peerv1.GangCount {
	var v []*peerv1.GangCount
	for _, g := range r.counts(now) {
		v = append(v, &peerv1.GangCount{
			Job: g.Job, Attempt: int32(g.Attempt), Running: int32(g.Running()), Tasks: g.Tasks,
		})
	}
	return v
}

func (r *renewer) counts(now time.Time) []leaser.GangCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := make([]leaser.Reading, 0, len(r.readings))
	for _, x := range r.readings {
		v = append(v, x)
	}
	return leaser.Counts(now, v)
}

// all returns the counts of every VM, this one included.
func (r *renewer) all(now time.Time) []leaser.Told {
	own := leaser.Told{VM: r.s.Settings.VM, At: now, Gangs: r.counts(now)}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := []leaser.Told{own}
	for _, t := range r.others {
		v = append(v, t)
	}
	return v
}

// run renews until ctx ends.
func (r *renewer) run(ctx context.Context) {
	slots := make(chan struct{}, maxRenewals)
	every(ctx, renewInterval, func() {
		told := r.all(r.s.Now())
		owned := r.owned()
		r.forget(owned)
		for _, w := range owned {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-slots }()
				r.renew(ctx, w, told)
			}()
		}
	})
}

// forget drops what is known of workers that this VM does not renew any more.
func (r *renewer) forget(owned []connector.ListedVM) {
	keep := make(map[string]bool, len(owned))
	for _, w := range owned {
		keep[w.ID] = true
	}
	gone := func(id string) bool { return !keep[id] }
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.readings, func(id string, _ leaser.Reading) bool { return gone(id) })
	maps.DeleteFunc(r.reported, func(id string, _ report) bool { return gone(id) })
}

// owned returns the listed workers that this VM renews. Workers of one rack have
// one owner, so that gangs within a rack are counted by a single VM.
func (r *renewer) owned() []connector.ListedVM {
	v := r.s.view.Load()
	live := v.members.Live(r.s.Now(), r.s.leaving.Load())
	return slices.DeleteFunc(v.workers(), func(l connector.ListedVM) bool {
		return leaser.Owner(l.Rack, live) != r.s.Settings.VM
	})
}

// renew renews the leases of one worker and takes its inventory.
func (r *renewer) renew(ctx context.Context, l connector.ListedVM, told []leaser.Told) {
	c, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	last := r.last(l.ID)
	at := r.s.Now()
	q := connector.RenewRequest{
		TTLMS:        leaser.TTL.Milliseconds(),
		Renew:        leaser.Renewals(at, last, told),
		Acknowledged: leaser.Acknowledgements(last, r.s.over),
	}
	i, err := r.s.worker(l.Address).Renew(c, q)
	if err != nil {
		r.s.quiet.log("renew", l.ID, err)
		return
	}
	r.mu.Lock()
	r.readings[l.ID] = leaser.Reading{At: at, Inventory: i}
	r.mu.Unlock()
	r.report(ctx, at, i)
}

func (r *renewer) last(worker string) leaser.Inventory {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readings[worker].Inventory
}

// report tells the leader what a worker said, when that is news to it.
func (r *renewer) report(ctx context.Context, at time.Time, i leaser.Inventory) {
	v := r.s.view.Load()
	leader, address := v.leader(r.s.Now())
	now := report{leader: leader, at: at, leases: states(i)}
	if leader == "" || !r.news(i.Worker, now) {
		return
	}
	if leader == r.s.Settings.VM && v.control.Leading() {
		r.s.post(eventMessage{reducer.WorkerReported{Inventory: i, Age: r.s.Now().Sub(at)}})
		r.noted(i.Worker, now)
		return
	}
	if address == "" {
		return // nobody leads at present
	}
	if err := r.send(ctx, leader, address, at, i); err != nil {
		r.s.quiet.log("report", leader, err)
		return
	}
	r.noted(i.Worker, now)
}

func (r *renewer) send(ctx context.Context, leader, address string, at time.Time, i leaser.Inventory) error {
	b, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("report worker %s to leader %s: %w", i.Worker, leader, err)
	}
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a, err := r.s.peer(address).Report(c, connect.NewRequest(&peerv1.ReportRequest{
		Inventories: [][]byte{b}, AgeMs: r.s.Now().Sub(at).Milliseconds(),
	}))
	if err != nil {
		return fmt.Errorf("report worker %s to leader %s: %w", i.Worker, leader, err)
	}
	if !a.Msg.GetLeading() {
		return fmt.Errorf("report worker %s to leader %s: it does not lead", i.Worker, leader)
	}
	return nil
}

// news reports whether now differs from what the leader was last told.
func (r *renewer) news(worker string, now report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.reported[worker]
	return !ok || last.leader != now.leader ||
		now.at.Sub(last.at) >= reportInterval || !slices.Equal(last.leases, now.leases)
}

func (r *renewer) noted(worker string, now report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported[worker] = now
}

func states(i leaser.Inventory) []leaseState {
	v := make([]leaseState, len(i.Leases))
	for n, l := range i.Leases {
		v[n] = leaseState{l.ID, l.State}
	}
	return v
}

// over reports whether an attempt of a job no longer counts, so that its ended
// leases need not be listed.
func (s *Server) over(job string, attempt int) bool {
	v := s.view.Load()
	if !v.controlReady {
		return false
	}
	return v.control.Over(job, attempt)
}
