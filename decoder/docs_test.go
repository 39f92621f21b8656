package decoder_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// TestServiceFilesPageMatchesKnownKeys checks that the first example of the page on
// service files is valid, and that the page documents exactly the known keys of each
// table.
func TestServiceFilesPageMatchesKnownKeys(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("../docs/SERVICE-FILES.md")
	is.NoErr(err)
	page := string(b)
	_, example, _ := strings.Cut(page, "```toml\n")
	example, _, _ = strings.Cut(example, "```")
	_, err = decoder.Decode([]decoder.File{{Name: "first.toml", Content: example}})
	is.NoErr(err)

	for heading, file := range map[string]string{
		"## `[organisation.NAME]`":              "[organisation.a]\nx = 1",
		"### `[[organisation.NAME.guarantee]]`": "[[organisation.a.guarantee]]\nx = 1",
		"### `[organisation.NAME.team.NAME]`":   "[organisation.a.team.b]\nx = 1",
		"## `[service.NAME]`":                   "[service.a]\nx = 1",
		"### `[[service.NAME.route]]`":          "[[service.a.route]]\nx = 1",
		"### `[service.NAME.job]`":              "[service.a.job]\nx = 1",
		"## `[[capacity]]`":                     "[[capacity]]\nx = 1",
	} {
		_, err := decoder.Decode([]decoder.File{{Name: "x.toml", Content: file}})
		_, section, found := strings.Cut(page, heading+"\n")
		is.True(found) // the page has a section for the table
		section, _, _ = strings.Cut(section, "\n#")
		known := knownKeys(t, err)
		for k := range strings.SplitSeq(known, ", ") {
			subtable := k == "guarantee" || k == "team" || k == "route" || k == "job"
			if !subtable && !strings.Contains(section, "| `"+k+"` |") {
				t.Errorf("section %s of the page lacks the key %s", heading, k)
			}
		}
		for line := range strings.Lines(section) {
			k, ok := strings.CutPrefix(line, "| `")
			k, _, _ = strings.Cut(k, "`")
			if ok && !strings.Contains(", "+known+", ", ", "+k+", ") {
				t.Errorf("section %s of the page has the unknown key %s", heading, k)
			}
		}
	}
}

// knownKeys returns the keys that the problem of the unknown key x lists.
func knownKeys(t *testing.T, err error) string {
	t.Helper()
	var ps decoder.Problems
	if !errors.As(err, &ps) {
		t.Fatalf("want problems, got %v", err)
	}
	for _, p := range ps {
		if known, ok := strings.CutPrefix(p.Allowed, "one of the keys "); ok {
			return known
		}
	}
	t.Fatalf("no unknown key in %v", ps)
	return ""
}
