package main_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

const (
	rivalMinCut      = 4 * time.Second
	rivalMaxCut      = 25 * time.Second
	rivalIsland      = 0.4                     // share of the executors that only the leader reaches
	rivalMinDown     = 1500 * time.Millisecond // of an executor that restarts
	rivalEntryExpiry = 4500 * time.Millisecond // three heartbeats, after which an entry is removed
	rivalOutage      = 9 * time.Second         // of the store, at most
	rivalPause       = 12 * time.Second        // of a VM, at most
	rivalLateShare   = 30                      // percent of the calls
)

var rivalCuts = []standin.LinkState{standin.LinkCut, standin.LinkSilent, standin.LinkSilentAway, standin.LinkSilentBack}

func drawCut(r *rand.Rand) string { return string(rivalCuts[r.IntN(len(rivalCuts))]) }

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// injectSeries isolates several leaders in turn, while earlier ones may still be isolated,
// with other faults beside.
func (s *rivalSoak) injectSeries(callers *sync.WaitGroup) {
	r := s.faultRand
	for range 2 + r.IntN(2) {
		v := s.leader()
		island := s.isolate(v, between(r, rivalMinCut, rivalMaxCut), r)
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		switch r.IntN(6) {
		case 0, 1:
			s.interrupt(v, syscall.SIGTERM, 0, standingGrace, between(r, 0, 3*time.Second))
		case 2:
			s.interrupt(v, syscall.SIGSTOP, between(r, time.Second, rivalPause), 0, 0)
		case 3:
			s.interrupt(v, syscall.SIGKILL, 0, 0, between(r, 0, 3*time.Second))
		}
		s.submitInHandover(callers, r)
		for range r.IntN(4) {
			s.disturb(island, r)
			time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		}
		for end := time.Now().Add(standingTakeover); s.leader() == v && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(between(r, 0, 14*time.Second)) // a recovery that waits for leases takes 10.5 s
	}
}

// isolate cuts a VM off from the store and the other VMs, and the other VMs off from some
// executors that it still reaches. It returns these executors.
func (s *rivalSoak) isolate(v *standingVM, d time.Duration, r *rand.Rand) []int {
	i := slices.Index(s.vms, v)
	var island, rest []string
	var numbers []int
	for k, w := range s.workers {
		if r.Float64() < rivalIsland {
			island, numbers = append(island, w.id), append(numbers, k)
		} else {
			rest = append(rest, w.id)
		}
	}
	away, state, later := drawCut(r), drawCut(r), between(r, 0, 4*time.Second)
	routes := []string{"store"}
	if r.IntN(2) == 0 {
		routes = append(routes, "machines")
	}
	others := slices.DeleteFunc(slices.Clone(s.vms), func(o *standingVM) bool { return o == v })
	for _, o := range others {
		routes = append(routes, o.name)
	}
	cutsRest := r.IntN(2) == 0
	if cutsRest {
		routes = append(routes, rest...)
	}
	end := s.begin("%s routes of %s to %v for %v; %s the others' routes to %v", away, v.name, routes, d, state, island)
	var restore []func()
	for k, n := range s.networks {
		if k != i {
			restore = append(restore, n.cut(state, append([]string{v.name}, island...)...))
		}
	}
	back := s.networks[i].cut(away, routes...)
	time.AfterFunc(d, back)
	time.AfterFunc(d+later, func() {
		defer end()
		for _, f := range restore {
			f()
		}
	})
	return numbers
}

// disturb injects one other fault, with executors of the island more often than others.
func (s *rivalSoak) disturb(island []int, r *rand.Rand) {
	some := s.drawExecutors(island, r)
	switch r.IntN(9) {
	case 0:
		v := s.vms[r.IntN(len(s.vms))]
		end := s.begin("SIGHUP to %s", v.name)
		v.mu.Lock()
		v.signal(syscall.SIGHUP)
		v.mu.Unlock()
		end()
	case 1:
		end := s.begin("configuration %d", s.version+1)
		s.configure()
		end()
	case 2, 3:
		s.restartExecutors(some, between(r, rivalMinDown, 3*rivalMinDown))
	case 4, 5:
		s.expireEntries(some, between(r, time.Second, 16*time.Second))
	case 6:
		s.stopStore(between(r, time.Second, rivalOutage))
	case 7:
		s.delayCalls(some, between(r, time.Second, 8*time.Second), r)
	default:
		v := s.vms[r.IntN(len(s.vms))]
		s.interrupt(v, []syscall.Signal{syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGKILL}[r.IntN(3)], between(r, time.Second, rivalPause), standingGrace, between(r, 0, 3*time.Second))
	}
}

