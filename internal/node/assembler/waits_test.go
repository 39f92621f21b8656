package assembler_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
)

// counters returns the counters at a VM's metrics address, nil if there are none.
func (v *vm) counters() map[string]int {
	a, err := http.Get("http://" + v.settings.Metrics + "/metrics")
	if err != nil {
		return nil
	}
	defer func() { _ = a.Body.Close() }()
	var m struct {
		Counters map[string]int `json:"counters"`
	}
	if err := json.NewDecoder(a.Body).Decode(&m); err != nil {
		return nil
	}
	return m.Counters
}

// Without the counters, an operator who has only the metrics cannot see why jobs stand.
func TestConditionsOfWaitingJobsAreCounted(t *testing.T) {
	s := newWorkloadCluster(t, 3, 0)
	for i := range s.executors {
		s.store.PutExecutor(fmt.Sprintf("x%d", i), "s", s.addresses[i], fmt.Sprintf("r%d-1", i+1), executorGPUs, "ready", s.executors[i].Born())
	}
	s.startVM("vm0")
	s.submit("/slow/", "00000000000000c1", "2h", `"count":3,"gpu":3,"antiAffinity":1,"estimateMs":60000`, "")
	s.waitFor("the batch tasks run", func() bool { return s.running() == 3 })
	gang := func(tasks int) string {
		return fmt.Sprintf(`"count":%d,"gpu":2,"gang":true,"sameRack":true,"estimateMs":1000`, tasks)
	}
	s.submit("/slow/", "00000000000000c3", "2h", gang(4), "") // two fit into each rack, six in all: not twice over
	s.submit("/slow/", "00000000000000c2", "1s", `"count":1,"gpu":9`, "")
	s.waitFor("the conditions are counted", func() bool {
		n := s.vms[0].counters()
		return n["waits-rack"] >= 1 && n["waits-too-large"] >= 1
	})
	s.submit("/slow/", jobID, "2h", gang(3), "")
	s.waitFor("a job that stands is counted", func() bool { return s.vms[0].counters()["standing-units-placed"] >= 1 })
	s.waitFor("the gang runs", func() bool { return s.running() == 6 })
}
