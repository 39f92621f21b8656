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

// TestTableRemovesExpiredKeys guards against unbounded growth: the table must remove
// expired keys and keep all others.
func TestTableRemovesExpiredKeys(t *testing.T) {
	is := is.New(t)
	table := claimer.NewTable(retention, skew)
	start := time.Unix(1e9, 0)
	maxLen := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Second)
		c := claimer.Claim{ID: strconv.Itoa(i), Key: strconv.Itoa(i), Minted: now}
		is.Equal(table.Apply(int64(i+1), now, c), claimer.ResultGranted)
		maxLen = max(maxLen, table.Len())
	}
	is.True(maxLen >= int(retention/time.Second))     // keeps all keys that have not expired
	is.True(maxLen <= int(retention/time.Second)*9/8) // and few expired ones
}

// BenchmarkTable applies claims of new keys, 500 per second by the log's clock, and
// reports the number of held keys and the heap per key.
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
