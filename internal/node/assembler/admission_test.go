package assembler_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/platform/standin"
)

// fillJobMemory submits jobs through a VM until one is refused, and returns the id of the first.
func fillJobMemory(s *cluster, v *vm) string {
	s.t.Helper()
	for i := 1; ; i++ {
		status, answer := v.call(http.MethodPost, fmt.Sprintf("/slow/%016x", i), standin.Key, standin.Job("1h", 100, false))
		if status == http.StatusServiceUnavailable {
			return fmt.Sprintf("%016x", 1)
		}
		if status != http.StatusOK || i == 1000 {
			s.t.Fatalf("job %d got %d: %s", i, status, answer)
		}
	}
}

// Without room a job must be refused before it is stored, while accepted ones are still served. A
// job that another VM has just accepted must not be refused: callers take that for the promise
// that it never runs.
func TestFullVMServesWhatIsAccepted(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 0, 0)
	s.jobMemoryMB = 1
	for i := range 2 {
		s.startVM(fmt.Sprintf("vm%d", i))
	}
	first := fillJobMemory(s, s.vms[0])
	probes := 0
	for _, v := range s.vms {
		refused := ""
		s.waitFor("the VM has read the jobs of the other and refuses one", func() bool {
			probes++
			refused = fmt.Sprintf("00000000000a%04x", probes)
			status, _ := v.call(http.MethodPost, "/slow/"+refused, standin.Key, standin.Job("1h", 100, false))
			return status == http.StatusServiceUnavailable
		})
		is.Equal(len(s.store.Get("keyed.jobs", "job/"+refused)), 0)
		status, _ := v.call(http.MethodGet, "/slow/"+first, standin.Key, "")
		is.Equal(status, http.StatusOK)
		status, _ = v.call(http.MethodPost, "/slow/"+first, standin.Key, standin.Job("1h", 100, false))
		is.Equal(status, http.StatusOK)
	}
	for i, v := range s.vms {
		id := fmt.Sprintf("00000000000b%04x", i)
		r, err := registrar.JobRecord(scheduler.Job{ID: id, Queue: "slow", Organisation: "o", Steps: []scheduler.Step{{Tasks: 1}}})
		is.NoErr(err)
		s.store.Put("keyed.jobs", r.Key, r.Value)
		status, answer := v.call(http.MethodPost, "/slow/"+id, standin.Key, standin.Job("1h", 100, false))
		t.Log(answer)
		is.Equal(status, http.StatusOK)
	}
	status, _ := s.vms[1].call(http.MethodDelete, "/slow/"+first, standin.Key, "")
	is.Equal(status, http.StatusOK)
}

// A job that takes much of the room is accepted in calm, although no VM may add as much on its own
// between two reads; one that can never fit is rejected for good.
func TestLargeJobIsAcceptedInCalm(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 0, 3)
	for i, v := range s.vms {
		status, answer := v.call(http.MethodPost, fmt.Sprintf("/slow/%016x", i+1), standin.Key, `{"spec":"1h","steps":[{"count":10000},{"count":10000}]}`)
		t.Log(answer)
		is.Equal(status, http.StatusOK)
	}
	status, _ := s.vms[0].call(http.MethodPost, "/slow/00000000000000aa", standin.Key,
		`{"spec":"1h","steps":[{"count":10000},{"count":10000},{"count":10000},{"count":10000},{"count":10000}]}`)
	is.Equal(status, http.StatusRequestEntityTooLarge)
}

// The store takes no record of more than 256 KB. A job with a longer one was tried again until its
// caller gave up, and then refused as if it might be accepted later.
func TestJobThatTheStoreDoesNotTakeIsRejectedForGood(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 0, 0)
	s.store.Put("keyed.op", "config", bytes.Replace(standin.Configuration(2, standin.Key), []byte(`:10000}`), []byte(`:400000}`), 1))
	s.startVM("vm0")
	job := func(label int) string {
		return `{"spec":"1h","steps":[{"count":1,"requirements":"` + strings.Repeat("l", label) + `"}]}`
	}
	status, answer := s.vms[0].call(http.MethodPost, "/slow/0000000000000001", standin.Key, job(262_144))
	t.Log(answer)
	is.Equal(status, http.StatusRequestEntityTooLarge)
	status, _ = s.vms[0].call(http.MethodPost, "/slow/0000000000000002", standin.Key, job(261_000))
	is.Equal(status, http.StatusOK)
}
