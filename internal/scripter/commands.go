package scripter

import (
	"fmt"
	"reflect"
	"strconv"
	"time"
)

// Commands are the commands of a script, by their names. Each is a function that
// returns nothing or an error; the words after the command are its arguments. A
// parameter is a string, an integer or a duration, or of a type made of one of
// these; the last may be variadic.
type Commands map[string]any

// UsageError says that a line is no use of a command: the command is unknown, or a
// word is missing, too many or not of its parameter's type.
type UsageError struct{ Reason string }

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

func usage(format string, a ...any) error { return &UsageError{fmt.Sprintf(format, a...)} }

// Do runs a command with its arguments. A *UsageError says that it wasn't run.
func (c Commands) Do(words []string) error {
	if len(words) == 0 {
		return usage("no command")
	}
	f, ok := c[words[0]]
	if !ok {
		return usage("unknown command %q", words[0])
	}
	v, args := reflect.ValueOf(f), words[1:]
	t := v.Type()
	fixed := t.NumIn()
	if t.IsVariadic() {
		fixed--
	}
	if len(args) < fixed || len(args) > fixed && !t.IsVariadic() {
		return usage("%d arguments, want %d", len(args), fixed)
	}
	in := make([]reflect.Value, len(args))
	for i, a := range args {
		p := t.In(min(i, t.NumIn()-1))
		if i >= fixed {
			p = p.Elem()
		}
		x, err := value(p, a)
		if err != nil {
			return usage("argument %d: %v", i+1, err)
		}
		in[i] = x
	}
	out := v.Call(in)
	if len(out) == 0 || out[0].IsNil() {
		return nil
	}
	return out[0].Interface().(error) //nolint:forcetypeassert,errcheck // a command's one result is an error
}

// value reads a word as a value of a type.
func value(t reflect.Type, word string) (reflect.Value, error) {
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
	return v, fmt.Errorf("no word is a %s", t)
}
