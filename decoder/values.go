package decoder

import (
	"encoding/json"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Values returns the value of each key of a file, formatted as JSON, by the key's
// full path. Entries of arrays of tables are numbered from 0, as in
// "service.labels.route[1].path"; an empty table is "{}". It fails when the content is
// not TOML.
func Values(content string) (map[string]string, error) {
	var doc map[string]any
	if err := toml.Unmarshal([]byte(content), &doc); err != nil {
		return nil, fmt.Errorf("read values: %w", err)
	}
	m := map[string]string{}
	return m, flatten(m, "", doc)
}

func flatten(m map[string]string, path string, v any) error {
	nested := children(path, v)
	for p, v := range nested {
		if err := flatten(m, p, v); err != nil {
			return err
		}
	}
	if len(nested) > 0 || path == "" {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("read value of %s: %w", path, err)
	}
	m[path] = string(b)
	return nil
}

// children returns the values in a table or an array of tables by their paths.
func children(path string, v any) map[string]any {
	nested := map[string]any{}
	switch t := v.(type) {
	case map[string]any:
		for k, v := range t {
			nested[join(path, k)] = v
		}
	case []any:
		for i, v := range t {
			if _, ok := v.(map[string]any); ok {
				nested[fmt.Sprintf("%s[%d]", path, i)] = v
			}
		}
	}
	return nested
}
