// Package scripter runs scripted tests: txtar archives of scripts with one command per
// line. Tests that start processes use testscript instead, which cannot run in virtual
// time.
package scripter

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

// Archive is a parsed txtar file.
type Archive struct {
	Path    string // path returned by Find
	Scripts []Script
}

// Script is a file of an archive, with one command per line. Empty lines and comments,
// which begin with "#", are skipped.
type Script struct {
	Archive   string // path of the archive
	Name      string // name of the file in the archive
	Text      string
	firstLine int // line number in the archive of the first line of Text
}

// Wrapper runs a line of a script by calling do once. It gets the unparsed line, and its
// error replaces that of do.
type Wrapper func(line string, do func() error) error

// Find returns the archives that match a glob pattern, sorted by path. It returns an
// error if there are none, or if an archive has no files.
func Find(pattern string) ([]Archive, error) {
	paths, err := filepath.Glob(pattern)
	if err == nil && len(paths) == 0 {
		err = fmt.Errorf("no archive matches %s", pattern)
	}
	if err != nil {
		return nil, err
	}
	var archives []Archive
	for _, p := range paths {
		a, err := txtar.ParseFile(p)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", p, err)
		}
		if len(a.Files) == 0 {
			return nil, fmt.Errorf("archive %s has no files", p)
		}
		r := Archive{Path: p}
		line := strings.Count(string(a.Comment), "\n") + 1
		for _, f := range a.Files {
			r.Scripts = append(r.Scripts, Script{Archive: p, Name: f.Name, Text: string(f.Data), firstLine: line + 1})
			line += 1 + strings.Count(string(f.Data), "\n")
		}
		archives = append(archives, r)
	}
	return archives, nil
}

// Files returns the contents of the files of an archive by name.
func (a Archive) Files() map[string]string {
	m := map[string]string{}
	for _, s := range a.Scripts {
		m[s.Name] = s.Text
	}
	return m
}

// Script returns the file with the given name. It fails the test if there is none.
func (a Archive) Script(t *testing.T, name string) Script {
	t.Helper()
	for _, s := range a.Scripts {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("archive %s has no file %q", a.Path, name)
	return Script{}
}

// Session returns the commands of a script that also contains their output. The commands
// are the lines that begin with "> ". The caller prints each command before it runs, and
// compares the whole output with the text of the script.
func (s Script) Session() Script {
	lines := strings.Split(s.Text, "\n")
	for i, l := range lines {
		lines[i], _ = strings.CutPrefix(l, "> ")
		if lines[i] == l {
			lines[i] = "" // keep the line so that line numbers stay the same
		}
	}
	s.Text = strings.Join(lines, "\n")
	return s
}

// Archives runs f for each archive that matches a glob pattern, as a subtest named after
// the archive. It fails the test if there is none.
func Archives(t *testing.T, pattern string, f func(*testing.T, Archive)) {
	t.Helper()
	archives, err := Find(pattern)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range archives {
		t.Run(strings.TrimSuffix(filepath.Base(a.Path), ".txtar"), func(t *testing.T) { f(t, a) })
	}
}

// Scripts runs f for each file of each archive that matches a glob pattern, as a subtest
// named after the file within a subtest named after the archive.
func Scripts(t *testing.T, pattern string, f func(*testing.T, Script)) {
	t.Helper()
	Archives(t, pattern, func(t *testing.T, a Archive) {
		for _, s := range a.Scripts {
			t.Run(s.Name, func(t *testing.T) { f(t, s) })
		}
	})
}

// Play runs a script and fails the test at the first line with an error. It logs the
// number of commands that ran.
func (s Script) Play(t *testing.T, c Commands, wrap Wrapper) {
	t.Helper()
	n, err := s.Do(c, wrap)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("commands run: %d", n)
}

// Do runs a script up to the first line with an error, and returns the number of lines
// that succeeded. The error contains the archive, the line number and the line. A script
// without commands is an error. Do calls wrap for each line if it is not nil.
func (s Script) Do(c Commands, wrap Wrapper) (int, error) {
	n := 0
	for i, line := range strings.Split(s.Text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		do := func() error { return c.Do(words) }
		run := do
		if wrap != nil {
			run = func() error { return wrap(line, do) }
		}
		if err := run(); err != nil {
			return n, fmt.Errorf("%s:%d: %s: %s: %w", s.Archive, s.firstLine+i, s.Name, line, err)
		}
		n++
	}
	if n == 0 {
		return 0, fmt.Errorf("%s: %s has no command", s.Archive, s.Name)
	}
	return n, nil
}
