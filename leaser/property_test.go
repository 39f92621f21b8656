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

// TestMain fixes the seed of the properties.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// sent is a command that may be delivered at any later time, any number of times.
type sent struct {
	kind  string
	token leaser.Token
	lease leaser.Lease
}

// machine is a worker, the commands under way, and what was promised.
type machine struct {
	now     time.Time
	table   leaser.Table
	sent    []sent
	stopped map[leaser.ID]bool // a stop was obeyed
	ran     map[leaser.ID]int  // times that the task began to run
	renewed map[leaser.ID]time.Time
}

func drawID(t *rapid.T) leaser.ID {
	return leaser.ID{
		Job:     rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job"),
		Attempt: rapid.IntRange(1, 2).Draw(t, "attempt"),
		Task:    rapid.IntRange(0, 1).Draw(t, "task"),
	}
}

// deliver hands a command to the worker.
func (m *machine) deliver(t *rapid.T, c sent) {
	was, told := m.table, m.table.Inventory(m.now)
	before := m.table.Seen()
	running := ids(m.table.Running())
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
	if old := c.token.Epoch.Less(before.Epoch); old != errors.As(err, &f) {
		t.Fatalf("%s with epoch %v after %v: %v", c.kind, c.token.Epoch, before.Epoch, err)
	}
	if !reflect.DeepEqual(was.Inventory(m.now), told) {
		t.Fatalf("%s changed the table before it", c.kind)
	}
	for _, id := range ids(m.table.Running()) {
		if !slices.Contains(running, id) {
			m.ran[id]++
			m.renewed[id] = m.now
		}
	}
}

func ids(ls []leaser.Lease) []leaser.ID {
	var r []leaser.ID
	for _, l := range ls {
		r = append(r, l.ID)
	}
	return r
}

// check holds after every action.
func (m *machine) check(t *rapid.T) {
	if f := m.table.Free(); !(placer.Resources{}).Fits(f) {
		t.Fatalf("more leased than there is: free %+v", f)
	}
	after, _ := m.table.Lapse(m.now)
	for _, l := range after.Running() {
		if m.stopped[l.ID] {
			t.Fatalf("%v runs after it was stopped", l.ID)
		}
		if age := m.now.Sub(m.renewed[l.ID]); age >= leaser.TTL {
			t.Fatalf("%v runs %v after it was last renewed", l.ID, age)
		}
	}
	for id, n := range m.ran {
		if n > 1 {
			t.Fatalf("%v began to run %d times", id, n)
		}
	}
}

// TestTable sends commands of several leaders, and delivers them late, twice and
// out of order, between renewals, ends and pauses.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			now:     time.Unix(1_000_000, 0),
			table:   leaser.Table{Worker: "w1", Capacity: placer.Resources{Accelerators: 3}},
			stopped: map[leaser.ID]bool{},
			ran:     map[leaser.ID]int{},
			renewed: map[leaser.ID]time.Time{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"send": func(t *rapid.T) {
				c := sent{kind: rapid.SampledFrom([]string{"prepare", "start", "checkpoint", "stop"}).Draw(t, "kind")}
				c.token.Epoch.Term = rapid.Int64Range(1, 3).Draw(t, "term")
				c.token.Holder = fmt.Sprintf("vm%d", c.token.Epoch.Term)
				c.lease.ID = drawID(t)
				c.lease.GangSize = 2
				c.lease.Checkpointable = true
				c.lease.Resources.Accelerators = 1 + c.lease.ID.Task
				m.sent = append(m.sent, c)
				m.deliver(t, c)
			},
			"deliver again": func(t *rapid.T) {
				if len(m.sent) > 0 {
					m.deliver(t, rapid.SampledFrom(m.sent).Draw(t, "command"))
				}
			},
			"renew": func(t *rapid.T) {
				id := drawID(t)
				m.table = m.table.Renew(m.now, leaser.TTL, []leaser.ID{id})
				if slices.Contains(ids(m.table.Running()), id) {
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

// TestOwner checks that a worker changes hands only when its owner goes or its
// new owner comes.
func TestOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}`), 2, 9, rapid.ID).Draw(t, "live")
		w := rapid.StringMatching(`w[0-9]{1,3}`).Draw(t, "worker")
		before := leaser.Owner(w, live)
		gone := rapid.SampledFrom(live).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(live), func(v string) bool { return v == gone })
		if after := leaser.Owner(w, rest); gone != before && after != before {
			t.Fatalf("%s went, and %s went over from %s to %s", gone, w, before, after)
		}
		slices.Reverse(live)
		if again := leaser.Owner(w, live); again != before {
			t.Fatalf("order of the VMs counts: %s, %s", before, again)
		}
	})
}

// TestRenewalsOfPrepared checks that a lease is not renewed before it runs.
func TestRenewalsOfPrepared(t *testing.T) {
	i := leaser.Inventory{Leases: []leaser.Lease{
		{ID: leaser.ID{Job: "j", Attempt: 1}, GangSize: 1, State: leaser.StatePrepared},
		{ID: leaser.ID{Job: "k", Attempt: 1}, GangSize: 1, State: leaser.StateRunning},
	}}
	is.New(t).Equal(leaser.Renewals(time.Unix(0, 0), i, nil), []leaser.ID{{Job: "k", Attempt: 1}})
}

// TestMerge checks that merging what VMs have told changes no renewal.
func TestMerge(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		readings := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) leaser.Lease {
			return leaser.Lease{ID: drawID(t), GangSize: 2, State: leaser.StateRunning}
		}), 0, 4)
		var told []leaser.Told
		for range rapid.IntRange(0, 4).Draw(t, "vms") {
			age := time.Duration(rapid.Int64Range(0, 8).Draw(t, "age")) * time.Second
			i := leaser.Inventory{Leases: readings.Draw(t, "leases")}
			c := leaser.Counts(now, []leaser.Reading{{At: now, Inventory: i}})
			told = append(told, leaser.Told{At: now.Add(-age), Gangs: c})
		}
		i := leaser.Inventory{Leases: readings.Draw(t, "mine")}
		want := leaser.Renewals(now, i, told)
		before := fmt.Sprint(told)
		if got := leaser.Renewals(now, i, []leaser.Told{leaser.Merge(now, told)}); !reflect.DeepEqual(got, want) {
			t.Fatalf("merged %v, apart %v, of %+v", got, want, told)
		}
		if after := fmt.Sprint(told); after != before {
			t.Fatalf("merging changed what was told from %s to %s", before, after)
		}
	})
}
