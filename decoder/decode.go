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

// Decode returns the configuration that files amount to together. The error, if
// any, is Problems: everything that is wrong, sorted. The revision of the result
// is 0. The order of files does not matter.
func Decode(files []File) (Config, error) {
	c, ps := decodeAll(files)
	if len(ps) > 0 {
		return Config{}, ps
	}
	return c, nil
}

func decodeAll(files []File) (Config, Problems) {
	fs := slices.Clone(files)
	slices.SortFunc(fs, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	var ps Problems
	var b builder
	whole := true
	for i, f := range fs {
		if i > 0 && f.Name == fs[i-1].Name {
			ps = append(ps, Problem{File: f.Name, Line: 1, Allowed: "each file once"})
			continue
		}
		p, ok := parse(f)
		if ok {
			b.add(p)
		}
		whole = whole && ok
		ps = append(ps, p.problems...)
	}
	if whole {
		ps = append(ps, b.checkWhole()...)
	}
	return b.config(), ps.sorted()
}

// parse reads a file of the configuration.
func parse(f File) (*parsed, bool) {
	var r rawFile
	p, ok := parseInto(f, &r)
	p.raw = r
	return p, ok
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
