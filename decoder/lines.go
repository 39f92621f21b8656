package decoder

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines holds the line of each key of a document by the key's full path.
// Entries of arrays of tables are numbered from 0, as in
// "service.labels.route[1].path".
type keyLines map[string]int

// lineOf returns the line of path, or else of its nearest enclosing table, or else 1.
func (m keyLines) lineOf(path string) int {
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

// node is a table or value of a document. Its schema is nil for an unknown key; the
// keys below are not followed, so the time to process a document does not grow with
// its depth.
type node struct {
	path   string
	schema reflect.Type
}

// keyIndexer walks the expressions of a document and records the line of each key
// and the unknown keys.
type keyIndexer struct {
	lineStarts  []int          // byte offset of the start of each line
	entryCounts map[string]int // number of entries of each array of tables so far
	lines       keyLines
	unknown     []Problem
}

// indexKeys returns the lines of the keys of doc and a problem for each key that is
// not in the schema. It stops at the first syntax error, which decoding reports.
func indexKeys(doc []byte, schema reflect.Type) (keyLines, []Problem) {
	o := keyIndexer{lineStarts: []int{0}, entryCounts: map[string]int{}, lines: keyLines{}}
	for i, b := range doc {
		if b == '\n' {
			o.lineStarts = append(o.lineStarts, i+1)
		}
	}
	var p unstable.Parser
	p.Reset(doc)
	root := node{schema: schema}
	table := root
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = o.resolveKey(e.Key(), root)
		case unstable.ArrayTable:
			table = o.arrayEntry(o.resolveKey(e.Key(), root))
		case unstable.KeyValue:
			o.walkKeyValue(e, table)
		default:
		}
	}
	return o.lines, o.unknown
}

// arrayEntry adds an entry to an array of tables and returns its node.
func (o *keyIndexer) arrayEntry(p node) node {
	n := o.entryCounts[p.path]
	o.entryCounts[p.path] = n + 1
	entry := node{path: fmt.Sprintf("%s[%d]", p.path, n), schema: p.schema}
	o.lines[entry.path] = o.lines[p.path]
	return entry
}

func (o *keyIndexer) walkKeyValue(e *unstable.Node, p node) {
	o.walkValue(e.Value(), o.resolveKey(e.Key(), p))
}

// walkValue indexes the keys within an inline value.
func (o *keyIndexer) walkValue(v *unstable.Node, p node) {
	if p.schema == nil {
		return
	}
	it := v.Children()
	switch v.Kind {
	case unstable.InlineTable:
		for it.Next() {
			o.walkKeyValue(it.Node(), p)
		}
	case unstable.Array:
		for i := 0; it.Next(); i++ {
			if it.Node().Kind == unstable.InlineTable {
				o.walkValue(it.Node(), node{fmt.Sprintf("%s[%d]", p.path, i), p.schema})
			}
		}
	default:
	}
}

// resolveKey returns the node of a dotted key relative to a table. A part that names
// an array of tables refers to the array's last entry.
func (o *keyIndexer) resolveKey(it unstable.Iterator, p node) node {
	start := p.path
	for p.schema != nil && it.Next() {
		if n := o.entryCounts[p.path]; n > 0 && p.path != start {
			p.path = fmt.Sprintf("%s[%d]", p.path, n-1)
		}
		p = o.resolvePart(it.Node(), p, it.IsLast())
	}
	return p
}

// resolvePart returns the node of one part of a dotted key, and records its line.
func (o *keyIndexer) resolvePart(n *unstable.Node, p node, last bool) node {
	k := string(n.Data)
	line := sort.SearchInts(o.lineStarts, int(n.Raw.Offset)+1)
	next := node{path: join(p.path, k), schema: keySchema(p.schema, k)}
	if next.schema == nil {
		o.unknownKey(line, next.path, p.schema)
	}
	if _, ok := o.lines[next.path]; !ok || last {
		o.lines[next.path] = line
	}
	return next
}

// unknownKey adds a problem for a key that is not in the schema of its table. In
// place of a value that is not a table every key is unknown; decoding reports the
// value itself.
func (o *keyIndexer) unknownKey(line int, path string, table reflect.Type) {
	if known := knownKeys(table); known != nil {
		o.unknown = append(o.unknown, Problem{
			Line: line, Key: path, Allowed: "one of the keys " + strings.Join(known, ", "),
		})
	}
}

// join appends key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
