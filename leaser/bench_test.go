package leaser_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// fullWorker returns a worker with n running tasks, each of a gang of 8, and
// the reports of 13 VMs.
func fullWorker(n int) (leaser.Table, []leaser.GangReport) {
	now := time.Unix(0, 0)
	k := leaser.Token{Epoch: leaser.Epoch{Term: 1}, Holder: "a"}
	t := leaser.Table{Worker: "w", Capacity: placer.Resources{Accelerators: n}}
	var report leaser.GangReport
	for i := range n {
		l := leaser.Lease{ID: leaser.ID{Job: fmt.Sprintf("job-%06d", i), Attempt: 1}, GangSize: 8}
		t, _ = t.Prepare(now, k, l)
		t, _ = t.Start(now, k, l.ID)
		report.Gangs = append(report.Gangs, leaser.GangCount{Job: l.ID.Job, Attempt: 1, Tasks: []byte{0xff}})
	}
	report.At = now
	reports := make([]leaser.GangReport, 13)
	for i := range reports {
		reports[i] = report
	}
	return t, reports
}

// BenchmarkRenewals finds the leases of one worker to renew, given the merged
// reports.
func BenchmarkRenewals(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			t, reports := fullWorker(n)
			now := time.Unix(1, 0)
			i := t.Inventory(now)
			merged := []leaser.GangReport{leaser.Merge(now, reports)}
			for b.Loop() {
				if len(leaser.Renewals(now, i, merged)) != n {
					b.Fatal("not all leases are renewed")
				}
			}
		})
	}
}

// BenchmarkTable renews all leases of one worker and builds its inventory.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			t, reports := fullWorker(n)
			now := time.Unix(1, 0)
			ids := leaser.Renewals(now, t.Inventory(now), reports)
			for b.Loop() {
				_ = t.Renew(now, leaser.TTL, ids).Inventory(now)
			}
		})
	}
}
