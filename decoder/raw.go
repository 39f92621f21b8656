package decoder

import "reflect"

// The raw types are the schema of a file. Their leaves are untyped, so that a value
// of the wrong type is reported like any invalid value: together with all others and
// with its line.
type (
	rawFile struct {
		Organisation map[string]rawOrganisation `toml:"organisation"`
		Service      map[string]rawService      `toml:"service"`
		Capacity     []rawWorkerGroup           `toml:"capacity"`
	}

	rawOrganisation struct {
		Weight    any                `toml:"weight"`
		KeyHashes any                `toml:"key-hashes"`
		Operator  any                `toml:"operator"`
		Guarantee []rawGuarantee     `toml:"guarantee"`
		Team      map[string]rawTeam `toml:"team"`
	}

	rawResources struct {
		MilliCores   any `toml:"milli-cores"`
		MemoryMB     any `toml:"memory-mb"`
		Accelerators any `toml:"accelerators"`
	}

	rawGuarantee struct {
		rawResources

		Name         any `toml:"name"`
		Blocks       any `toml:"blocks"`
		Adjacency    any `toml:"adjacency"`
		Hours        any `toml:"hours"`
		TimeZone     any `toml:"time-zone"`
		ReclaimBound any `toml:"reclaim-bound"`
		Grace        any `toml:"grace"`
	}

	rawTeam struct {
		rawResources
	}

	rawWorkerGroup struct {
		rawResources

		Racks          any `toml:"racks"`
		WorkersPerRack any `toml:"workers-per-rack"`
	}

	rawService struct {
		Organisation any        `toml:"organisation"`
		Share        any        `toml:"share"`
		RetryPercent any        `toml:"retry-percent"`
		QueueLimit   any        `toml:"queue-limit"`
		Route        []rawRoute `toml:"route"`
		Job          rawJob     `toml:"job"`
	}

	rawRoute struct {
		Path          any `toml:"path"`
		Class         any `toml:"class"`
		NonIdempotent any `toml:"non-idempotent"`
		Deadline      any `toml:"deadline"`
		DeclaredRun   any `toml:"declared-run"`
		MaxBody       any `toml:"max-body"`
	}

	rawJob struct {
		rawResources

		Tasks          any `toml:"tasks"`
		Adjacency      any `toml:"adjacency"`
		Checkpointable any `toml:"checkpointable"`
		NonIdempotent  any `toml:"non-idempotent"`
		DeclaredRun    any `toml:"declared-run"`
	}
)

// knownKeys returns the keys that a table of a schema may hold, in the order of
// the raw types. It returns nil when any key is allowed or the schema is not a table.
func knownKeys(schema reflect.Type) []string {
	t := tableSchema(schema)
	if t.Kind() != reflect.Struct {
		return nil
	}
	return fieldKeys(t)
}

// keySchema returns the schema of a key within a table, nil when the key is unknown.
func keySchema(schema reflect.Type, key string) reflect.Type {
	t := tableSchema(schema)
	if t.Kind() == reflect.Map {
		return t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	for f := range t.Fields() {
		if f.Anonymous {
			if g := keySchema(f.Type, key); g != nil {
				return g
			}
		}
		if f.Tag.Get("toml") == key {
			return f.Type
		}
	}
	return nil
}

// tableSchema returns the schema of the entries of an array of tables, and any
// other schema unchanged.
func tableSchema(schema reflect.Type) reflect.Type {
	if schema.Kind() == reflect.Slice {
		return schema.Elem()
	}
	return schema
}

func fieldKeys(t reflect.Type) []string {
	var keys []string
	for f := range t.Fields() {
		if f.Anonymous {
			keys = append(keys, fieldKeys(f.Type)...)
			continue
		}
		keys = append(keys, f.Tag.Get("toml"))
	}
	return keys
}
