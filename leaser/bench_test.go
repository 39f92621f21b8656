package leaser_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// full returns a worker with n running tasks of gangs of 8, and what 13 VMs tell.
func full(n int) (leaser.Table, []leaser.Told) {
	now := time.Unix(0, 0)
	k := leaser.Token{Epoch: leaser.Epoch{Term: 1}, Holder: "a"}
	t := leaser.Table{Worker: "w", Capacity: placer.Resources{Accelerators: n}}
	var told leaser.Told
	for i := range n {
		l := leaser.Lease{ID: leaser.ID{Job: fmt.Sprintf("job-%06d", i), Attempt: 1}, GangSize: 8}
		t, _ = t.Prepare(now, k, l)
		t, _ = t.Start(now, k, l.ID)
		told.Gangs = append(told.Gangs, leaser.GangCount{Job: l.ID.Job, Attempt: 1, Tasks: []byte{0xff}})
	}
	told.At = now
	all := make([]leaser.Told, 13)
	for i := range all {
		all[i] = told
	}
	return t, all
}

// BenchmarkRenewals finds the leases to renew on one worker, once what the VMs
// tell is merged.
func BenchmarkRenewals(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			t, told := full(n)
			now := time.Unix(1, 0)
			i := t.Inventory(now)
			merged := []leaser.Told{leaser.Merge(now, told)}
			for b.Loop() {
				if len(leaser.Renewals(now, i, merged)) != n {
					b.Fatal("not all renewed")
				}
			}
		})
	}
}

// BenchmarkTable renews all leases of one worker and tells its inventory.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			t, told := full(n)
			now := time.Unix(1, 0)
			ids := leaser.Renewals(now, t.Inventory(now), told)
			for b.Loop() {
				_ = t.Renew(now, leaser.TTL, ids).Inventory(now)
			}
		})
	}
}
