package claimer_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/claimer"
)

// TestTableForgets checks that the table holds no more than the keys of its time.
func TestTableForgets(t *testing.T) {
	is := is.New(t)
	table := claimer.NewTable(keep, skew)
	start := time.Unix(1e9, 0)
	most := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Second)
		c := claimer.Claim{ID: strconv.Itoa(i), Key: strconv.Itoa(i), Minted: now}
		is.Equal(table.Apply(int64(i+1), now, c), claimer.ResultGranted)
		most = max(most, table.Len())
	}
	is.True(most >= int(keep/time.Second))     // it holds all that count
	is.True(most <= int(keep/time.Second)*9/8) // and few that don't
}

// BenchmarkTable applies claims of new keys, 500 a second by the clock of the
// log, and reports what the table holds in the end.
func BenchmarkTable(b *testing.B) {
	table := claimer.NewTable(15*time.Minute, skew)
	start := time.Unix(1e9, 0)
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Second / 500)
		c := claimer.Claim{
			ID: fmt.Sprintf("%036d", i), Key: fmt.Sprintf("%032d", i), Minted: now, VM: "vm-1", Request: fmt.Sprintf("%036d", i),
		}
		table.Apply(int64(i+1), now, c)
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(table.Len()), "keys")
	b.ReportMetric(float64(m.HeapAlloc)/float64(table.Len()), "heap-B/key")
}
