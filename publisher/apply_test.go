package publisher_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// streamFixture is a log stream with the readers of a script.
type streamFixture struct {
	firstOffset int64
	records     []logRecord
	readers     map[string]*publisher.Reader
	files       map[string]string
	out         strings.Builder
}

// logRecord is an encoded record in the log. The record at index i has offset i+1.
type logRecord struct {
	kind string
	body json.RawMessage
}

// TestApplyScripts runs the file "session" of each archive.
func TestApplyScripts(t *testing.T) {
	scripter.Archives(t, "testdata/apply/*.txtar", func(t *testing.T, a scripter.Archive) {
		w := streamFixture{firstOffset: 1, readers: map[string]*publisher.Reader{}, files: a.Files()}
		session := a.Script(t, "session")
		session.Session().Play(t, w.commands(), func(line string, do func() error) error {
			fmt.Fprintf(&w.out, "> %s\n", line)
			return do()
		})
		is.New(t).Equal(w.out.String(), session.Text)
	})
}

// commands returns the commands of a script. A file of a change is written
// NAME@BASE[=FILE]; without FILE the change removes the file.
func (w *streamFixture) commands() scripter.Commands {
	return scripter.Commands{
		"change": func(id, by string, files ...string) error { return w.change(publisher.Format, id, by, files) },
		"newer": func(id, by string, files ...string) error { // a change of a newer format
			return w.change(publisher.Format+1, id, by, files)
		},
		"withdraw": func(id string) error { return w.append(publisher.Withdrawal{ID: id}) },
		"snapshot": func(reader string) error { return w.append(publisher.Snapshot{State: w.readers[reader].State()}) },
		"again":    func(offset int64) { w.records = append(w.records, w.records[offset-1]) },
		"corrupt": func() { // appends a record that cannot be decoded
			w.records = append(w.records, logRecord{kind: publisher.KindChange, body: json.RawMessage(`{"id":7}`)})
		},
		"trim":   func(first int64) { w.firstOffset = first }, // drops all records before an offset
		"reader": func(name string) { w.readers[name] = &publisher.Reader{} },
		"read":   func(name string) { w.read(w.readers[name]) }, // to the end of the stream
		"adopt":  func(name, peer string) error { return w.adopt(w.readers[name], w.readers[peer]) },
		"show":   func(name string) { w.show(w.readers[name].State()) },
	}
}

func (w *streamFixture) append(r publisher.Record) error {
	b, err := json.Marshal(r)
	w.records = append(w.records, logRecord{kind: publisher.Kind(r), body: b})
	return err
}

func (w *streamFixture) change(format int, id, by string, files []string) error {
	c := publisher.Change{Format: format, ID: id, Publisher: by}
	for _, f := range files {
		f, content, hasContent := strings.Cut(f, "=")
		name, base, _ := strings.Cut(f, "@")
		n, err := strconv.ParseInt(base, 10, 64)
		if err != nil {
			return err
		}
		c.Files = append(c.Files, publisher.FileChange{
			Name: name, Base: n, Content: w.files[content], Removed: !hasContent,
		})
	}
	return w.append(c)
}

func (w *streamFixture) read(r *publisher.Reader) {
	r.SetFirstOffset(w.firstOffset)
	for o := r.State().Next(); o <= int64(len(w.records)); o++ {
		e := w.records[o-1]
		v, err := r.Read(o, time.Unix(o, 0), e.kind, e.body)
		if err != nil {
			fmt.Fprintf(&w.out, "%d undecodable\n", o)
			continue
		}
		fmt.Fprintf(&w.out, "%d %s\n", o, v.Outcome)
		for _, c := range v.Conflicts {
			fmt.Fprintf(&w.out, "  %s\n", c)
		}
		for _, p := range v.Problems {
			fmt.Fprintf(&w.out, "  %s\n", p)
		}
	}
}

func (w *streamFixture) adopt(r, peer *publisher.Reader) error {
	b, err := publisher.Encode(peer.State())
	if err != nil {
		return err
	}
	s, err := publisher.DecodeState(b)
	r.Adopt(s)
	return err
}

func (w *streamFixture) show(s publisher.State) {
	fmt.Fprintf(&w.out, "revision %d of config %d, complete %v:", s.Revision(), s.Config().Revision, s.Complete())
	for _, f := range s.Files() {
		fmt.Fprintf(&w.out, " %s@%d by %s", f.Name, f.Revision, f.Publisher)
	}
	w.out.WriteString("\n")
}
