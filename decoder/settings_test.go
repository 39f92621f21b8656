package decoder_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// TestDecodeSettings decodes the first file of each archive. The second file holds
// the expected error or settings.
func TestDecodeSettings(t *testing.T) {
	scripter.Archives(t, "testdata/settings/*.txtar", func(t *testing.T, a scripter.Archive) {
		s, err := decoder.DecodeSettings(decoder.File{Name: "settings.toml", Content: a.Scripts[0].Text})
		got := fmt.Sprintf("%+v\n", s)
		if err != nil {
			got = err.Error() + "\n"
		}
		is.New(t).Equal(got, a.Scripts[1].Text)
	})
}
