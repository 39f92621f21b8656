package reducer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// outcast is vm-2 in a network that has split: vm-1 leads on the other side, where
// the log and two of three workers are, and w3 alone has accepted vm-2.
type outcast struct {
	now   time.Time
	state reducer.State
}

func newOutcast() *outcast {
	o := &outcast{now: time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC), state: reducer.New("vm-2")}
	o.take(reducer.WorkersListed{Workers: []reducer.WorkerListed{{ID: "w1"}, {ID: "w2"}, {ID: "w3"}}})
	o.take(reducer.RecordRead{Offset: 1, Appended: o.now, Record: reducer.LeaderClaimed{VM: "vm-1"}})
	o.take(reducer.CaughtUp{Next: 2})
	o.take(reducer.PeersChanged{Live: []string{"vm-1", "vm-2"}})
	o.take(reducer.LogChanged{})
	o.take(reducer.PeersChanged{Live: []string{"vm-2"}})
	o.run(time.Second)
	o.read("w3")
	o.run(2 * leaser.TTL)
	return o
}

func (o *outcast) take(e reducer.Event) { o.state, _ = reducer.Reduce(o.now, o.state, e) }

func (o *outcast) run(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(250 * time.Millisecond)
		o.take(reducer.Ticked{})
	}
}

func (o *outcast) read(workers ...string) {
	for _, w := range workers {
		o.take(reducer.InventoryRead{
			Epoch: o.state.Epoch(), Asked: o.now,
			Inventory: leaser.Inventory{Worker: w, Epoch: o.state.Epoch()},
		})
	}
}

// A provisional leader that reaches most workers after a split decides nothing until
// it would have heard of the others, and gives way when it does.
func TestProvisionalLeaderGivesWay(t *testing.T) {
	sub := leaser.Epoch{Term: 1, SubTerm: 1}
	for name, heard := range map[string]reducer.Event{
		"leader heard":   reducer.PeersChanged{Live: []string{"vm-1", "vm-2"}},
		"not the first":  reducer.PeersChanged{Live: []string{"vm-0", "vm-2"}},
		"log is back":    reducer.LogChanged{Up: true},
		"cut off itself": reducer.PeersChanged{Live: []string{"vm-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := newOutcast()
			is.Equal(o.state.Epoch(), sub)
			o.read("w1", "w2")
			o.run(3 * time.Second)
			is.True(!o.state.Leading())
			o.take(heard)
			o.run(time.Second)
			is.Equal(o.state.Epoch(), leaser.Epoch{Term: 1})
			o.run(time.Minute)
			is.True(!o.state.Leading())
		})
	}
}

// A provisional leader whom nobody disputes leads.
func TestProvisionalLeaderLeads(t *testing.T) {
	is := is.New(t)
	o := newOutcast()
	is.True(!o.state.Leading())
	o.read("w1")
	o.run(5 * time.Second)
	is.True(o.state.Leading())
}

// A VM that was cut off from all hears of the leader before it claims its place.
func TestCutOffVMDoesNotClaimAtOnce(t *testing.T) {
	is := is.New(t)
	o := newOutcast()
	o.take(reducer.LogChanged{Up: true})
	o.take(reducer.CaughtUp{Next: 2})
	is.Equal(o.claims(3*time.Second), 0)
	o.take(reducer.PeersChanged{Live: []string{"vm-1", "vm-2"}})
	is.Equal(o.claims(time.Minute), 0)
	o.take(reducer.PeersChanged{Live: []string{"vm-2"}}) // now the leader is dead
	is.True(o.claims(time.Minute) > 0)
}

// A leader that was cut off and reads that another has replaced it hears of that one
// before it claims again.
func TestReplacedLeaderDoesNotClaimAtOnce(t *testing.T) {
	is := is.New(t)
	o := newOutcast()
	o.take(reducer.LogChanged{Up: true})
	o.claims(time.Minute)
	o.take(reducer.RecordRead{Offset: 2, Appended: o.now, Record: reducer.LeaderClaimed{VM: "vm-2", Previous: 1}})
	is.Equal(o.state.Epoch(), leaser.Epoch{Term: 2})
	o.take(reducer.LogChanged{})
	o.run(time.Minute)
	o.take(reducer.LogChanged{Up: true})
	o.take(reducer.RecordRead{Offset: 3, Appended: o.now, Record: reducer.LeaderClaimed{VM: "vm-1", Previous: 2}})
	is.Equal(o.claims(3*time.Second), 0)
}

// claims lets time pass, with the log read to its end again and again, and returns
// how often leadership was claimed.
func (o *outcast) claims(d time.Duration) int {
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
