package leaser

import (
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Fence raises the epoch that the worker obeys. It fails with a FencedError if
// a higher epoch was seen, or the same epoch from another VM.
func (t Table) Fence(now time.Time, k Token) (Table, error) {
	t, _ = t.Expire(now)
	return t.acceptToken(k)
}

// acceptToken makes k the token in force, or returns a FencedError.
func (t Table) acceptToken(k Token) (Table, error) {
	stale := k.Epoch.Less(t.highest.Epoch)
	conflicting := k.Epoch == t.highest.Epoch && k.Holder != t.highest.Holder && t.highest != Token{}
	if stale || conflicting {
		return t, &FencedError{Sent: k.Epoch, HighestEpoch: t.highest.Epoch, Holder: t.highest.Holder}
	}
	t.highest = k
	return t, nil
}

// Prepare allocates the resources of a lease to its task, without starting it.
// It uses free resources only. Preparing an existing lease again does not
// extend it.
func (t Table) Prepare(now time.Time, k Token, l Lease) (Table, error) {
	t, err := t.Fence(now, k)
	if err != nil {
		return t, err
	}
	i, ok := t.find(l.ID)
	if ok {
		err := t.leases[i].checkRepeat(l)
		if err == nil && t.leases[i].State == StatePrepared {
			t.leases[i].Epoch = k.Epoch
		}
		return t, err
	}
	if !l.valid() {
		return t, fmt.Errorf("prepare lease %v: %w", l.ID, ErrInvalidLease)
	}
	if !t.recordAttempt(now, l.ID) {
		return t, fmt.Errorf("prepare lease %v: %w", l.ID, ErrOlderAttempt)
	}
	if f := t.Free(); !l.Resources.Fits(f) {
		return t, fmt.Errorf("prepare lease %v: need %+v, free %+v: %w", l.ID, l.Resources, f, ErrInsufficientResources)
	}
	l.Epoch = k.Epoch
	l.State = StatePrepared
	l.ExpiresMS, l.RunMS, l.Reason = 0, 0, ""
	t.leases = slices.Insert(t.leases, i, entry{Lease: l, expiresAt: now.Add(TTL), listed: true})
	return t, nil
}

// valid reports whether the fields of a lease are consistent.
func (l Lease) valid() bool {
	zero := placer.Resources{}
	return l.ID.Job != "" && l.ID.Attempt > 0 && l.ID.Task >= 0 && l.ID.Task < l.GangSize && zero.Fits(l.Resources)
}

// checkRepeat checks a repeated prepare command against the existing lease.
func (h entry) checkRepeat(l Lease) error {
	switch {
	case h.State.Ended():
		return fmt.Errorf("prepare lease %v: %w: %s", l.ID, ErrEnded, h.State)
	case h.Resources != l.Resources || h.GangSize != l.GangSize || h.Payload != l.Payload:
		return fmt.Errorf("prepare lease %v: %w", l.ID, ErrConflictingLease)
	default:
		return nil
	}
}

// Start starts the task of a lease that was prepared in the same epoch. After a
// restart of the worker another leader may have prepared again a lease whose
// task had already run. Starting a running task again does not extend its
// lease.
func (t Table) Start(now time.Time, k Token, id ID) (Table, error) {
	t, i, err := t.authorise(now, k, id)
	if err != nil {
		return t, fmt.Errorf("start lease %v: %w", id, err)
	}
	switch h := &t.leases[i]; h.State {
	case StatePrepared:
		if h.Epoch != k.Epoch {
			return t, fmt.Errorf("start lease %v: prepared in epoch %v: %w", id, h.Epoch, ErrConflictingLease)
		}
		h.State = StateRunning
		h.startedAt = now
		h.expiresAt = now.Add(TTL)
		return t, nil
	case StateRunning:
		return t, nil
	default:
		return t, fmt.Errorf("start lease %v: %w: %s", id, ErrEnded, h.State)
	}
}

// Checkpoint ends a checkpointed task. The worker calls it once the checkpoint
// is stored.
func (t Table) Checkpoint(now time.Time, k Token, id ID) (Table, error) {
	t, i, err := t.authorise(now, k, id)
	if err != nil {
		return t, fmt.Errorf("checkpoint lease %v: %w", id, err)
	}
	h := t.leases[i]
	switch {
	case h.State == StateCheckpointed:
		return t, nil
	case h.State != StateRunning:
		return t, fmt.Errorf("checkpoint lease %v: %w: %s", id, ErrNotRunning, h.State)
	case !h.Checkpointable:
		return t, fmt.Errorf("checkpoint lease %v: %w", id, ErrNotCheckpointable)
	}
	t.leases[i] = h.end(now, StateCheckpointed, "checkpointed by command")
	return t, nil
}

// Throttle checks that the worker may limit a task to the resources of its
// lease.
func (t Table) Throttle(now time.Time, k Token, id ID) (Table, error) {
	t, i, err := t.authorise(now, k, id)
	if err != nil {
		return t, fmt.Errorf("throttle lease %v: %w", id, err)
	}
	if t.leases[i].State != StateRunning {
		return t, fmt.Errorf("throttle lease %v: %w: %s", id, ErrNotRunning, t.leases[i].State)
	}
	return t, nil
}

// Stop ends a lease. An unknown lease is recorded as stopped, so that a delayed
// prepare or start command that was sent earlier is refused.
func (t Table) Stop(now time.Time, k Token, id ID) (Table, error) {
	t, err := t.Fence(now, k)
	if err != nil {
		return t, fmt.Errorf("stop lease %v: %w", id, err)
	}
	i, ok := t.find(id)
	if !ok {
		h := entry{Lease: Lease{ID: id, Epoch: k.Epoch}}
		t.leases = slices.Insert(t.leases, i, h.end(now, StateStopped, "stopped before it was prepared"))
		return t, nil
	}
	if h := t.leases[i]; !h.State.Ended() {
		t.leases[i] = h.end(now, StateStopped, "stopped by command")
	}
	return t, nil
}

// Renew extends the running leases among ids to ttl from now, capped at TTL. It
// needs no token, because renewing makes no scheduling decision.
func (t Table) Renew(now time.Time, ttl time.Duration, ids []ID) Table {
	t, _ = t.Expire(now)
	until := now.Add(min(ttl, TTL))
	for _, id := range ids {
		i, ok := t.find(id)
		if ok && t.leases[i].State == StateRunning && t.leases[i].expiresAt.Before(until) {
			t.leases[i].expiresAt = until
		}
	}
	return t
}

// End records that a task succeeded or failed.
func (t Table) End(now time.Time, id ID, s State, reason string) (Table, error) {
	t, _ = t.Expire(now)
	if s != StateSucceeded && s != StateFailed {
		return t, fmt.Errorf("end lease %v as %s: %w", id, s, ErrInvalidOutcome)
	}
	i, ok := t.find(id)
	if !ok {
		return t, fmt.Errorf("end lease %v: %w", id, ErrUnknownLease)
	}
	if t.leases[i].State != StateRunning {
		return t, fmt.Errorf("end lease %v: %w: %s", id, ErrNotRunning, t.leases[i].State)
	}
	t.leases[i] = t.leases[i].end(now, s, reason)
	return t, nil
}

// Acknowledge removes ended leases from the inventory. The table keeps them for
// Retention.
func (t Table) Acknowledge(now time.Time, ids []ID) Table {
	t, _ = t.Expire(now)
	for _, id := range ids {
		if i, ok := t.find(id); ok && t.leases[i].State.Ended() {
			t.leases[i].listed = false
			t.leases[i].endedAt = now
		}
	}
	return t
}

// authorise checks the token of a command and finds its lease, which must
// exist.
func (t Table) authorise(now time.Time, k Token, id ID) (Table, int, error) {
	t, err := t.Fence(now, k)
	if err != nil {
		return t, 0, err
	}
	i, ok := t.find(id)
	if !ok {
		return t, 0, ErrUnknownLease
	}
	return t, i, nil
}
