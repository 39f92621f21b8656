package leaser

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Retention is how long a table remembers leases that are over, so that commands
// which were sent before and arrive late find them over. It exceeds by far the
// deadline of any command.
const Retention = 20 * TTL

// FencedError says that a command came from a leader that is not obeyed.
type FencedError struct {
	Sent   Epoch
	Seen   Epoch  // highest epoch that the worker has seen
	Holder string // VM that holds Seen
}

// Error names both epochs and the holder of the one in force.
func (e *FencedError) Error() string {
	return fmt.Sprintf("epoch %v is fenced off by %v of %s", e.Sent, e.Seen, e.Holder)
}

// The reasons for which a table refuses a command.
var (
	ErrNoRoom         = errors.New("resources are not free")
	ErrOver           = errors.New("lease is over")
	ErrUnknownLease   = errors.New("no such lease")
	ErrOlderAttempt   = errors.New("a later attempt of the job was seen")
	ErrDifferent      = errors.New("lease differs from the one held under its id")
	ErrNotRunning     = errors.New("task does not run")
	ErrInvalid        = errors.New("lease is not valid")
	ErrNoCheckpoint   = errors.New("task cannot be checkpointed")
	ErrInvalidOutcome = errors.New("not a state in which a task ends by itself")
)

// Token is what a command shows: the epoch of a leader and the VM that holds it.
// The VM counts because two VMs may take the same provisional sub-term.
type Token struct {
	Epoch  Epoch
	Holder string
}

// Table is the worker's side of the leases: whose commands it obeys, which
// resources are held, and until when. It is immutable; its methods return the
// table that follows, also with an error. Each first lets leases lapse, so a
// worker that was paused past a lease cannot renew or start it.
//
// The times must come from a clock that goes on while the worker is suspended.
// After each change the worker runs the tasks that Running names, and no other.
type Table struct {
	Worker   string
	Rack     string
	Zone     string
	Capacity placer.Resources

	seen   Token
	leases []held    // sorted by id
	seenAt []attempt // sorted by job
}

// held is a lease that holds resources, or is over and remembered.
type held struct {
	Lease

	expires time.Time // of a lease that is not over
	started time.Time // zero until the task starts
	ended   time.Time // zero until the lease is over
	listed  bool      // in the inventory
}

// attempt is the latest attempt of a job that the worker has heard of.
type attempt struct {
	job    string
	latest int
	at     time.Time // when it was last heard of
}

// Seen returns the highest epoch that was shown, and its holder.
func (t Table) Seen() Token { return t.seen }

// Free returns the resources that no lease holds.
func (t Table) Free() placer.Resources {
	f := t.Capacity
	for _, h := range t.leases {
		if !h.State.Ended() {
			f = f.Minus(h.Resources)
		}
	}
	return f
}

// Running returns the leases whose tasks may run, sorted by id.
func (t Table) Running() []Lease {
	var l []Lease
	for _, h := range t.leases {
		if h.State == StateRunning {
			l = append(l, h.Lease)
		}
	}
	return l
}

// Over returns the leases that are over and remembered, sorted by id, with their
// states and reasons.
func (t Table) Over() []Lease {
	var l []Lease
	for _, h := range t.leases {
		if h.State.Ended() {
			l = append(l, h.Lease)
		}
	}
	return l
}

// Lapse ends the leases whose time has run out, and returns their ids.
func (t Table) Lapse(now time.Time) (Table, []ID) {
	t.leases = slices.Clone(t.leases)
	var lapsed []ID
	for i, h := range t.leases {
		if h.State.Ended() || now.Before(h.expires) {
			continue
		}
		t.leases[i] = h.over(now, StateLapsed, "not renewed in time")
		lapsed = append(lapsed, h.ID)
	}
	t.forget(now)
	return t, lapsed
}

// Inventory returns what the worker says of itself.
func (t Table) Inventory(now time.Time) Inventory {
	t, _ = t.Lapse(now)
	i := Inventory{
		Worker:   t.Worker,
		Rack:     t.Rack,
		Zone:     t.Zone,
		Epoch:    t.seen.Epoch,
		Capacity: t.Capacity,
	}
	for _, h := range t.leases {
		if h.listed {
			i.Leases = append(i.Leases, h.at(now))
		}
	}
	return i
}

// at returns the lease with its times as they are now.
func (h held) at(now time.Time) Lease {
	l := h.Lease
	until := now
	if l.State.Ended() {
		until = h.ended
	} else {
		l.ExpiresMS = h.expires.Sub(now).Milliseconds()
	}
	if !h.started.IsZero() {
		l.RunMS = until.Sub(h.started).Milliseconds()
	}
	return l
}

// over returns the lease in a state that holds no resources.
func (h held) over(now time.Time, s State, reason string) held {
	h.State = s
	h.Reason = reason
	h.ended = now
	h.ExpiresMS = 0
	return h
}

// forget drops what is over, no longer listed and older than Retention. It
// changes t in place; the slices must be its own.
func (t *Table) forget(now time.Time) {
	old := now.Add(-Retention)
	t.leases = slices.DeleteFunc(t.leases, func(h held) bool {
		return !h.listed && h.State.Ended() && h.ended.Before(old)
	})
	if i := slices.IndexFunc(t.seenAt, func(a attempt) bool { return a.at.Before(old) }); i >= 0 {
		t.seenAt = slices.DeleteFunc(slices.Clone(t.seenAt), func(a attempt) bool {
			return a.at.Before(old) && !t.holds(a.job)
		})
	}
}

// holds reports whether any lease of the job is remembered.
func (t *Table) holds(job string) bool {
	return slices.ContainsFunc(t.leases, func(h held) bool { return h.ID.Job == job })
}

// find returns the place of a lease, and whether it is there.
func (t Table) find(id ID) (int, bool) {
	return slices.BinarySearchFunc(t.leases, id, func(h held, id ID) int { return Compare(h.ID, id) })
}

// Compare orders ids by job, attempt and task.
func Compare(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Task, b.Task))
}

// withAttempt notes that an attempt was heard of; it changes t in place. It
// reports false when a later one was heard of before.
func (t *Table) withAttempt(now time.Time, id ID) bool {
	i, ok := slices.BinarySearchFunc(t.seenAt, id.Job, func(a attempt, job string) int { return cmp.Compare(a.job, job) })
	if !ok {
		t.seenAt = slices.Insert(slices.Clone(t.seenAt), i, attempt{job: id.Job, latest: id.Attempt, at: now})
		return true
	}
	if id.Attempt < t.seenAt[i].latest {
		return false
	}
	t.seenAt = slices.Clone(t.seenAt)
	t.seenAt[i] = attempt{job: id.Job, latest: id.Attempt, at: now}
	return true
}
