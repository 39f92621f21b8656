// Package scripter runs the scripted tests of the packages: txtar archives of
// scripts with a command a line. Scripts that start processes run under testscript
// instead, which can't run in virtual time.
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
	Path    string // with which it was found
	Scripts []Script
}

// Script is a file of an archive, with a command a line. Empty lines and those whose
// first word begins with "#" are skipped.
type Script struct {
	Archive string // path of its archive
	Name    string // its name in the archive
	Text    string
	first   int // line of the archive at which the text begins
}

// Around runs a line of a script, as it stands, by calling do once. What it returns is
// the result of the line.
type Around func(line string, do func() error) error

// Find returns the archives that match a pattern, in the order of their names. It
// fails if there are none, and if one of them has no files.
func Find(pattern string) ([]Archive, error) {
	paths, err := filepath.Glob(pattern)
	if err == nil && len(paths) == 0 {
		err = fmt.Errorf("no archive matches %s", pattern)
	}
	if err != nil {
		return nil, err
	}
	var all []Archive
	for _, p := range paths {
		a, err := txtar.ParseFile(p)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", p, err)
		}
		if len(a.Files) == 0 {
			return nil, fmt.Errorf("%s has no files", p)
		}
		r := Archive{Path: p}
		line := strings.Count(string(a.Comment), "\n") + 1
		for _, f := range a.Files {
			r.Scripts = append(r.Scripts, Script{Archive: p, Name: f.Name, Text: string(f.Data), first: line + 1})
			line += 1 + strings.Count(string(f.Data), "\n")
		}
		all = append(all, r)
	}
	return all, nil
}

// Files returns the texts of an archive's files by their names.
func (a Archive) Files() map[string]string {
	m := map[string]string{}
	for _, s := range a.Scripts {
		m[s.Name] = s.Text
	}
	return m
}

// Script returns the file of an archive that has a name, and ends the test without it.
func (a Archive) Script(t *testing.T, name string) Script {
	t.Helper()
	for _, s := range a.Scripts {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("%s has no file %q", a.Path, name)
	return Script{}
}

// Session returns the commands of a script that holds what they print too: those are
// the lines that begin with "> ". Whoever plays them prints each line before it runs,
// and compares all that was printed with the text of the script.
func (s Script) Session() Script {
	lines := strings.Split(s.Text, "\n")
	for i, l := range lines {
		lines[i], _ = strings.CutPrefix(l, "> ")
		if lines[i] == l {
			lines[i] = "" // its place keeps the numbers of the others
		}
	}
	s.Text = strings.Join(lines, "\n")
	return s
}

// Archives runs f for each archive that matches a pattern, as a subtest of the
// archive's name. It ends the test if there is none.
func Archives(t *testing.T, pattern string, f func(*testing.T, Archive)) {
	t.Helper()
	all, err := Find(pattern)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range all {
		t.Run(strings.TrimSuffix(filepath.Base(a.Path), ".txtar"), func(t *testing.T) { f(t, a) })
	}
}

// Scripts runs f for each file of each archive that matches a pattern, as a subtest
// of the file's name within one of the archive's.
func Scripts(t *testing.T, pattern string, f func(*testing.T, Script)) {
	t.Helper()
	Archives(t, pattern, func(t *testing.T, a Archive) {
		for _, s := range a.Scripts {
			t.Run(s.Name, func(t *testing.T) { f(t, s) })
		}
	})
}

// Play runs a script and ends the test at the first line that fails. The log of the
// test says how many commands ran.
func (s Script) Play(t *testing.T, c Commands, around Around) {
	t.Helper()
	n, err := s.Do(c, around)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("commands run: %d", n)
}

// Do runs a script until a line fails, and returns how many lines did not. The error
// has the archive, the line in it and its text. A script without a command is an
// error. Around is called for each line; nil runs them plainly.
func (s Script) Do(c Commands, around Around) (int, error) {
	n := 0
	for i, line := range strings.Split(s.Text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		do := func() error { return c.Do(words) }
		run := do
		if around != nil {
			run = func() error { return around(line, do) }
		}
		if err := run(); err != nil {
			return n, fmt.Errorf("%s:%d: %s: %s: %w", s.Archive, s.first+i, s.Name, line, err)
		}
		n++
	}
	if n == 0 {
		return 0, fmt.Errorf("%s: %s has no command", s.Archive, s.Name)
	}
	return n, nil
}
