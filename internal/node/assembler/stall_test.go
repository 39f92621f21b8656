package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/platform/standin"
)

// A store that stops within its answers to one VM, or sends them byte by byte, must cost that VM
// its direct route and not its callers: it reads through the other VM.
func TestVMServesWhileReadsOfTheStoreStall(t *testing.T) {
	for _, kind := range []standin.Stall{standin.StallSilent, standin.StallTrickle} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			s := newCluster(t, 1, 2)
			v, other := s.vms[1], s.vms[0]
			v.storeProxy.Stalled.Store(&kind)
			for i := range 10 {
				id := fmt.Sprintf("%016x", i+1)
				status, answer := other.call(http.MethodPost, "/slow/"+id, standin.Key, standin.Job("10ms", 1, false))
				t.Log(answer)
				is.Equal(status, http.StatusOK)
				s.waitFor("the job of the other VM is shown as completed", func() bool { return v.state(id) == "completed" })
				own := fmt.Sprintf("%016x", i+100)
				s.waitFor("a job is accepted", func() bool {
					status, _ := v.call(http.MethodPost, "/slow/"+own, standin.Key, standin.Job("10ms", 1, false))
					return status == http.StatusOK
				})
				s.waitFor("it is shown as completed", func() bool { return v.state(own) == "completed" })
				time.Sleep(pollInterval)
			}
			is.Equal(getStatus("http://"+v.settings.Readiness+"/ready"), http.StatusOK)
			v.storeProxy.Stalled.Store(nil)
		})
	}
}
