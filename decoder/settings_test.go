package decoder_test

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// Each archive holds a settings.toml and what is said of it: an error, or the
// settings.
func TestDecodeSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/settings/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			is := is.New(t)
			a, err := txtar.ParseFile(f)
			is.NoErr(err)
			s, err := decoder.DecodeSettings(decoder.File{Name: "settings.toml", Content: string(a.Files[0].Data)})
			got := fmt.Sprintf("%+v\n", s)
			if err != nil {
				got = err.Error() + "\n"
			}
			is.Equal(got, string(a.Files[1].Data))
		})
	}
}
