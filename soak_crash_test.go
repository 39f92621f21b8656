package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

const (
	soakCrashingJobs  = 2
	soakCapacityGrace = 4500 * time.Millisecond // the platform's contactMs and one heartbeat, after which a capacity that has shrunk counts
)

// soakCapacity is the number of accelerators in the entry of an executor.
type soakCapacity struct {
	now, before int
	changed     time.Time
}

// allowed returns the most accelerators that a start may bring into use.
func (c soakCapacity) allowed(at time.Time) int {
	if at.Sub(c.changed) < soakCapacityGrace {
		return max(c.now, c.before)
	}
	return c.now
}

func (s *soak) capacityOf(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacities[i].now
}

// setCapacity changes the capacity of an executor, to be listed next.
func (s *soak) setCapacity(i, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.capacities[i] = soakCapacity{now: slots, before: s.capacities[i].allowed(now), changed: now}
}

// changeCapacity lets a random executor shrink or grow, now and then.
func (s *soak) changeCapacity() {
	if s.extraRand.IntN(3) > 0 {
		return
	}
	i, slots := s.extraRand.IntN(soakExecutors), 1+s.extraRand.IntN(soakSlots)
	s.setCapacity(i, slots)
	s.listExecutor(i, "ready")
	s.faults = append(s.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf("capacity of x%d is %d", i, slots))
}

// checkCapacity checks that a start leaves no more runs on an executor than its capacity.
func (s *soak) checkCapacity(i int, task string, runs int) {
	s.mu.Lock()
	most := s.capacities[i].allowed(time.Now())
	s.mu.Unlock()
	if *soakBreak == "capacity" {
		most = 0
	}
	if runs > most {
		s.problemf("x%d starts task %s and runs %d tasks, but its capacity is %d", i, task, runs, most)
	}
}

// runCrashingJobs submits jobs whose tasks crash the executors that start them.
func (s *soak) runCrashingJobs(callers *sync.WaitGroup) {
	for k := range soakCrashingJobs {
		id := fmt.Sprintf("c%015x", k+1)
		j := &soakJob{tasks: 1, crashing: true}
		s.mu.Lock()
		s.jobs[id] = j
		s.mu.Unlock()
		body := platformstandin.Job(fmt.Sprintf("%s%dms", platformstandin.CrashPrefix, 10+s.extraRand.IntN(500)), j.tasks, false)
		delay, vm := time.Duration(s.extraRand.Int64N(int64(*soakSpan))), s.extraRand.IntN(len(s.vms))
		callers.Go(func() {
			time.Sleep(delay)
			a := soakCall(http.MethodPost, s.vms[vm].callers, "/slow/"+id, body)
			s.mu.Lock()
			defer s.mu.Unlock()
			j.accepted = a.status == http.StatusOK
			j.uncertain = !j.accepted && a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests
		})
	}
}

// recordCrash counts a crash and lets the executor be away for a while.
func (s *soak) recordCrash(i int, task string) {
	s.mu.Lock()
	s.crashes[task]++
	s.mu.Unlock()
	s.controlLink(s.links[i], `{"state":{"x":"cut"}}`)
	time.AfterFunc(time.Second, func() {
		s.controlLink(s.links[i], `{"state":{"x":"up"}}`)
		s.listExecutor(i, "ready")
	})
}

// checkLaterStart checks that no task is started three times more after three crashes.
func (s *soak) checkLaterStart(i int, task string) {
	limit := 3
	if *soakBreak == "crash" {
		limit = 1
	}
	s.mu.Lock()
	if s.crashes[task] >= limit {
		s.laterStarts[task]++
	}
	n, crashing := s.laterStarts[task], strings.HasPrefix(task, "c")
	s.mu.Unlock()
	if crashing && n >= limit {
		s.problemf("x%d starts task %s: start %d after %d executors have crashed under it", i, task, n, limit)
	}
}
