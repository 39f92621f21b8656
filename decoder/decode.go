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
const MaxFileSize = 256 << 10 // many times the longest useful file, and small beside a record of the log

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
	p := &parsed{name: f.Name, layout: reflect.TypeOf(raw).Elem()}
	if len(f.Content) > MaxFileSize {
		p.problems = Problems{{File: f.Name, Line: 1, Allowed: fmt.Sprintf("a file of at most %d bytes", MaxFileSize)}}
		return p, false
	}
	doc := []byte(f.Content)
	p.lines = mapLines(doc)
	d := toml.NewDecoder(bytes.NewReader(doc)).DisallowUnknownFields()
	err := d.Decode(raw)
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		for i := range missing.Errors {
			p.unknownKey(&missing.Errors[i])
		}
		return p, true
	}
	if err != nil {
		p.syntax(err)
	}
	return p, err == nil
}

// unknownKey notes a key that the layout does not have.
func (p *parsed) unknownKey(e *toml.DecodeError) {
	row, _ := e.Position()
	path := e.Key()
	q := Problem{File: p.name, Line: max(row, 1), Key: strings.Join(path, "."), Allowed: "no such key"}
	for n := len(path) - 1; n >= 0; n-- {
		if known := knownKeys(p.layout, path[:n]); known != nil {
			q.Allowed = "one of the keys " + strings.Join(known, ", ")
			break
		}
	}
	p.problems = append(p.problems, q)
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
	c := Config{Capacity: b.capacity}
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
