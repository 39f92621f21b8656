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

// history is a random run of one stream and three readers.
type history struct {
	world
	names   []string
	content map[int64]string // files in force, by revision
	state   map[string]publisher.State
}

// contents are valid alone, valid together with others, or not valid.
var contents = []string{
	"[organisation.morfa]\n",
	"[organisation.morfa]\nweight = 7\n",
	"[service.tides]\norganisation = \"morfa\"\nshare = 60\n",
	"[service.creeks]\norganisation = \"morfa\"\nshare = 60\n",
	"[service.ewes]\norganisation = \"morfa\"\nshare = 30\n",
	"weight = \n",
}

func (h *history) reader(t *rapid.T) string { return rapid.SampledFrom(h.names).Draw(t, "reader") }

func (h *history) randomChange(t *rapid.T) {
	c := publisher.Change{ID: strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "id")), Publisher: "morfa"}
	known := h.readers[h.reader(t)].State()
	for i := range rapid.IntRange(1, 2).Draw(t, "files") {
		f := publisher.FileChange{Name: fmt.Sprintf("%d.toml", (i+rapid.IntRange(0, 2).Draw(t, "file"))%3)}
		present, _ := known.File(f.Name)
		f.Base = present.Revision
		f.Removed = rapid.IntRange(0, 5).Draw(t, "removed") == 0
		if !f.Removed {
			f.Content = rapid.SampledFrom(contents).Draw(t, "content")
		}
		c.Files = append(c.Files, f)
	}
	h.add(t, c)
}

func (h *history) add(t *rapid.T, r publisher.Record) {
	if err := h.append(r); err != nil {
		t.Fatal(err)
	}
}

// readSome feeds a reader a few records, some of them for the second time.
func (h *history) readSome(t *rapid.T) {
	r := h.readers[h.reader(t)]
	r.First(h.first)
	next := r.State().Next()
	from := max(h.first, next-int64(rapid.IntRange(0, 2).Draw(t, "back")))
	h.feed(r, from, from+int64(rapid.IntRange(0, 8).Draw(t, "count")))
}

// feed gives the records from one offset to before another to a reader.
func (h *history) feed(r *publisher.Reader, from, to int64) {
	for o := from; o < min(to, int64(len(h.records))+1); o++ {
		e := h.records[o-1]
		_, _ = r.Read(o, time.Unix(o, 0), e.kind, e.body)
	}
}

func (h *history) randomStep(t *rapid.T) {
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0, 1, 2, 3:
		h.randomChange(t)
	case 4, 5, 6:
		h.readSome(t)
	case 7:
		h.add(t, publisher.Snapshot{State: h.readers[h.reader(t)].State()})
	case 8:
		if len(h.records) > 0 {
			h.records = append(h.records, h.records[rapid.IntRange(0, len(h.records)-1).Draw(t, "again")])
		}
	case 9:
		h.add(t, publisher.Withdrawal{ID: strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "withdrawn"))})
	case 10:
		h.first = max(h.first, int64(rapid.IntRange(0, len(h.records)+1).Draw(t, "trim")))
	case 11:
		if rapid.Bool().Draw(t, "replace") {
			n := h.reader(t)
			h.readers[n], h.state[n] = &publisher.Reader{}, publisher.New()
		}
		if err := h.adopt(h.readers[h.reader(t)], h.readers[h.reader(t)]); err != nil {
			t.Fatal(err)
		}
	}
}

// check fails when a reader went back, or two of them disagree.
func (h *history) check(t *rapid.T) {
	at := map[int64]string{}
	for _, n := range h.names {
		s := h.readers[n].State()
		if s.Revision() < h.state[n].Revision() || s.Next() < h.state[n].Next() {
			t.Fatalf("%s went back from revision %d to %d", n, h.state[n].Revision(), s.Revision())
		}
		h.state[n] = s
		b, err := json.Marshal(s.Files())
		if err != nil {
			t.Fatal(err)
		}
		if c, ok := h.content[s.Revision()]; ok && c != string(b) {
			t.Fatalf("revision %d is %s and %s", s.Revision(), c, b)
		}
		h.content[s.Revision()] = string(b)
		if c, ok := at[s.Next()]; s.Complete() && ok && c != string(b) {
			t.Fatalf("before offset %d stand %s and %s", s.Next(), c, b)
		}
		if s.Complete() {
			at[s.Next()] = string(b)
		}
	}
}

// TestReadersAgree runs random changes, copies, withdrawals, snapshots, losses
// of old records, and replacements of readers. Readers never disagree about a
// revision, and none goes back to an older one.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := history{
			world:   world{first: 1, readers: map[string]*publisher.Reader{}},
			names:   []string{"x", "y", "z"},
			content: map[int64]string{},
			state:   map[string]publisher.State{},
		}
		for _, n := range h.names {
			h.readers[n], h.state[n] = &publisher.Reader{}, publisher.New()
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			h.randomStep(t)
			h.check(t)
		}
		for _, n := range h.names {
			r := h.readers[n]
			r.First(h.first)
			h.feed(r, r.State().Next(), int64(len(h.records))+1)
		}
		h.check(t)
	})
}
