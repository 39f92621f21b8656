package partitioner

import (
	"slices"
	"time"
)

const (
	// switchDelay is the silence of a partition after which a record goes to another one as
	// well. The store takes 240 ms when it is slow, and callers wait for 3 s at most.
	switchDelay = 300 * time.Millisecond

	maxTriesPerRound = 4                      // partitions per round: one more than the quarter of 12 that the store may lose
	roundDelay       = 100 * time.Millisecond // mean delay before another round, which takes between half and one and a half of it
)

// Result is what is known of a record. A later value never turns into an earlier one: a record
// that may be stored in one partition is not refused because another one certainly has not
// stored it.
type Result int

// The results.
const (
	NotStored Result = iota // certainly not stored
	Unknown                 // may be stored, or may still be
	Stored
)

// Merge returns what is known of a record after two appends of it.
func (r Result) Merge(o Result) Result { return max(r, o) }

// Step is what to do next for a record: append it to Part if Send is set, report Result if Done
// is set, else wait for a result, or until Until if that is not zero.
type Step struct {
	Send   bool
	Part   int
	Done   bool
	Result Result
	Until  time.Time
}

// Attempt is the storing of one record. It may be appended to several partitions, as readers
// take records of one key for one.
type Attempt struct {
	Deadline time.Time // after which nothing is sent; zero for none

	result   Result
	inFlight []flight
	round    []int // partitions left to try in this round
	tries    int   // in this round
	rounds   int
	resumeAt time.Time // of the next round, zero while one goes on
	waiting  bool      // counted in Partitioner.waiting
	known    int       // value of Partitioner.recoveries when the last round began
}

// flight is an append that is not answered yet.
type flight struct {
	part     int
	sentAt   time.Time
	patience time.Duration // after which the record goes elsewhere as well
	silent   bool          // that time has passed
}

// Next returns the next step. random is a number in [0, 1).
func (a *Attempt) Next(now time.Time, p *Partitioner, random float64) Step {
	if a.result == Stored {
		return a.finish(p)
	}
	if until := a.awaited(now, p); !until.IsZero() {
		return Step{Until: until}
	}
	late := !a.Deadline.IsZero() && now.After(a.Deadline)
	if a.rounds == 0 {
		a.begin(now, p)
		return a.send(now, p) // even if it is late: a record that was not sent is never stored
	}
	if !late && a.maySend(now, p) {
		return a.send(now, p)
	}
	if len(a.inFlight) > 0 {
		return Step{}
	}
	if late {
		return a.finish(p)
	}
	return a.repeat(now, p, random)
}

// Record records the result of an append to a partition.
func (a *Attempt) Record(part int, r Result) {
	a.inFlight = slices.DeleteFunc(a.inFlight, func(f flight) bool { return f.part == part })
	a.result = a.result.Merge(r)
}

// Abandon ends the attempt and returns what is known of the record: an append without an answer
// may have been carried out.
func (a *Attempt) Abandon(p *Partitioner) Result {
	if len(a.inFlight) > 0 {
		a.result = a.result.Merge(Unknown)
	}
	return a.finish(p).Result
}

// awaited returns until when an answer is waited for before the record goes elsewhere, zero if
// all unanswered partitions have been silent for long enough.
func (a *Attempt) awaited(now time.Time, p *Partitioner) time.Time {
	var until time.Time
	for i := range a.inFlight {
		f := &a.inFlight[i]
		if f.silent {
			continue
		}
		if end := f.sentAt.Add(f.patience); now.Before(end) {
			until = end
			continue
		}
		f.silent = true
		p.RecordFailure(now, f.part)
	}
	return until
}

func (a *Attempt) begin(now time.Time, p *Partitioner) {
	a.rounds++
	a.tries = 0
	a.known = p.recoveries
	a.round = slices.DeleteFunc(p.candidates(now), func(part int) bool {
		return slices.ContainsFunc(a.inFlight, func(f flight) bool { return f.part == part })
	})
}

// maySend reports whether the record is to be sent to another partition in this round.
func (a *Attempt) maySend(now time.Time, p *Partitioner) bool {
	a.round = slices.DeleteFunc(a.round, func(part int) bool { return part >= p.Parts() })
	if len(a.round) == 0 || a.tries >= maxTriesPerRound {
		return false
	}
	if a.rounds > 1 && !p.spendRepeat(now) {
		a.round = nil
		return false
	}
	return true
}

func (a *Attempt) send(now time.Time, p *Partitioner) Step {
	part := a.round[0]
	a.round = a.round[1:]
	a.tries++
	f := flight{part: part, sentAt: now, patience: switchDelay}
	if p.Failing(part) && len(a.round) > 0 && !p.Failing(a.round[0]) {
		f.patience = 0 // a trial, for which the caller does not wait
	}
	a.inFlight = append(a.inFlight, f)
	return Step{Send: true, Part: part}
}

// repeat returns the step after a round in which no partition has stored the record: another
// round after a random delay, as long as the budget and the deadline allow one.
func (a *Attempt) repeat(now time.Time, p *Partitioner, random float64) Step {
	if a.resumeAt.IsZero() {
		if !a.wait(p) {
			return a.finish(p)
		}
		a.resumeAt = now.Add(jitter(random))
	}
	if now.Before(a.resumeAt) && a.known == p.recoveries {
		return a.waitUntil(a.resumeAt, p)
	}
	a.begin(now, p)
	if !a.maySend(now, p) {
		a.resumeAt = now.Add(jitter(random))
		return a.waitUntil(a.resumeAt, p)
	}
	a.resumeAt = time.Time{}
	return a.send(now, p)
}

// jitter returns the delay before another round, so that records do not return together.
func jitter(random float64) time.Duration {
	return roundDelay/2 + time.Duration(random*float64(roundDelay))
}

// waitUntil returns the step that waits, or the end if nothing may be sent any more then.
func (a *Attempt) waitUntil(t time.Time, p *Partitioner) Step {
	if !a.Deadline.IsZero() && t.After(a.Deadline) {
		return a.finish(p)
	}
	return Step{Until: t}
}

// wait counts the attempt as one that waits for another round, and reports whether there are
// not too many.
func (a *Attempt) wait(p *Partitioner) bool {
	if a.waiting {
		return true
	}
	if p.waiting >= maxWaiting {
		return false
	}
	p.waiting++
	a.waiting = true
	return true
}

func (a *Attempt) finish(p *Partitioner) Step {
	if a.waiting {
		p.waiting--
		a.waiting = false
	}
	return Step{Done: true, Result: a.result}
}
