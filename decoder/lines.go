package decoder

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineMap tells the line of each key of a document, by the key's whole path.
// Entries of arrays of tables are numbered from 0, as in
// "service.labels.route[1].path".
type lineMap map[string]int

// at returns the line of path, or of the nearest table around it, or 1.
func (m lineMap) at(path string) int {
	for path != "" {
		if n, ok := m[path]; ok {
			return n
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			break
		}
		path = path[:i]
	}
	return 1
}

// liner builds a lineMap from the expressions of a document.
type liner struct {
	starts []int // offset of the start of each line
	counts map[string]int
	lines  lineMap
}

// mapLines returns the lines of the keys of doc. It stops at the first error of
// syntax, which decoding reports.
func mapLines(doc []byte) lineMap {
	l := liner{starts: []int{0}, counts: map[string]int{}, lines: lineMap{}}
	for i, b := range doc {
		if b == '\n' {
			l.starts = append(l.starts, i+1)
		}
	}
	var p unstable.Parser
	p.Reset(doc)
	prefix := ""
	for p.NextExpression() {
		prefix = l.expression(p.Expression(), prefix)
	}
	return l.lines
}

// expression notes the lines of e and returns the table that it leaves open.
func (l *liner) expression(e *unstable.Node, prefix string) string {
	switch e.Kind {
	case unstable.Table:
		return l.keys(e.Key(), "")
	case unstable.ArrayTable:
		path := l.keys(e.Key(), "")
		n := l.counts[path]
		l.counts[path] = n + 1
		entry := fmt.Sprintf("%s[%d]", path, n)
		l.lines[entry] = l.lines[path]
		return entry
	case unstable.KeyValue:
		l.keyValue(e, prefix)
		return prefix
	default:
		return prefix
	}
}

func (l *liner) keyValue(e *unstable.Node, prefix string) {
	path := l.keys(e.Key(), prefix)
	l.value(e.Value(), path)
}

// value notes the lines of the keys within an inline value.
func (l *liner) value(v *unstable.Node, path string) {
	it := v.Children()
	switch v.Kind {
	case unstable.InlineTable:
		for it.Next() {
			l.keyValue(it.Node(), path)
		}
	case unstable.Array:
		for i := 0; it.Next(); i++ {
			l.value(it.Node(), fmt.Sprintf("%s[%d]", path, i))
		}
	default:
	}
}

// keys notes the line of each step of a dotted key, and returns its whole path.
// A step into an array of tables means the array's last entry.
func (l *liner) keys(it unstable.Iterator, prefix string) string {
	path := prefix
	for it.Next() {
		if n := l.counts[path]; n > 0 && path != prefix {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		path = join(path, string(it.Node().Data))
		line := l.line(it.Node().Raw)
		if _, ok := l.lines[path]; !ok || it.IsLast() {
			l.lines[path] = line
		}
	}
	return path
}

func (l *liner) line(r unstable.Range) int {
	return sort.SearchInts(l.starts, int(r.Offset)+1)
}

// join adds key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
