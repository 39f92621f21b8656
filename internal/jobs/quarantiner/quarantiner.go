// Package quarantiner decides how a task is started again after workers have crashed while
// it ran: next to which other tasks, or not at all.
//
// The load that it answers: one task that crashes every worker that starts it, among the
// tasks of others that run on the same workers and workers that crash for other causes. All
// tasks of a crashed worker look alike at first, so a suspect is kept apart from other
// suspects, then from all fresh runs, until the crash of a worker tells about it alone. The
// package performs no I/O and reads no clock.
package quarantiner

import (
	"slices"
	"time"
)

// Window is the time after its start in which a task that crashes workers does so. A run
// that outlives it proves that its task can be started safely.
const Window = 2 * time.Second

// How long a suspect waits for a worker that suits its level before it starts like others.
const (
	apartPatience = 1200 * time.Millisecond // a service with much free capacity must not leave a task waiting for 3 s
	alonePatience = 5 * time.Second         // runs outlive Window on any worker meanwhile; a start beside fresh runs proves nothing
)

const (
	aloneAfter    = 2 // crashes after which a task is started alone
	provenCrashes = 3 // crashes that prove the fault of a task if it was alone in provenAlone of them
	provenAlone   = 2
	maxCrashes    = 4 // after which the task is given up unproven: the platform forbids a third start after three crashes, and one crash may be known to no leader
)

// Level says where a task may be started.
type Level int

// The levels, from the least to the most restrictive.
const (
	Anywhere Level = iota
	Apart          // on a worker without other suspects
	Alone          // on a worker without fresh runs of other jobs, to which none is added
	GivenUp        // nowhere: the task is at fault
)

// Patience returns for how long a task waits for a worker that suits the level.
func (l Level) Patience() time.Duration {
	if l == Alone {
		return alonePatience
	}
	return apartPatience
}

// String implements fmt.Stringer.
func (l Level) String() string {
	return [...]string{"anywhere", "apart", "alone", "given-up"}[l]
}

// Start is a run that may have been started and has not been seen to outlive Window.
type Start struct {
	Run       int64  `json:"run"`
	Worker    string `json:"worker"`
	Address   string `json:"address"`
	StartedMS int64  `json:"started-ms"`      // start of the worker's instance, Unix milliseconds
	Alone     bool   `json:"alone,omitempty"` // the worker had no fresh runs of other jobs
}

// Record is what is known of a task and the crashes under it. The zero value belongs to a
// task that is not suspected. It is stored with the job, as its leaders change.
type Record struct {
	Crashes []int64 `json:"crashes,omitempty"` // runs under which a worker crashed since the last run that outlived Window
	Alone   int     `json:"alone,omitempty"`   // how many of them were without fresh runs of other jobs
	Excused int64   `json:"excused,omitempty"` // run that was lost in an outage, 0 for none; it counts once another crash follows
	Open    *Start  `json:"open,omitempty"`    // last start whose outcome is unknown
}

// IsZero reports whether nothing is recorded.
func (r Record) IsZero() bool { return len(r.Crashes) == 0 && r.Excused == 0 && r.Open == nil }

// Suspected reports whether a worker has crashed under the task.
func (r Record) Suspected() bool { return len(r.Crashes) > 0 }

// WithOpen returns the record after a start whose outcome is unknown yet.
func (r Record) WithOpen(s Start) Record {
	r.Open = &s
	return r
}

// WithCrash returns the record after a worker has crashed under a run, which was alone if no
// other job had a fresh run there. Each run counts once, however often its crash is reported. The
// first crash that is part of an outage is excused; a later one counts, but proves nothing.
func (r Record) WithCrash(run int64, alone, outage bool) Record {
	r = r.WithoutOpen(run)
	if run == r.Excused || slices.Contains(r.Crashes, run) {
		return r
	}
	if outage && r.Excused == 0 && !r.Suspected() {
		r.Excused = run
		return r
	}
	r.Crashes = slices.Clone(r.Crashes)
	if r.Excused != 0 {
		r.Crashes = append(r.Crashes, r.Excused)
		r.Excused = 0
	}
	r.Crashes = append(r.Crashes, run)
	if alone && !outage {
		r.Alone++
	}
	return r
}

// WithoutOpen returns the record once a run is known to have crashed no worker, or to have
// never begun.
func (r Record) WithoutOpen(run int64) Record {
	if r.Open != nil && r.Open.Run == run {
		r.Open = nil
	}
	return r
}

// Level returns where the task may be started next.
func (r Record) Level() Level {
	n := len(r.Crashes)
	switch {
	case n >= maxCrashes, n >= provenCrashes && r.Alone >= provenAlone:
		return GivenUp
	case n >= aloneAfter:
		return Alone
	case n > 0:
		return Apart
	default:
		return Anywhere
	}
}
