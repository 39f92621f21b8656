package main_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

// The crowd of TestSoakCrowd.
const (
	crowdJobMemoryMB = "1"
	crowdFillers     = 4
	crowdAttackers   = 12
	crowdSeed        = 46 // of the run without -soak.seed
)

// TestSoakCrowd is TestSoak while some clients keep the room for accepted jobs full and others
// hold connections with requests that do not end. Ordinary jobs may be refused.
func TestSoakCrowd(t *testing.T) {
	first, runs := uint64(crowdSeed), 1
	if *soakSeed > 0 {
		first, runs = *soakSeed, *soakRuns
	}
	for i := range runs {
		n := first + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", n), func(t *testing.T) {
			if runs > 1 {
				t.Parallel()
			}
			s := newSoakWith(t, n, "--job-memory-mb", crowdJobMemoryMB)
			stop := make(chan struct{})
			var crowd sync.WaitGroup
			for k := range crowdFillers {
				crowd.Go(func() { s.fill(stop, rand.New(rand.NewPCG(n, uint64(k))), k) })
			}
			for k := range crowdAttackers {
				crowd.Go(func() { s.press(stop, rand.New(rand.NewPCG(n, uint64(crowdFillers+k))), k) })
			}
			s.beforeCheck = func() {
				close(stop)
				crowd.Wait()
			}
			s.run()
			t.Logf("ordinary jobs: %d of %d were accepted", s.countAccepted(), len(s.jobs))
		})
	}
}

// fill submits large jobs of another organisation that no executor has room for, and cancels them after a while.
func (s *soak) fill(stop <-chan struct{}, r *rand.Rand, k int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(60)) * time.Millisecond):
		}
		path := fmt.Sprintf("/slow/f%015x", k<<32+i)
		call := func(method, body string) int {
			status, _ := platformstandin.Call(soakClient, method, s.vms[r.IntN(len(s.vms))].callers, path, hostileOtherKey, body)
			return status
		}
		if call(http.MethodPost, `{"steps":[{"count":100,"gpu":1000}]}`) == http.StatusOK && r.IntN(3) > 0 {
			_ = call(http.MethodDelete, "")
		}
	}
}

// press sends requests of the attacks on one VM after the other.
func (s *soak) press(stop <-chan struct{}, r *rand.Rand, i int) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", s.vms[r.IntN(len(s.vms))].callers, time.Second)
		if err != nil {
			time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond) // the VM is down
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Duration(100+r.IntN(900)) * time.Millisecond))
		_ = callerAttacks[r.IntN(len(callerAttacks))].send(c, i)
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
	}
}

func (s *soak) countAccepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, j := range s.jobs {
		if j.accepted {
			n++
		}
	}
	return n
}
