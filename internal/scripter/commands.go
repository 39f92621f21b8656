package scripter

import (
	"fmt"
	"reflect"
	"strconv"
	"time"
)

// Commands maps the names of script commands to functions, which return nothing or an
// error. The words after the command are the arguments. Parameters are strings,
// integers or durations, or of a type derived from these; the last may be variadic.
type Commands map[string]any

// UsageError is the error for an invalid command line: the command is unknown, the
// number of arguments is wrong, or an argument does not match its parameter's type.
type UsageError struct{ Reason string }

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

func usageError(format string, a ...any) error { return &UsageError{fmt.Sprintf(format, a...)} }

// Do runs a command with its arguments. It returns a *UsageError if the command did not
// run.
func (c Commands) Do(words []string) error {
	if len(words) == 0 {
		return usageError("no command")
	}
	f, ok := c[words[0]]
	if !ok {
		return usageError("unknown command %q", words[0])
	}
	v, args := reflect.ValueOf(f), words[1:]
	t := v.Type()
	required := t.NumIn()
	if t.IsVariadic() {
		required--
	}
	if len(args) < required || len(args) > required && !t.IsVariadic() {
		return usageError("%d arguments, want %d", len(args), required)
	}
	in := make([]reflect.Value, len(args))
	for i, a := range args {
		p := t.In(min(i, t.NumIn()-1))
		if i >= required {
			p = p.Elem()
		}
		x, err := parseValue(p, a)
		if err != nil {
			return usageError("argument %d: %v", i+1, err)
		}
		in[i] = x
	}
	out := v.Call(in)
	if len(out) == 0 || out[0].IsNil() {
		return nil
	}
	return out[0].Interface().(error) //nolint:forcetypeassert,errcheck // the only result of a command is an error
}

// parseValue parses a word as a value of type t.
func parseValue(t reflect.Type, word string) (reflect.Value, error) {
	v := reflect.New(t).Elem()
	switch {
	case t == reflect.TypeFor[time.Duration]():
		d, err := time.ParseDuration(word)
		v.SetInt(int64(d))
		return v, err
	case v.Kind() == reflect.String:
		v.SetString(word)
		return v, nil
	case v.CanInt():
		n, err := strconv.ParseInt(word, 10, t.Bits())
		v.SetInt(n)
		return v, err
	case v.CanUint():
		n, err := strconv.ParseUint(word, 10, t.Bits())
		v.SetUint(n)
		return v, err
	}
	return v, fmt.Errorf("unsupported parameter type %s", t)
}
