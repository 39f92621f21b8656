package reducer_test

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// startVM starts or restarts the process of a VM, with empty state.
func (w *cluster) startVM(v *vm) {
	v.incarnation++
	v.alive, v.paused = true, false
	v.state = reducer.New(v.id).WithSettings(reducer.Settings{Retention: retention})
	v.nextRecord, v.inbox, v.renewalCounts, v.livePeers, v.listVersion, v.highestEpoch = w.firstKept, nil, nil, nil, -1, leaser.Epoch{}
	v.heartbeatAt = w.now
	incarnation := v.incarnation
	w.every(250*time.Millisecond, v, incarnation, func() { w.tick(v) })
	w.every(time.Second, v, incarnation, func() { w.runUpkeep(v) })
	w.feed(v, reducer.ConfigChanged{Config: w.config})
}

// every repeats do until the VM stops or restarts, and skips it while the VM is
// paused.
func (w *cluster) every(d time.Duration, v *vm, incarnation int, do func()) {
	w.after(d, func() {
		if v.incarnation != incarnation || !v.alive {
			return
		}
		if !v.paused {
			do()
		}
		w.every(d, v, incarnation, do)
	})
}

func (w *cluster) tick(v *vm) {
	if !w.logDown {
		w.feed(v, reducer.LogChanged{Up: true})
		for range 50 {
			if v.nextRecord < len(w.records) {
				v.nextRecord++
				w.feed(v, w.records[v.nextRecord-1])
			}
		}
		if v.nextRecord == len(w.records) {
			w.feed(v, reducer.CaughtUp{Next: int64(v.nextRecord) + 1})
		}
	} else {
		w.feed(v, reducer.LogChanged{Up: false})
	}
	w.feed(v, reducer.Ticked{})
}

// runUpkeep does what a VM does each second outside the reducer: heartbeats, lease
// renewal, and reports of inventories.
func (w *cluster) runUpkeep(v *vm) {
	v.heartbeatAt = w.now
	var live []string
	var reports []leaser.GangReport
	for _, o := range w.vms {
		if o.alive && w.now.Sub(o.heartbeatAt) < 4*time.Second {
			live = append(live, o.id)
			reports = append(reports, leaser.GangReport{VM: o.id, At: o.heartbeatAt, Gangs: o.renewalCounts})
		}
	}
	if !slices.Equal(live, v.livePeers) {
		v.livePeers = live
		w.feed(v, reducer.PeersChanged{Live: live})
	}
	if v.listVersion != w.listVersion {
		v.listVersion = w.listVersion
		w.feed(v, reducer.WorkersListed{Workers: w.listWorkers()})
	}
	var readings []leaser.Reading
	for _, k := range w.workers {
		if !k.reachable(v) || leaser.Owner(k.table.Worker, live) != v.id {
			continue
		}
		i := k.table.Inventory(w.now)
		readings = append(readings, leaser.Reading{At: w.now, Inventory: i})
		k.table = k.table.Renew(w.now, leaser.TTL, leaser.Renewals(w.now, i, reports))
		k.table = k.table.Acknowledge(w.now, leaser.Acknowledgements(i, v.state.AttemptEnded))
		for _, o := range w.vms {
			if !o.state.Leading() && w.lossPercent == 0 {
				continue // a real VM reports to the leader alone; a cluster with message loss reports to all
			}
			e := reducer.WorkerReported{Inventory: i, Age: 10 * time.Millisecond}
			w.deliver(func() { w.feed(o, e) })
		}
	}
	v.renewalCounts = leaser.Counts(w.now, readings)
}

func (w *cluster) listWorkers() []reducer.WorkerListed {
	var l []reducer.WorkerListed
	for _, k := range w.workers {
		l = append(l, reducer.WorkerListed{ID: k.table.Worker, Rack: k.table.Rack, Leaving: k.leaving})
	}
	return l
}
