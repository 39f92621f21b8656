package main_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

const (
	soakZones         = 2
	soakLateJobs      = 6               // submitted once nothing may start in the evacuated zone any more
	soakEvacuateLimit = 5 * time.Second // the platform's evacuateMs
	soakEvacuateTime  = 8 * time.Second // for which a zone is evacuated
	soakLateTime      = 2 * time.Second // before its end in which the late jobs are submitted
	soakRewriteDelay  = 1 * time.Second // longest time between the removal of a record and its next one
	soakLatestRecord  = 2 * time.Second // after the begin of the run
	soakBothPercent   = 30              // of the runs in which both zones are evacuated
	soakAgainPercent  = 50              // of the runs in which a record is removed and written again
)

func soakZone(i int) string { return fmt.Sprintf("z%d", i%soakZones) }

// soakEvacuations are the records of the stand-in operator.
type soakEvacuations struct {
	mu      sync.Mutex
	written map[string]time.Time // of the zones that have a record
}

// evacuate writes the record of a zone or removes it. The check counts from before it is
// written and until before it is removed.
func (s *soak) evacuate(zone string, evacuated bool) {
	s.evacuations.mu.Lock()
	defer s.evacuations.mu.Unlock()
	if s.evacuations.written == nil {
		s.evacuations.written = map[string]time.Time{}
	}
	delete(s.evacuations.written, zone)
	if *soakBreak != "evacuation" {
		s.store.Evacuate(zone, evacuated)
	}
	if evacuated {
		s.evacuations.written[zone] = time.Now()
	}
}

// checkZone checks that a start on executor i is not in a zone whose record was stored longer
// ago than the limit. A VM that does not reach the store may not lead for that long.
func (s *soak) checkZone(i int, task string) {
	s.evacuations.mu.Lock()
	at, ok := s.evacuations.written[soakZone(i)]
	s.evacuations.mu.Unlock()
	if age := time.Since(at); ok && age > soakEvacuateLimit {
		s.problemf("x%d starts task %s %v after zone %s was evacuated", i, task, age.Round(time.Millisecond), soakZone(i))
	}
}

// runOperator evacuates one or both zones, and submits jobs late in that time.
func (s *soak) runOperator(r *rand.Rand) {
	zones := []string{soakZone(r.IntN(soakZones))}
	if r.IntN(100) < soakBothPercent {
		zones = []string{soakZone(0), soakZone(1)}
	}
	time.Sleep(time.Duration(r.Int64N(int64(soakLatestRecord))))
	again := r.IntN(100) < soakAgainPercent
	for _, z := range zones {
		s.evacuate(z, true)
	}
	if again {
		time.Sleep(time.Duration(r.Int64N(int64(soakRewriteDelay))))
		for _, z := range zones {
			s.evacuate(z, false)
		}
		time.Sleep(time.Duration(r.Int64N(int64(soakRewriteDelay))))
		for _, z := range zones {
			s.evacuate(z, true)
		}
	}
	time.Sleep(soakEvacuateTime - soakLateTime)
	for k := range soakLateJobs {
		s.submitLateJob(r, k)
		time.Sleep(soakLateTime / soakLateJobs)
	}
	for _, z := range zones {
		s.evacuate(z, false)
	}
}

// submitLateJob submits a job whose tasks start at once if there is room.
func (s *soak) submitLateJob(r *rand.Rand, k int) {
	id := fmt.Sprintf("e%015x", k+1)
	j := &soakJob{tasks: 1 + r.IntN(soakSlots)}
	s.mu.Lock()
	s.jobs[id] = j
	s.mu.Unlock()
	body := platformstandin.Job(fmt.Sprintf("%dms", 100+r.IntN(400)), j.tasks, true)
	a := soakCall(http.MethodPost, s.vms[r.IntN(len(s.vms))].callers, "/slow/"+id, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	j.accepted = a.status == http.StatusOK
	j.uncertain = !j.accepted && a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests
}
