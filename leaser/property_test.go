package leaser_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// command may be delivered at any later time, any number of times.
type command struct {
	kind  string
	token leaser.Token
	lease leaser.Lease
}

// model is a worker, the commands sent to it, and the history that check
// verifies.
type model struct {
	now      time.Time
	table    leaser.Table
	commands []command
	stopped  map[leaser.ID]bool // leases whose stop command succeeded
	starts   map[leaser.ID]int  // how often the task started
	renewed  map[leaser.ID]time.Time
}

// drawID draws from few ids, so that commands for the same lease collide.
func drawID(t *rapid.T) leaser.ID {
	return leaser.ID{
		Job:     rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job"),
		Attempt: rapid.IntRange(1, 2).Draw(t, "attempt"),
		Task:    rapid.IntRange(0, 1).Draw(t, "task"),
	}
}

// deliver passes a command to the worker and checks that the previous table
// does not change.
func (m *model) deliver(t *rapid.T, c command) {
	previous, listed := m.table, m.table.Inventory(m.now)
	highest := m.table.HighestToken()
	running := leaseIDs(m.table.Running())
	var err error
	switch c.kind {
	case "prepare":
		m.table, err = m.table.Prepare(m.now, c.token, c.lease)
	case "start":
		m.table, err = m.table.Start(m.now, c.token, c.lease.ID)
	case "checkpoint":
		m.table, err = m.table.Checkpoint(m.now, c.token, c.lease.ID)
	case "stop":
		m.table, err = m.table.Stop(m.now, c.token, c.lease.ID)
		if err == nil {
			m.stopped[c.lease.ID] = true
		}
	}
	var f *leaser.FencedError
	if old := c.token.Epoch.Less(highest.Epoch); old != errors.As(err, &f) {
		t.Fatalf("%s with epoch %v after %v: %v", c.kind, c.token.Epoch, highest.Epoch, err)
	}
	if !reflect.DeepEqual(previous.Inventory(m.now), listed) {
		t.Fatalf("%s changed the previous table", c.kind)
	}
	for _, id := range leaseIDs(m.table.Running()) {
		if !slices.Contains(running, id) {
			m.starts[id]++
			m.renewed[id] = m.now
		}
	}
}

func leaseIDs(ls []leaser.Lease) []leaser.ID {
	var r []leaser.ID
	for _, l := range ls {
		r = append(r, l.ID)
	}
	return r
}

// check verifies the invariants; it runs after every action.
func (m *model) check(t *rapid.T) {
	if f := m.table.Free(); !(placer.Resources{}).Fits(f) {
		t.Fatalf("leases exceed the capacity: free %+v", f)
	}
	after, _ := m.table.Expire(m.now)
	for _, l := range after.Running() {
		if m.stopped[l.ID] {
			t.Fatalf("%v is running after it was stopped", l.ID)
		}
		if age := m.now.Sub(m.renewed[l.ID]); age >= leaser.TTL {
			t.Fatalf("%v is running %v after its last renewal", l.ID, age)
		}
	}
	for id, n := range m.starts {
		if n > 1 {
			t.Fatalf("%v started %d times", id, n)
		}
	}
}

