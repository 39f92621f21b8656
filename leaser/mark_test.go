package leaser_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// inventory returns the inventory of a worker with n running tasks.
func inventory(n int) leaser.Inventory {
	i := leaser.Inventory{Worker: "worker-417", Rack: "rack-52", Zone: "sul-1", Epoch: leaser.Epoch{Term: 812}}
	for t := range n {
		i.Leases = append(i.Leases, leaser.Lease{
			ID:       leaser.ID{Job: fmt.Sprintf("etiquetar-sul:rebuild-%d", t/8), Attempt: 1, Task: t},
			GangSize: 8, Organisation: "etiquetar-sul", Service: "labels", State: leaser.StateRunning,
			Resources: placer.Resources{MilliCores: 4000, MemoryMB: 8000, Accelerators: 1},
			Payload:   `{"template":"prices-7","store":"0417"}`, ExpiresMS: 14_210, RunMS: 3_600_000,
		})
	}
	return i.WithMark()
}

// TestMarkChangesWithLeasesStatesAndEpoch guards against a mark that hides a
// change from the requester, or that changes with times alone.
func TestMarkChangesWithLeasesStatesAndEpoch(t *testing.T) {
	is := is.New(t)
	i := inventory(3)
	later := inventory(3)
	later.Leases[0].RunMS += 1000
	is.Equal(later.WithMark().Mark, i.Mark) // times do not change the mark
	ended := inventory(3)
	ended.Leases[1].State = leaser.StateSucceeded
	is.True(ended.WithMark().Mark != i.Mark)
	is.True(inventory(4).Mark != i.Mark)
	fenced := inventory(3)
	fenced.Epoch.SubTerm++
	is.True(fenced.WithMark().Mark != i.Mark)
}

// TestExpandRestoresOmittedLeases guards against a brief answer that is
// completed from another inventory.
func TestExpandRestoresOmittedLeases(t *testing.T) {
	is := is.New(t)
	i := inventory(3)
	brief := i.OmitIfUnchanged(i.Mark)
	is.Equal(len(brief.Leases), 0)
	expanded, ok := brief.Expand(i)
	is.True(ok)
	is.Equal(expanded, i)
	_, ok = brief.Expand(inventory(2)) // a requester with another inventory must ask again
	is.True(!ok)
	is.Equal(i.OmitIfUnchanged("other"), i)
}

// BenchmarkInventory measures the size of a worker's answer, full and brief.
func BenchmarkInventory(b *testing.B) {
	for _, n := range []int{8, 29, 100} {
		i := inventory(n)
		for name, answer := range map[string]leaser.Inventory{"whole": i, "brief": i.OmitIfUnchanged(i.Mark)} {
			b.Run(fmt.Sprintf("%s/leases=%d", name, n), func(b *testing.B) {
				size := 0
				for b.Loop() {
					t, err := json.Marshal(answer)
					if err != nil {
						b.Fatal(err)
					}
					size = len(t)
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}
