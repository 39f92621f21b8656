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

// TestDecodeScripts decodes the .toml files of each archive. The file "problems"
// holds the expected problems, the file "config" the expected configuration.
func TestDecodeScripts(t *testing.T) {
	scripter.Archives(t, "testdata/decode/*.txtar", runDecodeScript)
}

func runDecodeScript(t *testing.T, a scripter.Archive) {
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
		is.Equal(formatConfig(c), w) // configuration
	}
}

// formatConfig formats a configuration with one organisation, guarantee, service or
// route per line.
func formatConfig(c decoder.Config) string {
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

// TestDecodePathologicalFiles decodes files with thousands of keys or levels of
// nesting, which would take much time or memory if every key were followed. Few
// problems are reported.
func TestDecodePathologicalFiles(t *testing.T) {
	var manyKeys strings.Builder
	for i := range 8000 {
		fmt.Fprintf(&manyKeys, "k%d=1\n", i)
	}
	for name, c := range map[string]struct {
		content  string
		problems int
	}{
		"many":   {manyKeys.String(), 100},
		"large":  {manyKeys.String() + strings.Repeat("#", 20_000), 1},
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
			is.True(len(ps.Error()) < 20_000) // no problem holds the content of the file
		})
	}
}