// TestTableWithReorderedCommands sends commands of several leaders and delivers
// them late, twice and out of order, between renewals, ends and pauses.
func TestTableWithReorderedCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			now:     time.Unix(1_000_000, 0),
			table:   leaser.Table{Worker: "w1", Capacity: placer.Resources{Accelerators: 3}},
			stopped: map[leaser.ID]bool{},
			starts:  map[leaser.ID]int{},
			renewed: map[leaser.ID]time.Time{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"send": func(t *rapid.T) {
				c := command{kind: rapid.SampledFrom([]string{"prepare", "start", "checkpoint", "stop"}).Draw(t, "kind")}
				c.token.Epoch.Term = rapid.Int64Range(1, 3).Draw(t, "term")
				c.token.Holder = fmt.Sprintf("vm%d", c.token.Epoch.Term)
				c.lease.ID = drawID(t)
				c.lease.GangSize = 2
				c.lease.Checkpointable = true
				c.lease.Resources.Accelerators = 1 + c.lease.ID.Task
				m.commands = append(m.commands, c)
				m.deliver(t, c)
			},
			"deliver again": func(t *rapid.T) {
				if len(m.commands) > 0 {
					m.deliver(t, rapid.SampledFrom(m.commands).Draw(t, "command"))
				}
			},
			"renew": func(t *rapid.T) {
				id := drawID(t)
				m.table = m.table.Renew(m.now, leaser.TTL, []leaser.ID{id})
				if slices.Contains(leaseIDs(m.table.Running()), id) {
					m.renewed[id] = m.now
				}
			},
			"end": func(t *rapid.T) {
				m.table, _ = m.table.End(m.now, drawID(t), leaser.StateSucceeded, "")
			},
			"acknowledge": func(t *rapid.T) {
				m.table = m.table.Acknowledge(m.now, []leaser.ID{drawID(t)})
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.Int64Range(0, 9).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

// TestOwnerIsStable checks that a worker changes owner only if its owner leaves
// or its new owner joins, and that the order of the VMs does not matter.
func TestOwnerIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}`), 2, 9, rapid.ID).Draw(t, "live")
		w := rapid.StringMatching(`w[0-9]{1,3}`).Draw(t, "worker")
		before := leaser.Owner(w, live)
		gone := rapid.SampledFrom(live).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(live), func(v string) bool { return v == gone })
		if after := leaser.Owner(w, rest); gone != before && after != before {
			t.Fatalf("%s left, and %s moved from %s to %s", gone, w, before, after)
		}
		slices.Reverse(live)
		if again := leaser.Owner(w, live); again != before {
			t.Fatalf("owner depends on the order of the VMs: %s, %s", before, again)
		}
	})
}

// TestRenewalsSkipPreparedLeases checks that a lease is not renewed before its
// task runs.
func TestRenewalsSkipPreparedLeases(t *testing.T) {
	i := leaser.Inventory{Leases: []leaser.Lease{
		{ID: leaser.ID{Job: "j", Attempt: 1}, GangSize: 1, State: leaser.StatePrepared},
		{ID: leaser.ID{Job: "k", Attempt: 1}, GangSize: 1, State: leaser.StateRunning},
	}}
	is.New(t).Equal(leaser.Renewals(time.Unix(0, 0), i, nil), []leaser.ID{{Job: "k", Attempt: 1}})
}

// TestMergeKeepsRenewals checks that merged reports give the same renewals as
// separate ones.
func TestMergeKeepsRenewals(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		readings := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) leaser.Lease {
			return leaser.Lease{ID: drawID(t), GangSize: 2, State: leaser.StateRunning}
		}), 0, 4)
		var reports []leaser.GangReport
		for range rapid.IntRange(0, 4).Draw(t, "vms") {
			age := time.Duration(rapid.Int64Range(0, 8).Draw(t, "age")) * time.Second
			i := leaser.Inventory{Leases: readings.Draw(t, "leases")}
			c := leaser.Counts(now, []leaser.Reading{{At: now, Inventory: i}})
			reports = append(reports, leaser.GangReport{At: now.Add(-age), Gangs: c})
		}
		i := leaser.Inventory{Leases: readings.Draw(t, "mine")}
		want := leaser.Renewals(now, i, reports)
		before := fmt.Sprint(reports)
		if got := leaser.Renewals(now, i, []leaser.GangReport{leaser.Merge(now, reports)}); !reflect.DeepEqual(got, want) {
			t.Fatalf("merged %v, separate %v, of %+v", got, want, reports)
		}
		if after := fmt.Sprint(reports); after != before {
			t.Fatalf("merging changed the reports from %s to %s", before, after)
		}
	})
}
