package publisher_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// randomRun is a random sequence of steps on one stream with three readers.
type randomRun struct {
	streamFixture
	readerNames       []string
	contentByRevision map[int64]string // JSON of the files in force, by revision
	lastState         map[string]publisher.State
}

// fileContents holds contents that are valid alone, valid only together with others,
// or never valid.
var fileContents = []string{
	"[organisation.morfa]\n",
	"[organisation.morfa]\nweight = 7\n",
	"[service.tides]\norganisation = \"morfa\"\nshare = 60\n",
	"[service.creeks]\norganisation = \"morfa\"\nshare = 60\n",
	"[service.ewes]\norganisation = \"morfa\"\nshare = 30\n",
	"weight = \n",
}

func (h *randomRun) randomReader(t *rapid.T) string {
	return rapid.SampledFrom(h.readerNames).Draw(t, "reader")
}

func (h *randomRun) randomChange(t *rapid.T) {
	c := publisher.Change{ID: strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "id")), Publisher: "morfa"}
	known := h.readers[h.randomReader(t)].State()
	for i := range rapid.IntRange(1, 2).Draw(t, "files") {
		f := publisher.FileChange{Name: fmt.Sprintf("%d.toml", (i+rapid.IntRange(0, 2).Draw(t, "file"))%3)}
		present, _ := known.File(f.Name)
		f.Base = present.Revision
		f.Removed = rapid.IntRange(0, 5).Draw(t, "removed") == 0
		if !f.Removed {
			f.Content = rapid.SampledFrom(fileContents).Draw(t, "content")
		}
		c.Files = append(c.Files, f)
	}
	h.mustAppend(t, c)
}

func (h *randomRun) mustAppend(t *rapid.T, r publisher.Record) {
	if err := h.append(r); err != nil {
		t.Fatal(err)
	}
}

// readRandomRange passes a few records to a reader, possibly some that it has read.
func (h *randomRun) readRandomRange(t *rapid.T) {
	r := h.readers[h.randomReader(t)]
	r.SetFirstOffset(h.firstOffset)
	next := r.State().Next()
	from := max(h.firstOffset, next-int64(rapid.IntRange(0, 2).Draw(t, "back")))
	h.feed(r, from, from+int64(rapid.IntRange(0, 8).Draw(t, "count")))
}

// feed passes the records with offsets in [from, to) to a reader.
func (h *randomRun) feed(r *publisher.Reader, from, to int64) {
	for o := from; o < min(to, int64(len(h.records))+1); o++ {
		e := h.records[o-1]
		_, _ = r.Read(o, time.Unix(o, 0), e.kind, e.body)
	}
}

func (h *randomRun) randomStep(t *rapid.T) {
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0, 1, 2, 3:
		h.randomChange(t)
	case 4, 5, 6:
		h.readRandomRange(t)
	case 7:
		h.mustAppend(t, publisher.Snapshot{State: h.readers[h.randomReader(t)].State()})
	case 8:
		if len(h.records) > 0 {
			h.records = append(h.records, h.records[rapid.IntRange(0, len(h.records)-1).Draw(t, "again")])
		}
	case 9:
		h.mustAppend(t, publisher.Withdrawal{ID: strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "withdrawn"))})
	case 10:
		h.firstOffset = max(h.firstOffset, int64(rapid.IntRange(0, len(h.records)+1).Draw(t, "trim")))
	case 11:
		if rapid.Bool().Draw(t, "replace") {
			n := h.randomReader(t)
			h.readers[n], h.lastState[n] = &publisher.Reader{}, publisher.New()
		}
		if err := h.adopt(h.readers[h.randomReader(t)], h.readers[h.randomReader(t)]); err != nil {
			t.Fatal(err)
		}
	}
}

// checkInvariants fails when a reader went back to an earlier revision or offset, or
// when two readers disagree.
func (h *randomRun) checkInvariants(t *rapid.T) {
	contentByOffset := map[int64]string{}
	for _, n := range h.readerNames {
		s := h.readers[n].State()
		if s.Revision() < h.lastState[n].Revision() || s.Next() < h.lastState[n].Next() {
			t.Fatalf("reader %s went back from revision %d to %d", n, h.lastState[n].Revision(), s.Revision())
		}
		h.lastState[n] = s
		b, err := json.Marshal(s.Files())
		if err != nil {
			t.Fatal(err)
		}
		if c, ok := h.contentByRevision[s.Revision()]; ok && c != string(b) {
			t.Fatalf("revision %d has different files: %s and %s", s.Revision(), c, b)
		}
		h.contentByRevision[s.Revision()] = string(b)
		if c, ok := contentByOffset[s.Next()]; s.Complete() && ok && c != string(b) {
			t.Fatalf("readers at offset %d have different files: %s and %s", s.Next(), c, b)
		}
		if s.Complete() {
			contentByOffset[s.Next()] = string(b)
		}
	}
}

// TestReadersAgreeAndNeverGoBack runs random changes, duplicate records, withdrawals,
// snapshots, drops of old records, and replacements of readers. It checks that
// readers never disagree about a revision and never go back to an older one.
func TestReadersAgreeAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := randomRun{
			streamFixture:     streamFixture{firstOffset: 1, readers: map[string]*publisher.Reader{}},
			readerNames:       []string{"x", "y", "z"},
			contentByRevision: map[int64]string{},
			lastState:         map[string]publisher.State{},
		}
		for _, n := range h.readerNames {
			h.readers[n], h.lastState[n] = &publisher.Reader{}, publisher.New()
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			h.randomStep(t)
			h.checkInvariants(t)
		}
		for _, n := range h.readerNames {
			r := h.readers[n]
			r.SetFirstOffset(h.firstOffset)
			h.feed(r, r.State().Next(), int64(len(h.records))+1)
		}
		h.checkInvariants(t)
	})
}
