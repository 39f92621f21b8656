package decoder

import (
	"encoding/json"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Values returns the value of each key of a file, by the key's whole path, as it
// would stand in a file. Entries of arrays of tables are numbered from 0, as in
// "service.labels.route[1].path"; a table without keys is "{}". The error says that
// the content is no TOML.
func Values(content string) (map[string]string, error) {
	var doc map[string]any
	if err := toml.Unmarshal([]byte(content), &doc); err != nil {
		return nil, fmt.Errorf("read values: %w", err)
	}
	m := map[string]string{}
	return m, flatten(m, "", doc)
}

func flatten(m map[string]string, path string, v any) error {
	below := children(path, v)
	for p, v := range below {
		if err := flatten(m, p, v); err != nil {
			return err
		}
	}
	if len(below) > 0 || path == "" {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("read value of %s: %w", path, err)
	}
	m[path] = string(b)
	return nil
}

// children returns the values in a table or an array of tables, by their paths.
func children(path string, v any) map[string]any {
	below := map[string]any{}
	switch t := v.(type) {
	case map[string]any:
		for k, v := range t {
			below[join(path, k)] = v
		}
	case []any:
		for i, v := range t {
			if _, ok := v.(map[string]any); ok {
				below[fmt.Sprintf("%s[%d]", path, i)] = v
			}
		}
	}
	return below
}
