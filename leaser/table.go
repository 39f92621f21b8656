package leaser

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Retention is how long a table keeps ended leases that are no longer listed,
// so that delayed commands for them are refused. It far exceeds the deadline of
// any command.
const Retention = 20 * TTL

// FencedError reports a command whose fencing token is stale, or conflicts with
// the token in force.
type FencedError struct {
	Sent         Epoch
	HighestEpoch Epoch  // highest epoch seen by the worker
	Holder       string // VM that holds HighestEpoch
}

// Error names both epochs and the holder of the epoch in force.
func (e *FencedError) Error() string {
	return fmt.Sprintf("stale epoch %v: fenced by epoch %v of %s", e.Sent, e.HighestEpoch, e.Holder)
}

// The errors with which a table refuses a command.
var (
	ErrInsufficientResources = errors.New("insufficient free resources")
	ErrEnded                 = errors.New("lease has ended")
	ErrUnknownLease          = errors.New("unknown lease")
	ErrOlderAttempt          = errors.New("attempt is older than the latest one seen")
	ErrConflictingLease      = errors.New("lease conflicts with the existing lease of that id")
	ErrNotRunning            = errors.New("task is not running")
	ErrInvalidLease          = errors.New("invalid lease")
	ErrNotCheckpointable     = errors.New("task is not checkpointable")
	ErrInvalidOutcome        = errors.New("outcome is neither succeeded nor failed")
)

// Token is the fencing token of a command: the epoch of a leader and the VM
// that holds it. The VM is part of it because two VMs may claim the same
// provisional sub-term.
type Token struct {
	Epoch  Epoch
	Holder string
}

// Table is the lease table of a worker: the leader it obeys, the resources
// allocated, and the expiry of each lease. It is immutable; its methods return
// the updated table, also with an error. Each method expires leases first, so
// that a worker that was paused beyond the expiry of a lease cannot renew or
// start it.
//
// Times must come from a clock that keeps running while the worker is
// suspended. After each change the worker runs exactly the tasks that Running
// returns.
type Table struct {
	Worker   string
	Rack     string
	Zone     string
	Capacity placer.Resources

	highest  Token           // token with the highest epoch seen
	leases   []entry         // sorted by id
	attempts []attemptRecord // sorted by job
}

// entry is a lease in the table, active or ended.
type entry struct {
	Lease

	expiresAt time.Time // set while the lease is active
	startedAt time.Time // zero until the task starts
	endedAt   time.Time // zero until the lease ends
	listed    bool      // whether the inventory contains the lease
}

// attemptRecord is the latest attempt of a job that the worker has seen.
type attemptRecord struct {
	job    string
	latest int
	seenAt time.Time // when it was last seen
}

// HighestToken returns the token with the highest epoch seen.
func (t Table) HighestToken() Token { return t.highest }

// Free returns the resources that are not leased.
func (t Table) Free() placer.Resources {
	f := t.Capacity
	for _, h := range t.leases {
		if !h.State.Ended() {
			f = f.Minus(h.Resources)
		}
	}
	return f
}

// Running returns the leases of the tasks that may run, sorted by id.
func (t Table) Running() []Lease {
	var l []Lease
	for _, h := range t.leases {
		if h.State == StateRunning {
			l = append(l, h.Lease)
		}
	}
	return l
}

// Ended returns the ended leases that are still in the table, sorted by id,
// with their states and reasons.
func (t Table) Ended() []Lease {
	var l []Lease
	for _, h := range t.leases {
		if h.State.Ended() {
			l = append(l, h.Lease)
		}
	}
	return l
}

// Expire ends the leases that have expired, and returns their ids.
func (t Table) Expire(now time.Time) (Table, []ID) {
	t.leases = slices.Clone(t.leases)
	var expired []ID
	for i, h := range t.leases {
		if h.State.Ended() || now.Before(h.expiresAt) {
			continue
		}
		t.leases[i] = h.end(now, StateExpired, "lease expired without renewal")
		expired = append(expired, h.ID)
	}
	t.prune(now)
	return t, expired
}

// Inventory returns the inventory that the worker reports.
func (t Table) Inventory(now time.Time) Inventory {
	t, _ = t.Expire(now)
	i := Inventory{
		Worker:   t.Worker,
		Rack:     t.Rack,
		Zone:     t.Zone,
		Epoch:    t.highest.Epoch,
		Capacity: t.Capacity,
	}
	for _, h := range t.leases {
		if h.listed {
			i.Leases = append(i.Leases, h.snapshot(now))
		}
	}
	return i
}

// snapshot returns the lease with its relative times computed at now.
func (h entry) snapshot(now time.Time) Lease {
	l := h.Lease
	until := now
	if l.State.Ended() {
		until = h.endedAt
	} else {
		l.ExpiresMS = h.expiresAt.Sub(now).Milliseconds()
	}
	if !h.startedAt.IsZero() {
		l.RunMS = until.Sub(h.startedAt).Milliseconds()
	}
	return l
}

// end returns the entry in an ended state, which holds no resources.
func (h entry) end(now time.Time, s State, reason string) entry {
	h.State = s
	h.Reason = reason
	h.endedAt = now
	h.ExpiresMS = 0
	return h
}

// prune drops ended leases that are no longer listed, and attempts of jobs
// without a lease, once they are older than Retention. It changes t in place; t
// must own its slice of leases.
func (t *Table) prune(now time.Time) {
	cutoff := now.Add(-Retention)
	t.leases = slices.DeleteFunc(t.leases, func(h entry) bool {
		return !h.listed && h.State.Ended() && h.endedAt.Before(cutoff)
	})
	if i := slices.IndexFunc(t.attempts, func(a attemptRecord) bool { return a.seenAt.Before(cutoff) }); i >= 0 {
		t.attempts = slices.DeleteFunc(slices.Clone(t.attempts), func(a attemptRecord) bool {
			return a.seenAt.Before(cutoff) && !t.hasLease(a.job)
		})
	}
}

// hasLease reports whether the table contains a lease of the job.
func (t *Table) hasLease(job string) bool {
	return slices.ContainsFunc(t.leases, func(h entry) bool { return h.ID.Job == job })
}

// find returns the index of a lease, or where it would be inserted, and whether
// it exists.
func (t Table) find(id ID) (int, bool) {
	return slices.BinarySearchFunc(t.leases, id, func(h entry, id ID) int { return Compare(h.ID, id) })
}

// Compare orders ids by job, attempt and task.
func Compare(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Task, b.Task))
}

// recordAttempt records the attempt of id as the latest one of its job; it
// changes t in place. It reports false if a later attempt has been seen.
func (t *Table) recordAttempt(now time.Time, id ID) bool {
	i, ok := slices.BinarySearchFunc(t.attempts, id.Job, func(a attemptRecord, job string) int { return cmp.Compare(a.job, job) })
	if !ok {
		t.attempts = slices.Insert(slices.Clone(t.attempts), i, attemptRecord{job: id.Job, latest: id.Attempt, seenAt: now})
		return true
	}
	if id.Attempt < t.attempts[i].latest {
		return false
	}
	t.attempts = slices.Clone(t.attempts)
	t.attempts[i] = attemptRecord{job: id.Job, latest: id.Attempt, seenAt: now}
	return true
}
