package tailer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

var errUnavailable = errors.New("down")

// pagedTopic returns a topic with two records per page at most, trimmed before first.
func pagedTopic(first, end int64, fail error) accessor.Client {
	return accessor.Client{
		Read: func(_ context.Context, _ string, from int64, _ time.Duration) ([]accessor.Record, int64, error) {
			if fail != nil {
				return nil, 0, fail
			}
			if from < first {
				return nil, 0, accessor.ErrTrimmed
			}
			var records []accessor.Record
			for o := from; o < min(from+2, end); o++ {
				records = append(records, accessor.Record{Offset: o})
			}
			return records, end, nil
		},
		Newest: func(context.Context, string) ([]accessor.Record, int64, error) {
			return []accessor.Record{{Offset: end - 1}}, end, nil
		},
	}
}

// Guards against records that are skipped or read twice at the end of a page, and against
// reads that fail at a trimmed offset.
func TestCatchUp(t *testing.T) {
	for _, c := range []struct {
		name             string
		first, from, end int64
		fail             error
		want             []int64 // offsets
		snapshot         bool
	}{
		{name: "several pages", from: 3, end: 8, want: []int64{3, 4, 5, 6, 7}},
		{name: "nothing new", from: 8, end: 8},
		{name: "records were trimmed", first: 5, from: 3, end: 8, want: []int64{7}, snapshot: true},
		{name: "store is unavailable", from: 3, end: 8, fail: errUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var offsets []int64
			next, snapshot := c.from, false
			err := tailer.CatchUp(t.Context(), pagedTopic(c.first, c.end, c.fail), "t", c.from, func(b tailer.Batch) {
				for _, r := range b.Records {
					offsets = append(offsets, r.Offset)
				}
				next, snapshot = b.Next, b.Snapshot
			})
			is.Equal(err, c.fail)
			is.Equal(offsets, c.want)
			is.Equal(snapshot, c.snapshot)
			if c.fail == nil {
				is.Equal(next, c.end)
			}
		})
	}
}

// A new leader would take jobs that it has not read as deleted.
func TestCatchUpFailsIfRecordsAreMissing(t *testing.T) {
	is := is.New(t)
	a := accessor.Client{Read: func(context.Context, string, int64, time.Duration) ([]accessor.Record, int64, error) {
		return nil, 8, nil
	}}
	err := tailer.CatchUp(t.Context(), a, "t", 3, func(tailer.Batch) { t.Error("a batch without records is applied") })
	is.True(err != nil)
}
