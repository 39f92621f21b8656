package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/platform/standin"
)

const testParts = 4

// newPartitionedCluster returns a cluster whose leader has named all partitions.
func newPartitionedCluster(t *testing.T, executors, vms int) *cluster {
	t.Helper()
	t.Parallel()
	s := newCluster(t, executors, 0)
	s.parts = testParts
	for i := range vms {
		s.startVM(fmt.Sprintf("vm%d", i))
	}
	s.waitFor("a VM leads", func() bool { return s.store.Get("keyed.leader", "leader") != nil })
	first := "00000000000000f0" // the VMs have read the claim once all of them know what its holder has run
	s.waitFor("a job is accepted", func() bool {
		status, _ := s.vms[0].call(http.MethodPost, "/slow/"+first, "key", jobBody("1ms", 1))
		return status == http.StatusOK
	})
	for _, v := range s.vms {
		s.waitFor("the job is completed", func() bool { return v.state(first) == "completed" })
	}
	return s
}

// starts returns the number of starts of tasks of a job.
func (s *cluster) starts(id string) int {
	n := 0
	for _, x := range s.executors {
		for _, task := range x.Starts() {
			if task[:len(id)] == id {
				n++
			}
		}
	}
	return n
}

var outageKinds = []standin.Outage{standin.OutageBusy, standin.OutageReset, standin.OutageSilent, standin.OutageLost}

// An outage of partition 0 refused every submission although the other partitions served. A job
// that is submitted meanwhile must start, remain one job when it is submitted again, and end.
func TestJobIsAcceptedAndStartedWhilePartition0Fails(t *testing.T) {
	t.Parallel()
	for _, kind := range outageKinds {
		t.Run(string(kind), func(t *testing.T) {
			s := newPartitionedCluster(t, 2, 3)
			is := is.New(t)
			s.store.SetOutage(0, kind)
			for _, v := range s.vms {
				began := time.Now()
				status, body := v.call(http.MethodPost, "/slow/"+jobID, "key", jobBody("100ms", 3))
				t.Logf("answered after %v", time.Since(began))
				if status != http.StatusOK {
					t.Fatalf("submission: %d %s", status, body)
				}
			}
			began := time.Now()
			s.waitFor("all tasks have started", func() bool { return s.starts(jobID) == 3 })
			t.Logf("started after %v", time.Since(began))
			is.Equal(s.store.Get("keyed.jobs", "job/"+jobID) != nil, kind == standin.OutageLost)
			s.store.SetOutage(0, "")
			for _, v := range s.vms {
				s.waitFor("the job is completed", func() bool { return v.state(jobID) == "completed" })
			}
			is.Equal(s.starts(jobID), 3)
		})
	}
}

// A cancellation counts whatever partition holds it.
func TestCancellationInAnotherPartitionStopsTheJob(t *testing.T) {
	s := newPartitionedCluster(t, 1, 2)
	is := is.New(t)
	status, _ := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("1h", 2))
	is.Equal(status, http.StatusOK)
	s.waitFor("the job runs", func() bool { return s.vms[1].state(jobID) == "running" })
	s.store.SetOutage(0, standin.OutageBusy)
	status, _ = s.vms[1].call(http.MethodDelete, "/slow/"+jobID, "key", "")
	is.Equal(status, http.StatusOK)
	s.waitFor("nothing runs", func() bool { return len(s.executors[0].Running()) == 0 })
	s.store.SetOutage(0, "")
	s.waitFor("the job is cancelled", func() bool { return s.vms[0].state(jobID) == "cancelled" })
}

// A VM that starts after the outage follows partition 0 only, and must know a job of another
// partition when a caller asks for it. It must not deny a job that may be in a partition that it
// can't read.
func TestVMReadsOtherPartitionsBeforeItDeniesAJob(t *testing.T) {
	s := newPartitionedCluster(t, 1, 1)
	is := is.New(t)
	s.store.SetOutage(0, standin.OutageBusy)
	status, _ := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("50ms", 1))
	is.Equal(status, http.StatusOK)
	s.store.SetOutage(0, "")
	s.startVM("late")
	late := s.vms[1]
	s.waitFor("the job is completed", func() bool { return late.state(jobID) == "completed" })
	const unknown = "00000000000000ff"
	status, _ = late.call(http.MethodGet, "/slow/"+unknown, "key", "")
	is.Equal(status, http.StatusGone)
	s.store.SetOutage(testParts-1, standin.OutageBusy)
	status, _ = late.call(http.MethodGet, "/slow/"+unknown, "key", "")
	is.Equal(status, http.StatusServiceUnavailable)
}

// A new leader can't read a partition that holds a running job. It must adopt the run once it
// can, neither stop it nor start it again.
func TestNewLeaderKeepsRunsOfAPartitionThatItCannotRead(t *testing.T) {
	s := newPartitionedCluster(t, 2, 1)
	is := is.New(t)
	s.store.SetOutage(0, standin.OutageBusy)
	status, _ := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("10s", 1))
	is.Equal(status, http.StatusOK)
	s.waitFor("the job runs", func() bool { return s.running() == 1 })
	s.store.SetOutage(0, "")
	held := 0
	for i := 1; i < testParts; i++ {
		if s.store.GetOf("keyed.jobs", i, "job/"+jobID) != nil {
			held = i
		}
	}
	is.True(held != 0)
	s.store.SetOutage(held, standin.OutageBusy)
	s.startVM("next")
	s.vms[0].cancel()
	<-s.vms[0].done
	const other = "00000000000000b2"
	s.waitFor("another job is accepted and completed", func() bool {
		s.vms[1].call(http.MethodPost, "/slow/"+other, "key", jobBody("50ms", 1))
		return s.vms[1].state(other) == "completed"
	})
	time.Sleep(4 * time.Second) // longer than runs of unknown jobs are kept otherwise
	is.Equal(s.running(), 1)
	s.store.SetOutage(held, "")
	s.waitFor("the job is completed", func() bool { return s.vms[1].state(jobID) == "completed" })
	is.Equal(s.starts(jobID), 1)
}

// Submissions during a short outage of the whole store were refused, and so were their
// repetitions within the time that callers have.
func TestSubmissionIsHeldThroughAShortOutageOfTheStore(t *testing.T) {
	t.Parallel()
	for _, parts := range []int{1, testParts} {
		t.Run(fmt.Sprintf("%d partitions", parts), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newCluster(t, 1, 0)
			s.parts = parts
			s.startVM("vm0")
			s.vms[0].storeProxy.Unavailable.Store(true)
			time.AfterFunc(time.Second, func() { s.vms[0].storeProxy.Unavailable.Store(false) })
			status, body := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("50ms", 1))
			is.Equal(status, http.StatusOK)
			if status != http.StatusOK {
				t.Log(body)
			}
			s.waitFor("the job is completed", func() bool { return s.vms[0].state(jobID) == "completed" })
			is.Equal(s.starts(jobID), 1)
		})
	}
}
