package scripter_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// TestDoReportsResultsAndErrors runs each file of an archive and compares the output,
// counts and errors with its last file, "want".
func TestDoReportsResultsAndErrors(t *testing.T) {
	scripter.Archives(t, "testdata/do.txtar", func(t *testing.T, a scripter.Archive) {
		is := is.New(t)
		var out strings.Builder
		c := scripter.Commands{
			"add":  func(n ...int) { fmt.Fprintln(&out, "add", n) },
			"wait": func(name string, d time.Duration) { fmt.Fprintln(&out, "wait", name, d) },
			"size": func(n uint8) { fmt.Fprintln(&out, "size", n) },
			"fail": errors.New,
		}
		for _, s := range a.Scripts {
			if s.Name == "want" {
				continue
			}
			n, err := s.Do(c, nil)
			fmt.Fprintln(&out, s.Name, n, err)
		}
		is.Equal(out.String(), a.Files()["want"])
	})
}

// TestSessionRunsOnlyInputLines guards against output lines that run as commands.
func TestSessionRunsOnlyInputLines(t *testing.T) {
	is := is.New(t)
	s := scripter.Script{Archive: "a.txtar", Name: "session", Text: "> add 1\n1\n  > add 2\n> fail now\n"}
	var added []int
	_, err := s.Session().Do(scripter.Commands{"add": func(n int) { added = append(added, n) }, "fail": errors.New}, nil)
	is.Equal(added, []int{1}) // output lines are not run
	is.Equal(err.Error(), "a.txtar:3: session: fail now: now")
	_, err = scripter.Script{Text: "printed\n"}.Session().Do(scripter.Commands{}, nil)
	is.True(err != nil) // a session without commands must not pass
}

// TestFindFailsWithoutScripts guards against tests that pass because they run nothing.
func TestFindFailsWithoutScripts(t *testing.T) {
	is := is.New(t)
	_, err := scripter.Find(filepath.Join(t.TempDir(), "*.txtar"))
	is.True(err != nil) // a directory without archives must not pass
	_, err = scripter.Find("testdata/do.txtar")
	is.NoErr(err)
	_, err = scripter.Find("testdata/no-files.txtar")
	is.True(err != nil) // nor must an archive without files
}

// TestWrapperIsCalledForEachLine checks that a wrapper gets each unparsed line and can
// replace its error.
func TestWrapperIsCalledForEachLine(t *testing.T) {
	is := is.New(t)
	archives, err := scripter.Find("testdata/do.txtar")
	is.NoErr(err)
	var lines []string
	_, err = archives[0].Scripts[0].Do(scripter.Commands{"add": func(...int) error { return errors.ErrUnsupported }, "wait": func(...string) {}},
		func(line string, do func() error) error {
			lines = append(lines, line)
			if err := do(); !errors.Is(err, errors.ErrUnsupported) {
				return err
			}
			return nil
		})
	is.NoErr(err)
	is.Equal(lines, []string{"add 1 -2", "add", "  wait x 2s"})
}
