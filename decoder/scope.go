package decoder

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// scope is a table of a file from which values are read. For an invalid value a
// problem is added and the default is used.
type scope struct {
	file *sourceFile
	path string
}

// sourceFile is a file that is being decoded.
type sourceFile struct {
	name     string
	lines    keyLines
	problems Problems
}

func (s scope) child(key string) scope { return scope{file: s.file, path: join(s.path, key)} }

func (s scope) entry(key string, i int) scope {
	return s.child(fmt.Sprintf("%s[%d]", key, i))
}

// addProblem adds the problem that value is not allowed at key. An empty key stands
// for the table itself.
func (s scope) addProblem(key string, value any, allowed string) {
	s.file.problems = append(s.file.problems, s.problem(key, value, allowed))
}

func (s scope) problem(key string, value any, allowed string) Problem {
	path := s.path
	if key != "" {
		path = join(path, key)
	}
	return Problem{
		File:    s.file.name,
		Line:    s.file.lines.lineOf(path),
		Key:     path,
		Value:   formatValue(value),
		Allowed: allowed,
	}
}

// maxValueLength is the length to which a value in a problem is cut, in bytes.
const maxValueLength = 80

// formatValue formats a value as in a file.
func formatValue(v any) string {
	var text string
	switch t := v.(type) {
	case nil:
		return ""
	case string:
		text = fmt.Sprintf("%q", t)
	case time.Duration:
		text = fmt.Sprintf("%q", t)
	case map[string]any:
		text = "a table"
	case []any:
		text = "an array"
	default:
		text = fmt.Sprint(v)
	}
	if len(text) > maxValueLength {
		text = strings.ToValidUTF8(text[:maxValueLength], "") + "..."
	}
	return text
}

// integer reads a whole number between low and high.
func (s scope) integer(key string, v any, def, low, high int) int {
	if v == nil {
		return def
	}
	n, ok := v.(int64)
	if !ok || n < int64(low) || n > int64(high) {
		s.addProblem(key, v, fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return int(n)
}

// boolean reads true or false; false is the default.
func (s scope) boolean(key string, v any) bool {
	if v == nil {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		s.addProblem(key, v, "true or false")
	}
	return b
}

// text reads a string that satisfies valid; allowed describes such strings.
func (s scope) text(key string, v any, def, allowed string, valid func(string) bool) string {
	if v == nil {
		return def
	}
	t, ok := v.(string)
	if !ok || !valid(t) {
		s.addProblem(key, v, allowed)
		return def
	}
	return t
}

// choice reads one of the given strings; the first one is the default.
func (s scope) choice(key string, v any, choices ...string) string {
	allowed := fmt.Sprintf("one of %q", choices)
	return s.text(key, v, choices[0], allowed, func(t string) bool {
		return slices.Contains(choices, t)
	})
}

// adjacency reads the topology constraint of tasks.
func (s scope) adjacency(v any, def placer.Adjacency) placer.Adjacency {
	if v == nil {
		return def
	}
	return placer.Adjacency(s.choice("adjacency", v,
		string(placer.AdjacencyNone), string(placer.AdjacencyRack), string(placer.AdjacencyWorker)))
}

// duration reads a duration such as "250ms" between low and high.
func (s scope) duration(key string, v any, def, low, high time.Duration) time.Duration {
	if v == nil {
		return def
	}
	allowed := fmt.Sprintf("a duration from %q to %q", low, high)
	d := def
	s.text(key, v, "", allowed, func(t string) bool {
		p, err := time.ParseDuration(t)
		if err != nil || p < low || p > high {
			return false
		}
		d = p
		return true
	})
	return d
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const nameAllowed = "a name of 1 to 63 lowercase letters, digits and hyphens, not beginning with a hyphen"

// name reads a required name.
func (s scope) name(key string, v any) string {
	if v == nil {
		s.addProblem(key, nil, nameAllowed)
		return ""
	}
	return s.text(key, v, "", nameAllowed, namePattern.MatchString)
}

// checkName adds a problem when the name of a table is invalid.
func (s scope) checkName(name string) {
	if !namePattern.MatchString(name) {
		s.addProblem("", name, nameAllowed)
	}
}

// The maximum resource amounts in a file.
const (
	maxMilliCores   = 100_000_000
	maxMemoryMB     = 1_000_000_000
	maxAccelerators = 100_000
)

// resources reads the resource amounts of a table.
func (s scope) resources(r rawResources, def placer.Resources) placer.Resources {
	return placer.Resources{
		MilliCores:   s.integer("milli-cores", r.MilliCores, def.MilliCores, 0, maxMilliCores),
		MemoryMB:     s.integer("memory-mb", r.MemoryMB, def.MemoryMB, 0, maxMemoryMB),
		Accelerators: s.integer("accelerators", r.Accelerators, def.Accelerators, 0, maxAccelerators),
	}
}
