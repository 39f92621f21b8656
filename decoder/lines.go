package decoder

import (
	"fmt"
	"reflect"
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

// place is a table or value of a document while it is walked. The layout is nil
// below what the layout knows; keys there are not followed, so the time that a
// document takes does not grow with its depth.
type place struct {
	path   string
	layout reflect.Type
}

// outliner walks the expressions of a document, notes the line of each key, and
// the keys that the layout does not know.
type outliner struct {
	starts  []int          // offset of the start of each line
	counts  map[string]int // entries of each array of tables
	lines   lineMap
	unknown []Problem
}

// outline returns the lines of the keys of doc and a problem for each key that
// the layout does not know. It stops at the first error of syntax, which
// decoding reports.
func outline(doc []byte, layout reflect.Type) (lineMap, []Problem) {
	o := outliner{starts: []int{0}, counts: map[string]int{}, lines: lineMap{}}
	for i, b := range doc {
		if b == '\n' {
			o.starts = append(o.starts, i+1)
		}
	}
	var p unstable.Parser
	p.Reset(doc)
	root := place{layout: layout}
	at := root
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			at = o.keys(e.Key(), root)
		case unstable.ArrayTable:
			at = o.arrayEntry(o.keys(e.Key(), root))
		case unstable.KeyValue:
			o.keyValue(e, at)
		default:
		}
	}
	return o.lines, o.unknown
}

// arrayEntry returns the place of a new entry of an array of tables.
func (o *outliner) arrayEntry(p place) place {
	n := o.counts[p.path]
	o.counts[p.path] = n + 1
	entry := place{path: fmt.Sprintf("%s[%d]", p.path, n), layout: p.layout}
	o.lines[entry.path] = o.lines[p.path]
	return entry
}

func (o *outliner) keyValue(e *unstable.Node, p place) {
	o.value(e.Value(), o.keys(e.Key(), p))
}

// value follows the keys within an inline value.
func (o *outliner) value(v *unstable.Node, p place) {
	if p.layout == nil {
		return
	}
	it := v.Children()
	switch v.Kind {
	case unstable.InlineTable:
		for it.Next() {
			o.keyValue(it.Node(), p)
		}
	case unstable.Array:
		for i := 0; it.Next(); i++ {
			if it.Node().Kind == unstable.InlineTable {
				o.value(it.Node(), place{fmt.Sprintf("%s[%d]", p.path, i), p.layout})
			}
		}
	default:
	}
}

// keys follows the steps of a dotted key from a table. A step into an array of
// tables means the array's last entry.
func (o *outliner) keys(it unstable.Iterator, p place) place {
	from := p.path
	for p.layout != nil && it.Next() {
		if n := o.counts[p.path]; n > 0 && p.path != from {
			p.path = fmt.Sprintf("%s[%d]", p.path, n-1)
		}
		p = o.key(it.Node(), p, it.IsLast())
	}
	return p
}

// key follows one step of a key, and notes its line.
func (o *outliner) key(n *unstable.Node, p place, last bool) place {
	k := string(n.Data)
	line := sort.SearchInts(o.starts, int(n.Raw.Offset)+1)
	next := place{path: join(p.path, k), layout: step(p.layout, k)}
	if next.layout == nil {
		o.unknownKey(line, next.path, p.layout)
	}
	if _, ok := o.lines[next.path]; !ok || last {
		o.lines[next.path] = line
	}
	return next
}

// unknownKey notes a key that a table of a layout may not hold. Below a value
// that is no table every key is unknown, and the value itself is noted elsewhere.
func (o *outliner) unknownKey(line int, path string, table reflect.Type) {
	if known := knownKeys(table); known != nil {
		o.unknown = append(o.unknown, Problem{
			Line: line, Key: path, Allowed: "one of the keys " + strings.Join(known, ", "),
		})
	}
}

// join adds key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
