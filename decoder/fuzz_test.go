package decoder_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// FuzzDecode checks that Decode does not panic on any file, that each problem has a
// line within its file, and that decoding a file again gives the same error.
func FuzzDecode(f *testing.F) {
	archives, err := scripter.Find("testdata/decode/*.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, a := range archives {
		for _, d := range a.Scripts {
			if strings.HasSuffix(d.Name, ".toml") {
				f.Add(d.Text)
			}
		}
	}
	f.Fuzz(func(t *testing.T, content string) {
		files := []decoder.File{
			{Name: "fuzzed.toml", Content: content},
			{Name: "other.toml", Content: "[organisation.other]\n"},
		}
		c, err := decoder.Decode(files)
		if err == nil {
			if len(c.Organisations) == 0 {
				t.Fatal("the organisation of the other file is missing")
			}
			return
		}
		var ps decoder.Problems
		if !errors.As(err, &ps) {
			t.Fatalf("error is not Problems: %v", err)
		}
		for _, p := range ps {
			lines := strings.Count(content, "\n") + 1
			if p.File == "" || p.Line < 1 || p.File == "fuzzed.toml" && p.Line > lines || p.Allowed == "" {
				t.Fatalf("problem lacks file, line or allowed values: %+v", p)
			}
		}
		if _, again := decoder.Decode(files); again == nil || again.Error() != err.Error() {
			t.Fatalf("decoding again gives another error: %v", again)
		}
	})
}
