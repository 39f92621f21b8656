package reducer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// partitionedVM is vm-2 in a partitioned network: vm-1 leads on the other side, with
// the log and two of three workers, and only w3 has accepted vm-2.
type partitionedVM struct {
	now   time.Time
	state reducer.State
}

func newPartitionedVM() *partitionedVM {
	o := &partitionedVM{now: time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC), state: reducer.New("vm-2")}
	o.apply(reducer.WorkersListed{Workers: []reducer.WorkerListed{{ID: "w1"}, {ID: "w2"}, {ID: "w3"}}})
	o.apply(reducer.RecordRead{Offset: 1, Appended: o.now, Record: reducer.LeaderClaimed{VM: "vm-1"}})
	o.apply(reducer.CaughtUp{Next: 2})
	o.apply(reducer.PeersChanged{Live: []string{"vm-1", "vm-2"}})
	o.apply(reducer.LogChanged{})
	o.apply(reducer.PeersChanged{Live: []string{"vm-2"}})
	o.run(time.Second)
	o.readInventories("w3")
	o.run(2 * leaser.TTL)
	return o
}

func (o *partitionedVM) apply(e reducer.Event) { o.state, _ = reducer.Reduce(o.now, o.state, e) }

func (o *partitionedVM) run(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(250 * time.Millisecond)
		o.apply(reducer.Ticked{})
	}
}

func (o *partitionedVM) readInventories(workers ...string) {
	for _, w := range workers {
		o.apply(reducer.InventoryRead{
			Epoch: o.state.Epoch(), SentAt: o.now,
			Inventory: leaser.Inventory{Worker: w, Epoch: o.state.Epoch()},
		})
	}
}

// A provisional leader that reaches a majority of the workers after a partition heals
// waits long enough to hear of the other VMs before it decides, and steps down when
// it hears of them. Otherwise two leaders could decide.
func TestUndecidedProvisionalLeaderStepsDown(t *testing.T) {
	subEpoch := leaser.Epoch{Term: 1, SubTerm: 1}
	for name, event := range map[string]reducer.Event{
		"leader is heard again":      reducer.PeersChanged{Live: []string{"vm-1", "vm-2"}},
		"another VM is first":        reducer.PeersChanged{Live: []string{"vm-0", "vm-2"}},
		"log answers again":          reducer.LogChanged{Up: true},
		"VM is not in the live list": reducer.PeersChanged{Live: []string{"vm-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := newPartitionedVM()
			is.Equal(o.state.Epoch(), subEpoch)
			o.readInventories("w1", "w2")
			o.run(3 * time.Second)
			is.True(!o.state.Leading())
			o.apply(event)
			o.run(time.Second)
			is.Equal(o.state.Epoch(), leaser.Epoch{Term: 1})
			o.run(time.Minute)
			is.True(!o.state.Leading())
		})
	}
}

// A provisional leader starts to decide when no other VM contests its epoch.
func TestUncontestedProvisionalLeaderDecides(t *testing.T) {
	is := is.New(t)
	o := newPartitionedVM()
	is.True(!o.state.Leading())
	o.readInventories("w1")
	o.run(5 * time.Second)
	is.True(o.state.Leading())
}

// A VM that was cut off from all others must not claim leadership from a live leader
// as soon as the log answers; it waits until it would have heard of that leader.
func TestPartitionedVMWaitsForPeersBeforeClaim(t *testing.T) {
	is := is.New(t)
	o := newPartitionedVM()
	o.apply(reducer.LogChanged{Up: true})
	o.apply(reducer.CaughtUp{Next: 2})
	is.Equal(o.countClaims(3*time.Second), 0)
	o.apply(reducer.PeersChanged{Live: []string{"vm-1", "vm-2"}})
	is.Equal(o.countClaims(time.Minute), 0)
	o.apply(reducer.PeersChanged{Live: []string{"vm-2"}}) // vm-1 has failed
	is.True(o.countClaims(time.Minute) > 0)
}

// A leader that was cut off and then reads the claim of its successor waits to hear
// of that VM before it claims again.
func TestReplacedLeaderWaitsForPeersBeforeClaim(t *testing.T) {
	is := is.New(t)
	o := newPartitionedVM()
	o.apply(reducer.LogChanged{Up: true})
	o.countClaims(time.Minute)
	o.apply(reducer.RecordRead{Offset: 2, Appended: o.now, Record: reducer.LeaderClaimed{VM: "vm-2", Previous: 1}})
	is.Equal(o.state.Epoch(), leaser.Epoch{Term: 2})
	o.apply(reducer.LogChanged{})
	o.run(time.Minute)
	o.apply(reducer.LogChanged{Up: true})
	o.apply(reducer.RecordRead{Offset: 3, Appended: o.now, Record: reducer.LeaderClaimed{VM: "vm-1", Previous: 2}})
	is.Equal(o.countClaims(3*time.Second), 0)
}

// countClaims advances the time, reads the log to its end at each tick, and returns
// the number of leadership claims.
func (o *partitionedVM) countClaims(d time.Duration) int {
	n := 0
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(250 * time.Millisecond)
		for _, e := range []reducer.Event{reducer.CaughtUp{Next: 2}, reducer.Ticked{}} {
			s, effects := reducer.Reduce(o.now, o.state, e)
			o.state = s
			for _, f := range effects {
				if a, ok := f.(reducer.AppendRecord); ok {
					if _, ok := a.Record.(reducer.LeaderClaimed); ok {
						n++
					}
				}
			}
		}
	}
	return n
}
