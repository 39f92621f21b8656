package publisher

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// KeyState is what a change does to a key.
type KeyState string

// What a change does to a key.
const (
	KeyAdded   KeyState = "added"
	KeyRemoved KeyState = "removed"
	KeyChanged KeyState = "changed"
)

// KeyChange is what a change does to one key of one file. The key is empty when only
// comments or the layout of the file differ.
type KeyChange struct {
	File   string   `json:"file"`
	Key    string   `json:"key"` // whole path, as in service.labels.route[1].path
	State  KeyState `json:"state"`
	Before string   `json:"before"` // as it stands in a file, empty when added
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

// keyChanges returns what a change does to each key of its files, sorted by file and
// key. Files whose content is no TOML are an error.
func keyChanges(s State, files []FileChange) ([]KeyChange, error) {
	var all []KeyChange
	for _, f := range files {
		present, _ := s.File(f.Name)
		before, err := decoder.Values(present.Content)
		if err != nil {
			return nil, fmt.Errorf("compare %s in force: %w", f.Name, err)
		}
		after, err := decoder.Values(f.Content)
		if err != nil {
			return nil, fmt.Errorf("compare %s: %w", f.Name, err)
		}
		cs := compare(f.Name, before, after)
		if len(cs) == 0 {
			cs = []KeyChange{{File: f.Name, State: KeyChanged}}
		}
		all = append(all, cs...)
	}
	return all, nil
}

func compare(file string, before, after map[string]string) []KeyChange {
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	var cs []KeyChange
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		b, was := before[k]
		a, is := after[k]
		state := KeyChanged
		switch {
		case !was:
			state = KeyAdded
		case !is:
			state = KeyRemoved
		case a == b:
			continue
		}
		cs = append(cs, KeyChange{File: file, Key: k, State: state, Before: b, After: a})
	}
	return cs
}
