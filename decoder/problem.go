package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`    // from 1
	Key     string `json:"key"`     // full path, such as "service.labels.share"
	Value   string `json:"value"`   // as read, empty when the key is missing
	Allowed string `json:"allowed"` // description of the allowed values
}

// String returns file, line, key, value and the allowed values on one line.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	if p.Key != "" {
		fmt.Fprintf(&b, "key %q: ", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, "%s is not allowed; ", p.Value)
	}
	fmt.Fprintf(&b, "want %s", p.Allowed)
	return b.String()
}

// Problems is an error that holds all problems of a set of files, sorted by file,
// line and key.
type Problems []Problem //nolint:errname // a list of problems, which is also used as data

// Error returns one problem per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return strings.Join(lines, "\n")
}

// sorted returns p sorted, without duplicates.
func (p Problems) sorted() Problems {
	c := slices.Clone(p)
	slices.SortFunc(c, func(a, b Problem) int {
		return cmp.Or(
			strings.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			strings.Compare(a.Key, b.Key),
			strings.Compare(a.Value, b.Value),
			strings.Compare(a.Allowed, b.Allowed),
		)
	})
	return slices.Compact(c)
}
