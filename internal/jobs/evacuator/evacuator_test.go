package evacuator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/evacuator"
)

func zones(e evacuator.Evacuator) []string {
	all := []string{}
	for _, v := range e.Evacuations() {
		all = append(all, v.Zone)
	}
	return all
}

// Guards against reads that arrive late or twice, against deletions that a snapshot shows only
// by a missing record, and against a history that the store has dropped.
func TestNewestOffsetCounts(t *testing.T) {
	type record = evacuator.Record
	for _, c := range []struct {
		name    string
		batches []evacuator.Batch
		want    []string
	}{
		{"two zones", []evacuator.Batch{{Records: []record{{"a", 1, true}, {"b", 2, true}}, Next: 3}}, []string{"a", "b"}},
		{"removed", []evacuator.Batch{{Records: []record{{"a", 1, true}}, Next: 2}, {Records: []record{{"a", 2, false}}, Next: 3}}, []string{}},
		{"removed and written again in one read", []evacuator.Batch{{Records: []record{{"a", 1, true}, {"a", 2, false}, {"a", 3, true}}, Next: 4}}, []string{"a"}},
		{"an older read arrives later", []evacuator.Batch{{Records: []record{{"a", 2, false}}, Next: 3}, {Records: []record{{"a", 1, true}}, Next: 2}}, []string{}},
		{"an older snapshot arrives later", []evacuator.Batch{{Records: []record{{"a", 2, true}}, Next: 3}, {Snapshot: true, Next: 2}}, []string{"a"}},
		{"missing in a snapshot after dropped history", []evacuator.Batch{{Records: []record{{"a", 1, true}, {"b", 2, true}}, Next: 3}, {Records: []record{{"b", 2, true}}, Snapshot: true, Next: 9}}, []string{"b"}},
		{"an older snapshot after a removal", []evacuator.Batch{{Records: []record{{"a", 5, false}}, Next: 6}, {Records: []record{{"a", 1, true}}, Snapshot: true, Next: 4}}, []string{}},
		{"written again after a snapshot without it", []evacuator.Batch{{Records: []record{{"a", 1, true}}, Next: 2}, {Snapshot: true, Next: 9}, {Records: []record{{"a", 9, true}}, Next: 10}}, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var e evacuator.Evacuator
			for _, b := range c.batches {
				e = e.With(time.Unix(1, 0), b)
			}
			is.New(t).Equal(zones(e), c.want)
		})
	}
}

func TestSinceIsTheFirstReadOfARecordThatWasNotRemoved(t *testing.T) {
	is := is.New(t)
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	var e evacuator.Evacuator
	e = e.With(at(1), evacuator.Batch{Records: []evacuator.Record{{Zone: "a", Offset: 1, Present: true}}})
	first := e.Revision()
	e = e.With(at(2), evacuator.Batch{Records: []evacuator.Record{{Zone: "a", Offset: 1, Present: true}}})
	is.Equal(e.Revision(), first)
	e = e.With(at(3), evacuator.Batch{Records: []evacuator.Record{{Zone: "a", Offset: 2, Present: true}}})
	is.Equal(e.Evacuations()[0].Since, at(1))
	is.True(e.Revision() > first)
	e = e.With(at(4), evacuator.Batch{Records: []evacuator.Record{{Zone: "a", Offset: 3}, {Zone: "a", Offset: 4, Present: true}}})
	is.Equal(e.Evacuations()[0].Since, at(4))
}

// Whatever parts of the topic are read, in any order and however often, the state is that of the
// newest record, once all records were read.
func TestReadsInAnyOrderAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []evacuator.Record
		for i := range rapid.IntRange(1, 12).Draw(t, "records") {
			log = append(log, evacuator.Record{Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Offset: int64(i), Present: rapid.Bool().Draw(t, "present")})
		}
		var want, got evacuator.Evacuator
		for i, r := range log {
			want = want.With(time.Time{}, evacuator.Batch{Records: []evacuator.Record{r}, Next: int64(i + 1)})
		}
		for range rapid.IntRange(0, 6).Draw(t, "reads") {
			i := rapid.IntRange(0, len(log)).Draw(t, "from")
			k := rapid.IntRange(i, len(log)).Draw(t, "to")
			b := evacuator.Batch{Records: log[i:k], Next: int64(k)}
			if b.Snapshot = rapid.Bool().Draw(t, "snapshot"); b.Snapshot {
				b.Records = compact(log[:k])
			}
			got = got.With(time.Time{}, b)
		}
		got = got.With(time.Time{}, evacuator.Batch{Records: compact(log), Snapshot: true, Next: int64(len(log))})
		if a, b := zones(got), zones(want); len(a) != len(b) || (len(a) > 0 && a[0] != b[0]) {
			t.Fatalf("evacuated: %v, want %v", a, b)
		}
	})
}

// compact returns the present records as the store's snapshot has them.
func compact(log []evacuator.Record) []evacuator.Record {
	newest := map[string]evacuator.Record{}
	for _, r := range log {
		newest[r.Zone] = r
	}
	var all []evacuator.Record
	for _, r := range newest {
		if r.Present {
			all = append(all, r)
		}
	}
	return all
}
