package leaser_test

import (
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// A worker grants a lease, its task runs while the lease is renewed, and
// commands of a replaced leader are refused.
func ExampleTable() {
	now := time.Unix(0, 0)
	t := leaser.Table{Worker: "worker-1", Capacity: placer.Resources{Accelerators: 8}}
	leader := leaser.Token{Epoch: leaser.Epoch{Term: 7}, Holder: "entry-1"}
	l := leaser.Lease{
		ID:        leaser.ID{Job: "rebuild", Attempt: 1},
		GangSize:  1,
		Resources: placer.Resources{Accelerators: 4},
	}

	t, err := t.Prepare(now, leader, l)
	fmt.Println("prepare:", err, "free:", t.Free().Accelerators)
	t, err = t.Start(now, leader, l.ID)
	fmt.Println("start:", err)

	now = now.Add(10 * time.Second)
	reports := []leaser.GangReport{} // a gang of one needs no counts
	t = t.Renew(now, leaser.TTL, leaser.Renewals(now, t.Inventory(now), reports))
	now = now.Add(10 * time.Second)
	fmt.Println("running:", len(t.Inventory(now).Leases), t.Inventory(now).Leases[0].State)

	t, _ = t.Fence(now, leaser.Token{Epoch: leaser.Epoch{Term: 9}, Holder: "entry-2"})
	_, err = t.Stop(now, leader, l.ID)
	fmt.Println("old leader:", err)
	// Output:
	// prepare: <nil> free: 4
	// start: <nil>
	// running: 1 running
	// old leader: stop lease rebuild/1/0: stale epoch 7.0: fenced by epoch 9.0 of entry-2
}
