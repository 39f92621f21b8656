package decoder

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is one file of the configuration.
type File struct {
	Name    string `json:"name"`    // path below the published directory, with slashes
	Content string `json:"content"` // TOML
}

// MaxFileSize is the largest file that is read, in bytes.
const MaxFileSize = 64 << 10 // many times the longest useful file; the library's time grows with the square of the keys

// maxUnknown is the most unknown keys that are noted for one file. The rest of
// such a file is not decoded.
const maxUnknown = 100

// Parsed is one file that was read. It is immutable, and can be combined with
// others again and again.
type Parsed struct {
	name     string
	tables   tables
	problems Problems
	readable bool // it is TOML of the layout, but for unknown keys and wrong values
}

// Parse reads one file by itself. What is wrong in it is told by Combine.
func Parse(f File) Parsed {
	var r rawFile
	p, ok := parseInto(f, &r)
	var t tables
	if ok {
		t = readTables(p, r)
	}
	return Parsed{name: f.Name, tables: t, problems: p.problems, readable: ok}
}

// Combine returns the configuration that files amount to together. The error, if
// any, is Problems: everything that is wrong, sorted. The revision of the result
// is 0. The order of files does not matter.
func Combine(files []Parsed) (Config, error) {
	fs := slices.Clone(files)
	slices.SortStableFunc(fs, func(a, b Parsed) int { return strings.Compare(a.name, b.name) })
	var b builder
	whole := true
	for i, f := range fs {
		if i > 0 && f.name == fs[i-1].name {
			b.problems = append(b.problems, Problem{File: f.name, Line: 1, Allowed: "each file once"})
			continue
		}
		b.add(f.tables)
		b.problems = append(b.problems, f.problems...)
		whole = whole && f.readable
	}
	if whole {
		b.checkWhole()
	}
	if len(b.problems) > 0 {
		return Config{}, b.problems.sorted()
	}
	return b.config(), nil
}

// Decode parses files and combines them.
func Decode(files []File) (Config, error) {
	ps := make([]Parsed, len(files))
	for i, f := range files {
		ps[i] = Parse(f)
	}
	return Combine(ps)
}

// parseInto reads the layout of one file into raw, a pointer to a raw type. It
// reports whether the file could be read as TOML of that layout, apart from keys
// that are not known.
func parseInto(f File, raw any) (*parsed, bool) {
	p := &parsed{name: f.Name}
	if len(f.Content) > MaxFileSize {
		p.problems = Problems{{File: f.Name, Line: 1, Allowed: fmt.Sprintf("a file of at most %d bytes", MaxFileSize)}}
		return p, false
	}
	doc := []byte(f.Content)
	var unknown []Problem
	p.lines, unknown = outline(doc, reflect.TypeOf(raw).Elem())
	for _, q := range unknown[:min(len(unknown), maxUnknown)] {
		q.File = f.Name
		p.problems = append(p.problems, q)
	}
	if len(unknown) > maxUnknown {
		return p, false
	}
	d := toml.NewDecoder(bytes.NewReader(doc))
	if len(unknown) == 0 {
		d.DisallowUnknownFields() // the library formats the whole document for each unknown key
	}
	if err := d.Decode(raw); err != nil {
		p.syntax(err)
		return p, false
	}
	return p, true
}

// syntax notes an error of TOML itself, or a value where a table must stand.
func (p *parsed) syntax(err error) {
	q := Problem{File: p.name, Line: 1, Allowed: "TOML: " + strings.TrimPrefix(err.Error(), "toml: ")}
	var e *toml.DecodeError
	if errors.As(err, &e) {
		row, _ := e.Position()
		q.Line = max(row, 1)
		q.Key = strings.Join(e.Key(), ".")
	}
	p.problems = append(p.problems, q)
}

// config returns what was built, sorted by name.
func (b *builder) config() Config {
	var c Config
	for _, g := range b.capacity {
		c.Capacity = append(c.Capacity, g.value)
	}
	for _, o := range b.organisations {
		c.Organisations = append(c.Organisations, o.value)
	}
	for _, s := range b.services {
		c.Services = append(c.Services, s.value)
	}
	slices.SortFunc(c.Organisations, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return c
}
