package follower

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Kinds are the records of one stream: a value of each type, by the kind with which
// an envelope names it. R is the interface that the types have in common.
type Kinds[R any] map[string]R

// Kind returns the kind of r, "" for a type that is not of the stream.
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
		return "", nil, fmt.Errorf("encode record: type %T is not known", r)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return "", nil, fmt.Errorf("encode %s record: %w", kind, err)
	}
	return kind, b, nil
}

// Decode returns the record of a kind from the body of its envelope. A kind that
// this version does not know is an error, so that the record is set aside rather
// than skipped.
func (k Kinds[R]) Decode(kind string, body json.RawMessage) (R, error) {
	var none R
	v, ok := k[kind]
	if !ok {
		return none, fmt.Errorf("decode record: kind %q is not known", kind)
	}
	p := reflect.New(reflect.TypeOf(v))
	if err := json.Unmarshal(body, p.Interface()); err != nil {
		return none, fmt.Errorf("decode %s record: %w", kind, err)
	}
	r, ok := p.Elem().Interface().(R)
	if !ok {
		return none, fmt.Errorf("decode %s record: type %T", kind, v)
	}
	return r, nil
}
