package reducer

import "time"

// Reduce returns the state that follows s after e, and what is to be done. It is
// the only place where control decisions are made; it does no I/O and reads no
// clock, and the same arguments give the same results.
func Reduce(now time.Time, s State, e Event) (State, []Effect) {
	return s, nil
}

// Validate reports why a job would not be accepted, such as an unknown service
// or a gang that can never fit.
func Validate(now time.Time, s State, j Job) error { return nil }
