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

// File is a configuration file.
type File struct {
	Name    string `json:"name"`    // slash-separated path below the published directory
	Content string `json:"content"` // TOML
}

// MaxFileSize is the maximum size of a file, in bytes.
const MaxFileSize = 64 << 10 // far above any useful file; the TOML library takes quadratic time in the number of keys

// maxUnknownKeys is the maximum number of unknown keys that are reported for one
// file. The values of a file with more are not decoded.
const maxUnknownKeys = 100

// Parsed is a parsed file. It is immutable, and can be combined with others any
// number of times.
type Parsed struct {
	name       string
	tables     tables
	problems   Problems
	wellFormed bool // TOML that matches the schema, except for unknown keys and invalid values
}

// Parse parses a single file. Its problems are reported by Combine.
func Parse(f File) Parsed {
	var r rawFile
	p, ok := parseInto(f, &r)
	var t tables
	if ok {
		t = readTables(p, r)
	}
	return Parsed{name: f.Name, tables: t, problems: p.problems, wellFormed: ok}
}

// Combine merges files into one configuration and validates it. The error, if any,
// is of type Problems and holds all problems, sorted. The revision of the result is
// 0. The order of files does not matter.
func Combine(files []Parsed) (Config, error) {
	fs := slices.Clone(files)
	slices.SortStableFunc(fs, func(a, b Parsed) int { return strings.Compare(a.name, b.name) })
	var b builder
	wellFormed := true
	for i, f := range fs {
		if i > 0 && f.name == fs[i-1].name {
			b.problems = append(b.problems, Problem{File: f.name, Line: 1, Allowed: "each file name only once"})
			continue
		}
		b.add(f.tables)
		b.problems = append(b.problems, f.problems...)
		wellFormed = wellFormed && f.wellFormed
	}
	if wellFormed {
		b.checkAcrossFiles()
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

// parseInto decodes a file into raw, a pointer to a raw type. It reports whether
// the file is TOML that matches the schema of that type, apart from unknown keys.
func parseInto(f File, raw any) (*sourceFile, bool) {
	p := &sourceFile{name: f.Name}
	if len(f.Content) > MaxFileSize {
		p.problems = Problems{{File: f.Name, Line: 1, Allowed: fmt.Sprintf("a file of at most %d bytes", MaxFileSize)}}
		return p, false
	}
	doc := []byte(f.Content)
	var unknown []Problem
	p.lines, unknown = indexKeys(doc, reflect.TypeOf(raw).Elem())
	for _, q := range unknown[:min(len(unknown), maxUnknownKeys)] {
		q.File = f.Name
		p.problems = append(p.problems, q)
	}
	if len(unknown) > maxUnknownKeys {
		return p, false
	}
	d := toml.NewDecoder(bytes.NewReader(doc))
	if len(unknown) == 0 {
		d.DisallowUnknownFields() // for each unknown key the library formats the whole document
	}
	if err := d.Decode(raw); err != nil {
		p.addSyntaxError(err)
		return p, false
	}
	return p, true
}

// addSyntaxError adds a problem for invalid TOML, or for a value in place of a table.
func (p *sourceFile) addSyntaxError(err error) {
	q := Problem{File: p.name, Line: 1, Allowed: "TOML: " + strings.TrimPrefix(err.Error(), "toml: ")}
	var e *toml.DecodeError
	if errors.As(err, &e) {
		row, _ := e.Position()
		q.Line = max(row, 1)
		q.Key = strings.Join(e.Key(), ".")
	}
	p.problems = append(p.problems, q)
}

// config returns the collected configuration, sorted by name.
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
