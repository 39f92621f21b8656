package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/evacuator"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// evacuationWorld simulates the operator's records of evacuated zones.
type evacuationWorld struct {
	records []evacuator.Record  // the operator's topic
	known   evacuator.Evacuator // as the leader was told
	read    int                 // number of records that it has read
	down    bool                // the leader can't read the topic
	gated   map[string]bool     // zones whose starts are dropped when they are sent
	starts  map[string]int      // by zone
	zones   map[string]string   // by machine
	seen    scheduler.EvacuationsReported
}

// write appends records, which the leader reads at once unless the topic is down.
func (w *world) writeEvacuations(present bool, zones ...string) {
	for _, z := range zones {
		w.evacuation.records = append(w.evacuation.records, evacuator.Record{Zone: z, Offset: int64(len(w.evacuation.records)), Present: present})
	}
	w.readEvacuations()
}

// readEvacuations tells the leader what it has not read yet.
func (w *world) readEvacuations() {
	v := &w.evacuation
	if v.down {
		return
	}
	v.known = v.known.With(w.now, evacuator.Batch{Records: v.records[v.read:], Next: int64(len(v.records))})
	v.read = len(v.records)
	w.feed(scheduler.EvacuationsChanged{Revision: v.known.Revision(), Zones: v.known.Evacuations()})
}

// noteZoneStart checks that no start is sent to a zone that the leader knows to be evacuated.
func (w *world) noteZoneStart(f scheduler.Start) {
	v := &w.evacuation
	if v.starts == nil {
		v.starts = map[string]int{}
	}
	v.starts[f.Zone]++
	if v.known.Evacuated(f.Zone) {
		w.violation = fmt.Sprintf("task %v is started on %s in the evacuated zone %s", f.Task, f.Worker, f.Zone)
	}
}

func (w *world) addEvacuationCommands(c scripter.Commands) {
	v := &w.evacuation
	v.zones = map[string]string{}
	c["zone"] = func(zone string, ids ...string) {
		for _, id := range ids {
			w.workers[id].info.Zone, v.zones[machineOf(id)] = zone, zone
		}
		w.sendList()
	}
	c["evacuate"] = func(zones ...string) { w.writeEvacuations(true, zones...) }
	c["use-zone"] = func(zones ...string) { w.writeEvacuations(false, zones...) }
	c["records-down"] = func() { v.down = true }
	c["records-up"] = func() {
		v.down = false
		w.readEvacuations()
	}
	c["trim-records"] = func() { // the leader's next read is a snapshot, without the removed records
		newest := map[string]evacuator.Record{}
		for _, r := range v.records {
			newest[r.Zone] = r
		}
		var all []evacuator.Record
		for _, r := range newest {
			if r.Present {
				all = append(all, r)
			}
		}
		v.known = v.known.With(w.now, evacuator.Batch{Records: all, Snapshot: true, Next: int64(len(v.records))})
		v.read = len(v.records)
		w.feed(scheduler.EvacuationsChanged{Revision: v.known.Revision(), Zones: v.known.Evacuations()})
	}
	c["drop-unsent"] = func(zones ...string) { // starts are dropped when they are sent, before the scheduler knows
		v.gated = map[string]bool{}
		for _, z := range zones {
			v.gated[z] = true
		}
	}
	c["cold"] = func(d time.Duration, ids ...string) {
		for _, id := range ids {
			w.workers[id].info.ColdUntil = w.now.Add(d)
		}
		w.sendList()
	}
	c["runs-in"] = func(zone string, want int) error {
		n := 0
		for _, x := range w.workers {
			if x.info.Zone == zone && x.alive {
				n += len(x.runs)
			}
		}
		if n != want {
			return fmt.Errorf("%d tasks run in the zone", n)
		}
		return nil
	}
	c["starts-in"] = func(zone string, want int) error {
		if v.starts[zone] != want {
			return fmt.Errorf("%d starts were sent there", v.starts[zone])
		}
		return nil
	}
	c["left-in"] = func(zone string, want int) error {
		i := slices.IndexFunc(v.seen.Zones, func(z scheduler.EvacuatedZone) bool { return z.Zone == zone })
		if i < 0 || v.seen.Zones[i].Runs != want {
			return fmt.Errorf("the leader reports %+v", v.seen.Zones)
		}
		return nil
	}
}
