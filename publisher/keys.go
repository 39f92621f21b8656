package publisher

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// KeyState is the effect of a change on a key.
type KeyState string

// The effects of a change on a key.
const (
	KeyAdded   KeyState = "added"
	KeyRemoved KeyState = "removed"
	KeyChanged KeyState = "changed"
)

// KeyChange is the effect of a change on one key of one file. The key is empty when
// only comments or the layout of the file differ.
type KeyChange struct {
	File   string   `json:"file"`
	Key    string   `json:"key"` // full path, such as service.labels.route[1].path
	State  KeyState `json:"state"`
	Before string   `json:"before"` // formatted as JSON, empty when added
	After  string   `json:"after"`  // empty when removed
}

// String formats the change on one line.
func (k KeyChange) String() string {
	switch {
	case k.Key == "":
		return fmt.Sprintf("%s: %s: comments or layout only", k.File, k.State)
	case k.State == KeyAdded:
		return fmt.Sprintf("%s: added %s = %s", k.File, k.Key, k.After)
	case k.State == KeyRemoved:
		return fmt.Sprintf("%s: removed %s = %s", k.File, k.Key, k.Before)
	default:
		return fmt.Sprintf("%s: changed %s from %s to %s", k.File, k.Key, k.Before, k.After)
	}
}

// keyChanges returns the changes of each key, by file in the given order and sorted
// by key. It fails when the content of a file is not TOML.
func keyChanges(s State, files []FileChange) ([]KeyChange, error) {
	var changes []KeyChange
	for _, f := range files {
		current, _ := s.File(f.Name)
		before, err := decoder.Values(current.Content)
		if err != nil {
			return nil, fmt.Errorf("compare keys of %s in force: %w", f.Name, err)
		}
		after, err := decoder.Values(f.Content)
		if err != nil {
			return nil, fmt.Errorf("compare keys of %s: %w", f.Name, err)
		}
		cs := compareValues(f.Name, before, after)
		if len(cs) == 0 {
			cs = []KeyChange{{File: f.Name, State: KeyChanged}}
		}
		changes = append(changes, cs...)
	}
	return changes, nil
}

func compareValues(file string, before, after map[string]string) []KeyChange {
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	var cs []KeyChange
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		b, inBefore := before[k]
		a, inAfter := after[k]
		state := KeyChanged
		switch {
		case !inBefore:
			state = KeyAdded
		case !inAfter:
			state = KeyRemoved
		case a == b:
			continue
		}
		cs = append(cs, KeyChange{File: file, Key: k, State: state, Before: b, After: a})
	}
	return cs
}
