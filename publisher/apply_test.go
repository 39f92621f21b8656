package publisher_test

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// world is a stream of the log and the readers of a script.
type world struct {
	first   int64
	records []entry
	readers map[string]*publisher.Reader
	files   map[string]string
	out     strings.Builder
}

// entry is a record as the log holds it; the one at index i has offset i+1.
type entry struct {
	kind string
	body json.RawMessage
}

// TestApplyScripts runs the file "steps" of each script and compares what the
// steps print with the file "want".
func TestApplyScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/apply/*.txtar")
	is.New(t).NoErr(err)
	for _, p := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(p), ".txtar"), func(t *testing.T) {
			is := is.New(t)
			a, err := txtar.ParseFile(p)
			is.NoErr(err)
			w := world{first: 1, readers: map[string]*publisher.Reader{}, files: map[string]string{}}
			for _, f := range a.Files {
				w.files[f.Name] = string(f.Data)
			}
			for line := range strings.Lines(w.files["steps"]) {
				line = strings.TrimSpace(line)
				fmt.Fprintf(&w.out, "> %s\n", line)
				is.NoErr(w.step(strings.Fields(line)))
			}
			is.Equal(w.out.String(), w.files["want"])
		})
	}
}

// step does one step of a script:
//
//	change ID PUBLISHER NAME@BASE[=FILE]...  append a change; without FILE it removes
//	newer ID PUBLISHER NAME@BASE[=FILE]...   append a change of a newer format
//	withdraw ID                              append a withdrawal
//	snapshot READER                          append a snapshot of a reader's state
//	again OFFSET                             append a copy of a record
//	corrupt                                  append a record that can't be decoded
//	trim OFFSET                              drop all records before one
//	reader NAME                              begin to read where the log begins
//	read NAME                                read to the end
//	adopt NAME PEER                          take the state of another reader
//	show NAME                                print the state of a reader
func (w *world) step(f []string) error {
	switch f[0] {
	case "change":
		return w.change(publisher.Format, f[1], f[2], f[3:])
	case "newer":
		return w.change(publisher.Format+1, f[1], f[2], f[3:])
	case "withdraw":
		return w.append(publisher.Withdrawal{ID: f[1]})
	case "snapshot":
		return w.append(publisher.Snapshot{State: w.readers[f[1]].State()})
	case "again":
		w.records = append(w.records, w.records[number(f[1])-1])
	case "corrupt":
		w.records = append(w.records, entry{kind: publisher.KindChange, body: json.RawMessage(`{"id":7}`)})
	case "trim":
		w.first = number(f[1])
	case "reader":
		w.readers[f[1]] = &publisher.Reader{}
	case "read":
		w.read(w.readers[f[1]])
	case "adopt":
		return w.adopt(w.readers[f[1]], w.readers[f[2]])
	case "show":
		w.show(w.readers[f[1]].State())
	default:
		return fmt.Errorf("step %q is not known", f[0])
	}
	return nil
}

func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func (w *world) append(r publisher.Record) error {
	b, err := json.Marshal(r)
	w.records = append(w.records, entry{kind: publisher.Kind(r), body: b})
	return err
}

func (w *world) change(format int, id, by string, files []string) error {
	c := publisher.Change{Format: format, ID: id, Publisher: by}
	for _, f := range files {
		f, content, keeps := strings.Cut(f, "=")
		name, base, _ := strings.Cut(f, "@")
		c.Files = append(c.Files, publisher.FileChange{
			Name: name, Base: number(base), Content: w.files[content], Removed: !keeps,
		})
	}
	return w.append(c)
}

func (w *world) read(r *publisher.Reader) {
	r.First(w.first)
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

func (w *world) adopt(r, peer *publisher.Reader) error {
	b, err := publisher.Encode(peer.State())
	if err != nil {
		return err
	}
	s, err := publisher.DecodeState(b)
	r.Adopt(s)
	return err
}

func (w *world) show(s publisher.State) {
	fmt.Fprintf(&w.out, "revision %d of config %d, complete %v:", s.Revision(), s.Config().Revision, s.Complete())
	for _, f := range s.Files() {
		fmt.Fprintf(&w.out, " %s@%d by %s", f.Name, f.Revision, f.Publisher)
	}
	w.out.WriteString("\n")
}
