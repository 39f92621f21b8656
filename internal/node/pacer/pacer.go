// Package pacer decides how the leader spends a processor or a network link that is too
// small for the calls it wants to make: how long it waits for answers, and which calls
// wait for others. It answers loads at which many workers seem silent at once because
// their answers queue at the leader: repeated calls would keep the queue full. It reads no
// clock and performs no I/O.
package pacer

import "time"

const (
	minMargin     = 600 * time.Millisecond  // for an answer that is due at once; short, as a hold can be repeated
	maxMargin     = 2400 * time.Millisecond // a quarter of the shortest lease that platforms grant, so that two holds fit in
	marginStep    = 300 * time.Millisecond  // of an adjustment
	window        = 64                      // answers and time-outs after which the margin is adjusted
	crowdedShare  = 4                       // more than one call in crowdedShare without an answer: more than ever are cut off at once
	calmShare     = 10                      // fewer than one in calmShare: the margin shrinks again
	lateDecision  = 50 * time.Millisecond   // age of a waiting event from which looks are delayed
	lookDelayRate = 4                       // multiple of that age by which a look is delayed
	maxLookDelay  = time.Second             // of a look, a tenth of a lease
)

// Pacer adjusts to the share of calls that got no answer in time. The zero value is ready
// for use; it is not safe for concurrent use.
type Pacer struct {
	margin  time.Duration
	calls   int
	silent  int
	crowded bool
}

// Observe records whether a call was answered in time.
func (p *Pacer) Observe(answered bool) {
	p.calls++
	if !answered {
		p.silent++
	}
	if p.calls < window {
		return
	}
	switch {
	case p.silent*crowdedShare > p.calls:
		p.margin, p.crowded = min(maxMargin, p.Margin()+marginStep), true
	case p.silent*calmShare < p.calls:
		p.margin = max(minMargin, p.Margin()-marginStep)
		p.crowded = p.margin > minMargin
	}
	p.calls, p.silent = 0, 0
}

// Margin returns how long an answer may take that its worker sends at once.
func (p *Pacer) Margin() time.Duration { return max(minMargin, p.margin) }

// Crowded reports whether so many calls get no answer in time that the cause is probably
// on the leader's side. Looks should then be as few as possible.
func (p *Pacer) Crowded() bool { return p.crowded }

// LookDelay returns how long a look at a worker waits, given the age of the oldest event
// that waited for the last decision. Looks bring more events, so a leader that is short of
// processor time makes fewer of them; starts, stops and acknowledgements do not wait.
func LookDelay(lag time.Duration) time.Duration {
	if lag < lateDecision {
		return 0
	}
	return min(maxLookDelay, lookDelayRate*lag)
}
