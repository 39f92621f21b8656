package decoder_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// TestDecodeScripts decodes the .toml files of each script. The file "problems"
// holds the problems that are expected, the file "config" the configuration.
func TestDecodeScripts(t *testing.T) {
	scripter.Archives(t, "testdata/decode/*.txtar", runScript)
}

func runScript(t *testing.T, a scripter.Archive) {
	is := is.New(t)
	var files []decoder.File
	want := map[string]string{}
	for _, f := range a.Scripts {
		if strings.HasSuffix(f.Name, ".toml") {
			files = append(files, decoder.File{Name: f.Name, Content: f.Text})
			continue
		}
		want[f.Name] = f.Text
	}
	c, err := decoder.Decode(files)
	got := ""
	var ps decoder.Problems
	if errors.As(err, &ps) {
		got = ps.Error() + "\n"
	}
	is.Equal(got, want["problems"]) // problems
	if w, ok := want["config"]; ok {
		is.Equal(describe(c), w) // configuration
	}
}

// describe formats a configuration, one organisation or service a line.
func describe(c decoder.Config) string {
	var b strings.Builder
	for _, o := range c.Organisations {
		fmt.Fprintf(&b, "%s weight %d operator %v keys %d teams %v\n", o.Name, o.Weight, o.Operator, len(o.KeyHashes), o.Teams)
		for _, g := range o.Guarantees {
			fmt.Fprintf(&b, "  %s %d x %v %s %v-%v %s %v/%v\n", g.Name, g.Blocks, g.Block, g.Adjacency, g.From, g.To, g.Location, g.Grace, g.ReclaimBound)
		}
	}
	for _, s := range c.Services {
		fmt.Fprintf(&b, "%s of %s share %d retry %d%% queue %d job %+v\n", s.Name, s.Organisation, s.Share, s.RetryPercent, s.QueueLimit, s.Job)
		for _, r := range s.Routes {
			fmt.Fprintf(&b, "  %s %s once %v deadline %v run %v body %d\n", r.Path, r.Class, r.NonIdempotent, r.Deadline, r.DeclaredRun, r.MaxBody)
		}
	}
	return b.String()
}

// TestDecodeHostile decodes files that would take long or much memory if every
// key were followed. The problems that it finds are few.
func TestDecodeHostile(t *testing.T) {
	var many strings.Builder
	for i := range 8000 {
		fmt.Fprintf(&many, "k%d=1\n", i)
	}
	for name, c := range map[string]struct {
		content  string
		problems int
	}{
		"many":   {many.String(), 100},
		"large":  {many.String() + strings.Repeat("#", 20_000), 1},
		"dotted": {strings.Repeat("a.", 20_000) + "a=1", 1},
		"table":  {"[" + strings.Repeat("a.", 20_000) + "a]", 1},
		"arrays": {"a=" + strings.Repeat("[", 9000) + strings.Repeat("]", 9000), 1},
		"tables": {"service.a.share=" + strings.Repeat("{a=", 5000) + "1" + strings.Repeat("}", 5000), 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := decoder.Decode([]decoder.File{{Name: "a.toml", Content: c.content}})
			var ps decoder.Problems
			is.True(errors.As(err, &ps))
			is.Equal(len(ps), c.problems)
			is.True(len(ps.Error()) < 20_000) // no problem repeats the file
		})
	}
}
