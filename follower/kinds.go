package follower

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Kinds maps the kind named in an envelope to a value of the record type, for the
// records of one stream. R is the interface that all the types implement.
type Kinds[R any] map[string]R

// Kind returns the kind of r, or "" if its type does not belong to the stream.
func (k Kinds[R]) Kind(r R) string {
	t := reflect.TypeOf(r)
	for kind, v := range k {
		if reflect.TypeOf(v) == t {
			return kind
		}
	}
	return ""
}

// Encode returns the kind of r and the body of its envelope.
func (k Kinds[R]) Encode(r R) (string, json.RawMessage, error) {
	kind := k.Kind(r)
	if kind == "" {
		return "", nil, fmt.Errorf("encode record: unknown type %T", r)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return "", nil, fmt.Errorf("encode %s record: %w", kind, err)
	}
	return kind, b, nil
}

// Decode decodes the body of an envelope of the given kind. A kind unknown to this
// version is an error, so that the record is set aside rather than ignored.
func (k Kinds[R]) Decode(kind string, body json.RawMessage) (R, error) {
	var zero R
	v, ok := k[kind]
	if !ok {
		return zero, fmt.Errorf("decode record: unknown kind %q", kind)
	}
	p := reflect.New(reflect.TypeOf(v))
	if err := json.Unmarshal(body, p.Interface()); err != nil {
		return zero, fmt.Errorf("decode %s record: %w", kind, err)
	}
	r, ok := p.Elem().Interface().(R)
	if !ok {
		return zero, fmt.Errorf("decode %s record: unexpected type %T", kind, v)
	}
	return r, nil
}