func (s *rivalSoak) drawExecutors(island []int, r *rand.Rand) []int {
	var some []int
	for range 1 + r.IntN(3) {
		k := r.IntN(len(s.workers))
		if len(island) > 0 && r.IntN(4) > 0 {
			k = island[r.IntN(len(island))]
		}
		if !slices.Contains(some, k) {
			some = append(some, k)
		}
	}
	return some
}

// relist brings the entry of an executor in the store, and of its machine in the list of
// machines, up to date.
func (s *rivalSoak) relist(i int) {
	w := s.workers[i]
	s.mu.Lock()
	p := s.presence[i]
	s.mu.Unlock()
	m := platformstandin.Machine{ID: fmt.Sprintf("m%d", i), Pool: "s", State: "up", Executor: w.id, GPUs: w.room.gpu}
	if p.down > 0 {
		m.State, m.Executor = "down", ""
	}
	s.machines.Put(m)
	if p.unheard > 0 {
		s.store.Put("keyed.servers", w.id, nil)
	} else if p.down == 0 {
		s.list(w)
	}
}

func (s *rivalSoak) changePresence(i int, change func(p *rivalPresence)) {
	s.mu.Lock()
	change(&s.presence[i])
	s.mu.Unlock()
	s.relist(i)
}

// restartExecutors restarts executors, which are away for a while.
func (s *rivalSoak) restartExecutors(some []int, d time.Duration) {
	for _, i := range some {
		end := s.begin("restart x%d after %v", i, d)
		var restore []func()
		for _, n := range s.networks {
			restore = append(restore, n.cut(string(standin.LinkCut), s.workers[i].id))
		}
		s.restart(i)
		s.changePresence(i, func(p *rivalPresence) { p.down++ })
		time.AfterFunc(d, func() {
			defer end()
			s.restart(i)
			for _, f := range restore {
				f()
			}
			s.changePresence(i, func(p *rivalPresence) { p.down-- })
		})
	}
}

func (s *rivalSoak) restart(i int) {
	s.executors[i].Restart()
	s.noteRestart(i)
}

// expireEntries removes the entries of executors, which do not reach the store for a while.
func (s *rivalSoak) expireEntries(some []int, d time.Duration) {
	for _, i := range some {
		end := s.begin("entry of x%d has expired for %v", i, d)
		s.changePresence(i, func(p *rivalPresence) { p.unheard++ })
		time.AfterFunc(d, func() {
			defer end()
			s.changePresence(i, func(p *rivalPresence) { p.unheard-- })
		})
	}
}

// stopStore makes the store unavailable to all VMs.
func (s *rivalSoak) stopStore(d time.Duration) {
	end := s.begin("store unavailable for %v", d)
	s.setUnavailable(1)
	time.AfterFunc(d, func() {
		defer end()
		s.setUnavailable(-1)
	})
}

func (s *rivalSoak) setUnavailable(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages += change
	for _, p := range s.proxies {
		p.Unavailable.Store(s.outages > 0)
	}
}

// delayCalls lets executors, and sometimes the store, carry out some calls late.
func (s *rivalSoak) delayCalls(some []int, d time.Duration, r *rand.Rand) {
	var all []*rivalEndpoint
	for _, i := range some {
		all = append(all, s.endpoints[i])
	}
	withStore := r.IntN(2) == 0
	if withStore {
		all = append(all, s.stores...)
	}
	end := s.begin("late calls to executors %v for %v, to the store %v", some, d, withStore)
	for _, e := range all {
		e.share.Add(rivalLateShare)
	}
	time.AfterFunc(d, func() {
		defer end()
		for _, e := range all {
			e.share.Add(-rivalLateShare)
		}
	})
}
