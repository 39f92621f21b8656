// Package budgeter decides how much memory and how many connections the clients of a
// listener may take, and which connections are closed when these are short.
package budgeter

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	PhaseIdle    Phase = iota // between two requests
	PhaseReceive              // a request's head or body is being read
	PhaseHandle               // a request was read completely; it may take effect, so the connection is not closed to make room
	PhaseRespond              // a response is being written
)

// Reason says why a connection is closed.
type Reason string

// The reasons for which connections are closed to make room for others.
const (
	ReasonIdle    Reason = "idle"    // a connection without a request
	ReasonStalled Reason = "stalled" // no byte was transferred for stallTime
	ReasonSlow    Reason = "slow"    // the request arrives or the response is read at less than minRate
)

const (
	stallTime = 250 * time.Millisecond // many times the round trip between zones, and well under the 3 s for which callers wait
	slowGrace = time.Second            // a request of the usual size arrives within this time at any rate
	minRate   = 32 << 10               // bytes per second; a body of 262 KB takes 8 s, longer than its caller waits

	// requestPercent is what heads and bodies may take of the memory. The rest is left to
	// connections, so that a VM that is short of room for bodies still accepts callers.
	requestPercent = 67

	// scanInterval bounds the cost of searching for connections to close: a search visits
	// each connection, and under attack each byte received would cause one.
	scanInterval = 10 * time.Millisecond
)

// Closing is a connection to be closed.
type Closing struct {
	ID     uint64
	Reason Reason
}

type connection struct {
	phase        Phase
	held         int64 // bytes charged
	transferred  int64 // bytes since the phase began
	phaseSince   time.Time
	lastProgress time.Time
}

// Budgeter divides one share among the connections of a listener. It is not safe for
// concurrent use.
type Budgeter struct {
	share       Share
	held        int64
	connections map[uint64]*connection
	scanAfter   time.Time // no search for connections to close before
}

// New returns a budgeter without connections.
func New(s Share) *Budgeter {
	return &Budgeter{share: s, connections: map[uint64]*connection{}}
}

// Held returns the charged bytes.
func (b *Budgeter) Held() int64 { return b.held }

// Connections returns the number of connections.
func (b *Budgeter) Connections() int { return len(b.connections) }

// Open admits a new connection. The returned connections have to be closed.
func (b *Budgeter) Open(now time.Time, id uint64) ([]Closing, bool) {
	n := b.share.connectionBytes()
	closing, ok := b.makeRoom(now, id, shortage{bytes: b.held + n - b.share.Bytes, connections: len(b.connections) + 1 - b.share.Connections})
	if ok {
		b.connections[id] = &connection{held: n, phaseSince: now, lastProgress: now}
		b.held += n
	}
	return closing, ok
}

// Charge charges n bytes to a connection. Without room it charges nothing and returns
// false. It also does so for a connection that has been closed. The returned connections
// have to be closed.
func (b *Budgeter) Charge(now time.Time, id uint64, n int64) ([]Closing, bool) {
	if b.connections[id] == nil {
		return nil, false
	}
	requests := b.share.Bytes * requestPercent / 100
	if n > requests {
		return nil, false
	}
	closing, ok := b.makeRoom(now, id, shortage{bytes: b.held + n - b.share.Bytes, requests: b.requests() + n - requests})
	if ok {
		b.connections[id].held += n
		b.held += n
	}
	return closing, ok
}

// Refund takes back a charge of n bytes.
func (b *Budgeter) Refund(id uint64, n int64) {
	if c := b.connections[id]; c != nil {
		n = min(n, c.held-b.share.connectionBytes())
		c.held -= n
		b.held -= n
	}
}

// Progress records that bytes were transferred.
func (b *Budgeter) Progress(now time.Time, id uint64, n int) {
	if c := b.connections[id]; c != nil {
		c.transferred += int64(n)
		c.lastProgress = now
	}
}

// Enter records that a connection enters a phase. An idle connection keeps only the charge
// for the connection itself.
func (b *Budgeter) Enter(now time.Time, id uint64, p Phase) {
	c := b.connections[id]
	if c == nil {
		return
	}
	if c.phase != p {
		c.phase, c.transferred, c.phaseSince, c.lastProgress = p, 0, now, now
	}
	if p == PhaseIdle {
		b.Refund(id, c.held)
	}
}

// Phase returns the phase of a connection.
func (b *Budgeter) Phase(id uint64) Phase {
	if c := b.connections[id]; c != nil {
		return c.phase
	}
	return PhaseIdle
}

// Close removes a connection.
func (b *Budgeter) Close(id uint64) {
	if c := b.connections[id]; c != nil {
		b.held -= c.held
		delete(b.connections, id)
	}
}

// requests returns the bytes charged for requests, without those for connections.
func (b *Budgeter) requests() int64 {
	return b.held - int64(len(b.connections))*b.share.connectionBytes()
}

// shortage is by how much something does not fit.
type shortage struct {
	bytes       int64
	requests    int64 // bytes for requests
	connections int
}

func (s shortage) none() bool { return s.bytes <= 0 && s.requests <= 0 && s.connections <= 0 }

// helps reports whether the shortage falls if a connection with the given bytes for its
// request is closed.
func (s shortage) helps(requests int64) bool {
	return s.bytes > 0 || s.connections > 0 || requests > 0
}

// makeRoom removes connections until there is no shortage. It removes none if that would
// not suffice.
func (b *Budgeter) makeRoom(now time.Time, id uint64, s shortage) ([]Closing, bool) {
	if s.none() {
		return nil, true
	}
	if now.Before(b.scanAfter) {
		return nil, false
	}
	var closing []Closing
	for _, v := range b.candidates(now, id) {
		held := b.connections[v.ID].held
		requests := held - b.share.connectionBytes()
		if s.none() {
			break
		}
		if !s.helps(requests) {
			continue
		}
		closing = append(closing, v)
		s.bytes -= held
		s.requests -= requests
		s.connections--
	}
	if !s.none() {
		b.scanAfter = now.Add(scanInterval)
		return nil, false
	}
	for _, v := range closing {
		b.Close(v.ID)
	}
	return closing, true
}

// candidates returns the connections that may be closed, in the order in which they are:
// idle ones first, then those with the longest time without progress.
func (b *Budgeter) candidates(now time.Time, except uint64) []Closing {
	var v []Closing
	for id, c := range b.connections {
		if r := c.reason(now); r != "" && id != except {
			v = append(v, Closing{id, r})
		}
	}
	slices.SortFunc(v, func(x, y Closing) int {
		return cmp.Or(
			cmp.Compare(order[x.Reason], order[y.Reason]),
			b.connections[x.ID].lastProgress.Compare(b.connections[y.ID].lastProgress),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return v
}

var order = map[Reason]int{ReasonIdle: 0, ReasonStalled: 1, ReasonSlow: 2}

// reason returns why the connection may be closed, "" if it may not.
func (c *connection) reason(now time.Time) Reason {
	inPhase := now.Sub(c.phaseSince)
	switch {
	case c.phase == PhaseHandle:
		return ""
	case c.phase == PhaseIdle && inPhase >= stallTime: // the first request of a new connection arrives later than the connection
		return ReasonIdle
	case c.phase == PhaseIdle:
		return ""
	case now.Sub(c.lastProgress) >= stallTime:
		return ReasonStalled
	case inPhase >= slowGrace && float64(c.transferred) < minRate*inPhase.Seconds():
		return ReasonSlow
	default:
		return ""
	}
}
