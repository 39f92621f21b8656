package assembler

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
)

// What the store does not take was appended again for ever: the leader stored nothing any more,
// acknowledged no end, and no state changed. Its limits are 2 MB for an append and 256 KB for a
// record.
func TestProgressIsStoredWhateverItsSize(t *testing.T) {
	const maxCall, maxRecord = 2_097_152, 262_144
	is := is.New(t)
	var stored []accessor.Record
	calls := 0
	a := newLeader()
	a.store = accessor.Client{Append: func(_ context.Context, x accessor.Append) (int64, error) {
		size := 0
		for _, r := range x.Records {
			n := 1 + len(r.Key) + len(r.Value)
			if n > maxRecord {
				t.Fatalf("the record of %s has %d bytes", r.Key, n)
			}
			size += 4 + n
		}
		if size > maxCall {
			t.Fatalf("an append has %d bytes", size)
		}
		is.Equal(x.Writer.Sequence, int64(calls))
		calls++
		stored = append(stored, x.Records...)
		return 0, nil
	}}
	large := func(tasks int) scheduler.Progress {
		p := scheduler.Progress{
			State: scheduler.StateRunning, Done: make([][]int, 4), Checkpoints: map[string]string{}, Failures: map[string][]int64{}, Abandoned: map[string]int64{},
		}
		for i := range tasks {
			key := fmt.Sprintf("%d.%d", i%4, i/4)
			p.Done[i%4] = append(p.Done[i%4], i/4)
			p.Checkpoints[key] = fmt.Sprintf("%016x", i)
			p.Failures[key] = []int64{int64(i), int64(i) + 1_000_000}
			p.Abandoned[key] = int64(i)
		}
		return p
	}
	all := map[string]scheduler.Progress{"largest": large(38_000)}
	for i := range 40 {
		all[fmt.Sprintf("j%d", i)] = large(2000)
	}
	w := &progressWriter{assembler: a, epoch: 1}
	is.NoErr(w.store(t.Context(), all))
	is.Equal(len(stored), len(all))
	is.True(calls > 1)
}
