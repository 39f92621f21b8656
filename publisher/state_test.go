package publisher_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

func newChange(id, name string, base int64, content string) publisher.Change {
	return publisher.Change{ID: id, Publisher: "morfa", Files: []publisher.FileChange{{Name: name, Base: base, Content: content}}}
}

// TestNeedsSnapshot checks that a snapshot is due a quarter of the retention after
// the last exact one, or after the first record, and that a stale snapshot does not
// postpone it.
func TestNeedsSnapshot(t *testing.T) {
	is := is.New(t)
	const retention = 4 * time.Hour
	start := time.Unix(1e9, 0)
	var r publisher.Reader
	is.True(!r.NeedsSnapshot(start, retention)) // the stream is empty
	read := func(offset int64, at time.Duration, record publisher.Record) {
		b, err := json.Marshal(record)
		is.NoErr(err)
		_, err = r.Read(offset, start.Add(at), publisher.Kind(record), b)
		is.NoErr(err)
	}
	read(1, 0, newChange("a", "org.toml", 0, "[organisation.morfa]\n"))
	is.True(!r.NeedsSnapshot(start.Add(time.Hour-1), retention))
	is.True(r.NeedsSnapshot(start.Add(time.Hour), retention))
	before := r.State()
	read(2, time.Hour, newChange("b", "org.toml", 1, "[organisation.morfa]\nweight = 2\n"))
	read(3, time.Hour, publisher.Snapshot{State: before})
	is.True(r.NeedsSnapshot(start.Add(time.Hour), retention)) // a stale snapshot does not count
	read(4, time.Hour, publisher.Snapshot{State: r.State()})
	is.True(!r.NeedsSnapshot(start.Add(2*time.Hour-1), retention))
	is.True(r.NeedsSnapshot(start.Add(2*time.Hour), retention))

	var n publisher.Reader
	n.Adopt(r.State())
	is.True(n.NeedsSnapshot(start.Add(time.Hour), retention)) // the age of the last snapshot is unknown to it
	n.SetFirstOffset(9)
	is.True(!n.NeedsSnapshot(start.Add(9*time.Hour), retention)) // it lacks records
}

// TestFilesAndVerdictsAreBounded checks that neither the files nor the kept verdicts
// grow without limit.
func TestFilesAndVerdictsAreBounded(t *testing.T) {
	is := is.New(t)
	s := publisher.New()
	comment := "#" + strings.Repeat("x", 60_000) + "\n"
	var v publisher.Verdict
	offset := int64(0)
	for i := range 20 {
		offset++
		s, v = publisher.Apply(s, offset, newChange(fmt.Sprint("f", i), fmt.Sprintf("%d.toml", i), 0, comment))
		if v.Outcome != publisher.OutcomeInForce {
			break
		}
	}
	is.Equal(v.Outcome, publisher.OutcomeInvalid) // the files together exceed MaxTotalSize
	is.Equal(len(s.Files()), publisher.MaxTotalSize/len(comment))
	for i := range 2000 {
		offset++
		s, _ = publisher.Apply(s, offset, publisher.Withdrawal{ID: fmt.Sprint("w", i)})
	}
	_, ok := s.Verdict("w1999")
	is.True(ok)
	_, ok = s.Verdict("w975")
	is.True(!ok)
}

// TestNeedsSnapshotDuringRead lets the race detector check that one goroutine may
// call NeedsSnapshot while another one calls Read, as in the daemon, where the
// control goroutine reads.
func TestNeedsSnapshotDuringRead(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1e9, 0)
	r := &publisher.Reader{}
	var g sync.WaitGroup
	g.Go(func() {
		for range 100 {
			r.NeedsSnapshot(start, time.Hour)
		}
	})
	for n := range int64(100) {
		kind, body, err := publisher.EncodeRecord(publisher.Snapshot{State: r.State()})
		is.NoErr(err)
		_, err = r.Read(n+1, start, kind, body)
		is.NoErr(err)
	}
	g.Wait()
}
