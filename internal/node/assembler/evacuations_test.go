package assembler_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newZonedCluster returns a cluster without VMs whose executors are in the zones a, b and so on.
func newZonedCluster(t *testing.T, executors int) *cluster {
	t.Helper()
	s := newWorkloadCluster(t, executors, 0)
	for i := range s.executors {
		s.store.PutExecutorInZone(string(rune('a'+i)), fmt.Sprintf("x%d", i), "s", s.addresses[i], fmt.Sprintf("r%d-1", i+1), executorGPUs, "ready", s.executors[i].Born())
	}
	return s
}

// evacuatedZones returns the runs left in each evacuated zone as a VM lists them, -1 if it does
// not know them.
func (v *vm) evacuatedZones() map[string]int {
	a, err := http.Get("http://" + v.settings.Metrics + "/evacuations")
	if err != nil {
		return nil
	}
	defer func() { _ = a.Body.Close() }()
	var m struct {
		Zones []struct {
			Zone  string    `json:"zone"`
			Since time.Time `json:"since"`
			Runs  *int      `json:"runs"`
		} `json:"zones"`
	}
	if err := json.NewDecoder(a.Body).Decode(&m); err != nil {
		return nil
	}
	zones := map[string]int{}
	for _, z := range m.Zones {
		zones[z.Zone] = -1
		if z.Runs != nil && !z.Since.IsZero() {
			zones[z.Zone] = *z.Runs
		}
	}
	return zones
}

// lists reports whether the VM lists an evacuated zone with so many runs left.
func (v *vm) lists(zone string, runs int) bool {
	n, ok := v.evacuatedZones()[zone]
	return ok && n == runs
}

const openRead = 1200 * time.Millisecond // longer than a long poll that was open when an outage began

const oneSecondTasks = `"count":%d,"gpu":1,"estimateMs":1000`

// Guards against starts in an evacuated zone, against runs there that are stopped, and against a
// zone that stays unused after the record is removed.
func TestZoneIsEvacuatedAndUsedAgain(t *testing.T) {
	is := is.New(t)
	s := newZonedCluster(t, 2)
	s.startVM("vm0")
	s.submit("/slow/", jobID, "2s", fmt.Sprintf(oneSecondTasks, 16), "")
	s.waitFor("both executors are busy", func() bool { return s.running() == 16 })
	s.store.Evacuate("a", true)
	s.waitFor("the leader lists the zone", func() bool { return s.vms[0].lists("a", 8) })
	s.submit("/slow/", "00000000000000b1", "100ms", fmt.Sprintf(oneSecondTasks, 16), "")
	s.waitFor("both jobs are completed", func() bool {
		return s.vms[0].state(jobID) == "completed" && s.vms[0].state("00000000000000b1") == "completed"
	})
	is.Equal(len(s.executors[0].Starts()), 8)
	s.waitFor("no run is left", func() bool { return s.vms[0].lists("a", 0) })
	is.Equal(s.vms[0].counters()["evacuations"], 1)
	s.store.Evacuate("a", false)
	s.waitFor("no zone is listed", func() bool { return len(s.vms[0].evacuatedZones()) == 0 })
	s.submit("/slow/", "00000000000000b2", "2s", fmt.Sprintf(oneSecondTasks, 16), "")
	s.waitFor("both executors are busy again", func() bool { return s.running() == 16 })
}

// A leader that knew only what it had followed before its claim could start tasks in a zone whose
// record was stored since.
func TestNewLeaderReadsEvacuationsBeforeItStartsAnything(t *testing.T) {
	is := is.New(t)
	s := newZonedCluster(t, 2)
	s.store.Evacuate("b", true)
	s.startVM("vm0")
	s.submit("/slow/", jobID, "100ms", fmt.Sprintf(oneSecondTasks, 16), "")
	s.waitFor("the job is completed", func() bool { return s.vms[0].state(jobID) == "completed" })
	s.store.Evacuate("b", false)
	s.store.Evacuate("b", true)
	s.store.Evacuate("a", true)
	s.store.Evacuate("a", false)
	s.replaceLeader()
	s.submit("/slow/", "00000000000000b1", "100ms", fmt.Sprintf(oneSecondTasks, 16), "")
	s.waitFor("the second job is completed", func() bool { return s.vms[0].state("00000000000000b1") == "completed" })
	is.Equal(len(s.executors[1].Starts()), 0)
}

// While the store does not answer, the last known state must hold: at the beginning and at the
// end of an evacuation.
func TestLastKnownEvacuationsHoldDuringAnOutageOfTheStore(t *testing.T) {
	is := is.New(t)
	s := newZonedCluster(t, 2)
	s.startVM("vm0")
	v := s.vms[0]
	v.storeProxy.Unavailable.Store(true)
	time.Sleep(openRead)
	s.store.Evacuate("a", true)
	time.Sleep(outage)
	is.Equal(len(v.evacuatedZones()), 0)
	v.storeProxy.Unavailable.Store(false)
	s.waitFor("the zone is listed", func() bool { return v.lists("a", 0) })
	v.storeProxy.Unavailable.Store(true)
	time.Sleep(openRead)
	s.store.Evacuate("a", false)
	time.Sleep(outage)
	is.Equal(len(v.evacuatedZones()), 1)
	v.storeProxy.Unavailable.Store(false)
	s.waitFor("no zone is listed", func() bool { return len(v.evacuatedZones()) == 0 })
	s.submit("/slow/", jobID, "2s", fmt.Sprintf(oneSecondTasks, 16), "")
	s.waitFor("both executors are busy", func() bool { return s.running() == 16 })
}
