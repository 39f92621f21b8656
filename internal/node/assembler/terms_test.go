package assembler_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Jobs that are accepted while terms of less than a second follow each other, and repeated
// at other VMs, must neither stand under the leader that stays nor run twice.
func TestJobsOfShortTermsNeitherStandNorRunTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const terms, perTerm, standLimit = 6, 8, 5 * time.Second
	s := newCluster(t, 8, 3)
	var jobs []string
	for k := range terms {
		leader := s.awaitLeader()
		s.startVM(fmt.Sprintf("next%d", k))
		var wg sync.WaitGroup
		for i := range perTerm {
			id := fmt.Sprintf("%014x%02x", k+1, i)
			jobs = append(jobs, id)
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 60 * time.Millisecond)
				for n, v := range s.vms {
					if status, body := v.call(http.MethodPost, "/slow/"+id, "key", jobBody("200ms", 2)); status != http.StatusOK {
						t.Errorf("job %s at VM %d: %d %s", id, n, status, body)
					}
				}
			})
		}
		time.Sleep(time.Duration(k) * 80 * time.Millisecond)
		leader.cancel()
		wg.Wait()
		s.vms = slices.DeleteFunc(s.vms, func(v *vm) bool { return v == leader })
	}
	accepted := time.Now()
	last := s.vms[len(s.vms)-1]
	for _, id := range jobs {
		s.waitFor("job "+id+" is completed", func() bool { return last.state(id) == "completed" })
	}
	took := time.Since(accepted)
	t.Logf("all completed after %v", took)
	is.True(took < standLimit)
	starts := map[string]int{}
	for _, x := range s.executors {
		for _, id := range x.Starts() {
			starts[id]++
		}
	}
	for id, n := range starts {
		if n != 1 {
			t.Errorf("task %s was started %d times", id, n)
		}
	}
}

// awaitLeader waits until a VM that has not been shut down leads, and returns it.
func (s *cluster) awaitLeader() *vm {
	i := -1
	s.waitFor("a VM leads", func() bool {
		if s.store.Get("keyed.leader", "leader") == nil {
			return false
		}
		c := s.newestClaim()
		i = slices.IndexFunc(s.vms, func(v *vm) bool { return v.settings.VM == c.Holder })
		return i >= 0 && !c.Released
	})
	return s.vms[i]
}
