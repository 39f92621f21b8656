package assembler_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/node/elector"
)

// newestClaim returns the newest record of the leadership topic.
func (s *cluster) newestClaim() elector.Claim {
	var c elector.Claim
	if err := json.Unmarshal(s.store.Get("keyed.leader", "leader"), &c); err != nil {
		s.t.Errorf("newest claim: %v", err)
	}
	return c
}

// A leaving leader starts no job that it reads from then on, so it must not stay the leader
// because a single append has failed.
func TestLeadershipIsReleasedAfterAFailedRelease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newCluster(t, 1, 2)
	s.waitFor("a VM leads", func() bool { return s.store.Get("keyed.leader", "leader") != nil })
	leader := s.vms[0]
	if s.newestClaim().Holder != leader.settings.VM {
		leader = s.vms[1]
	}
	for _, v := range s.vms {
		v.storeProxy.Unavailable.Store(true)
	}
	leader.cancel()
	time.Sleep(outage)
	for _, v := range s.vms {
		v.storeProxy.Unavailable.Store(false)
	}
	<-leader.done
	c := s.newestClaim()
	is.True(c.Released || c.Holder != leader.settings.VM)
}

// A VM may begin to shut down while it takes over. Another one may lead from its release on,
// so it must not start what it reads later.
func TestReleaseDuringTheTakeoverHoldsForItsScheduler(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newCluster(t, 1, 1)
	s.waitFor("the first VM leads", func() bool { return s.store.Get("keyed.leader", "leader") != nil })
	s.startVM("vm1")
	progress := "keyed.progress"
	s.vms[0].cancel()
	for _, v := range s.vms { // the new leader can't end its takeover
		v.storeProxy.ReadOnly.Store(&progress)
	}
	s.waitFor("the second VM leads", func() bool { return s.newestClaim().Holder == "vm1" })
	s.vms[1].cancel()
	s.waitFor("the second VM has released", func() bool { return s.newestClaim().Released })
	for _, v := range s.vms {
		v.storeProxy.ReadOnly.Store(nil)
	}
	s.waitFor("the job is accepted", func() bool { // refused while the VM still believes that the store refuses all calls
		status, _ := s.vms[1].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("100ms", 1))
		return status == http.StatusOK
	})
	<-s.vms[1].done
	is.Equal(len(s.executors[0].Starts()), 0)
}

// The scheduler of a leader ends when it is told of a newer leader. If there is none, the VM
// must not stay a leader that starts nothing.
func TestLeaderWhoseSchedulerHasEndedLeadsAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newCluster(t, 1, 2)
	s.waitFor("a VM leads", func() bool { return s.store.Get("keyed.leader", "leader") != nil })
	newer := fmt.Sprintf(`{"fencingToken":%d,"ackCursor":0}`, s.newestClaim().Epoch+epochsAhead)
	a, err := http.Post("http://"+s.addresses[0]+"/hold", "application/json", strings.NewReader(newer))
	is.NoErr(err)
	is.NoErr(a.Body.Close())
	status, _ := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("100ms", 1))
	is.Equal(status, http.StatusOK)
	s.waitFor("the job is completed", func() bool { return s.vms[1].state(jobID) == "completed" })
	is.Equal(len(s.executors[0].Starts()), 1)
}

const epochsAhead = 3

const outage = 300 * time.Millisecond // a small part of the time that a VM takes to shut down
