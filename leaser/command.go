package leaser

import (
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Fence raises the epoch that the worker obeys. It fails with a FencedError when
// a higher one was seen, or the same one of another VM.
func (t Table) Fence(now time.Time, k Token) (Table, error) {
	t, _ = t.Lapse(now)
	return t.admit(k)
}

// admit takes the token of a command.
func (t Table) admit(k Token) (Table, error) {
	older := k.Epoch.Less(t.seen.Epoch)
	taken := k.Epoch == t.seen.Epoch && k.Holder != t.seen.Holder && t.seen != Token{}
	if older || taken {
		return t, &FencedError{Sent: k.Epoch, Seen: t.seen.Epoch, Holder: t.seen.Holder}
	}
	t.seen = k
	return t, nil
}

// Prepare holds the resources of a lease for its task, without running it. It
// takes free resources only. A lease that is held already stays as it is, and is
// not prolonged.
func (t Table) Prepare(now time.Time, k Token, l Lease) (Table, error) {
	t, err := t.Fence(now, k)
	if err != nil {
		return t, err
	}
	i, ok := t.find(l.ID)
	if ok {
		err := t.leases[i].same(l)
		if err == nil && t.leases[i].State == StatePrepared {
			t.leases[i].Epoch = k.Epoch
		}
		return t, err
	}
	if !l.valid() {
		return t, fmt.Errorf("prepare lease %v: %w", l.ID, ErrInvalid)
	}
	if !t.withAttempt(now, l.ID) {
		return t, fmt.Errorf("prepare lease %v: %w", l.ID, ErrOlderAttempt)
	}
	if f := t.Free(); !l.Resources.Fits(f) {
		return t, fmt.Errorf("prepare lease %v: need %+v, free %+v: %w", l.ID, l.Resources, f, ErrNoRoom)
	}
	l.Epoch = k.Epoch
	l.State = StatePrepared
	l.ExpiresMS, l.RunMS, l.Reason = 0, 0, ""
	t.leases = slices.Insert(t.leases, i, held{Lease: l, expires: now.Add(TTL), listed: true})
	return t, nil
}

// valid reports whether a lease can be held.
func (l Lease) valid() bool {
	none := placer.Resources{}
	return l.ID.Job != "" && l.ID.Attempt > 0 && l.ID.Task >= 0 && l.ID.Task < l.GangSize && none.Fits(l.Resources)
}

// same checks a lease that is prepared again against the one that is held.
func (h held) same(l Lease) error {
	switch {
	case h.State.Ended():
		return fmt.Errorf("prepare lease %v: %w: %s", l.ID, ErrOver, h.State)
	case h.Resources != l.Resources || h.GangSize != l.GangSize || h.Payload != l.Payload:
		return fmt.Errorf("prepare lease %v: %w", l.ID, ErrDifferent)
	default:
		return nil
	}
}

// Start lets the task of a lease run that was prepared in the same epoch: another
// leader may have had it prepared anew after a restart of the worker, though it had
// run before. A task that runs goes on, and its lease is not prolonged.
func (t Table) Start(now time.Time, k Token, id ID) (Table, error) {
	t, i, err := t.command(now, k, id)
	if err != nil {
		return t, fmt.Errorf("start lease %v: %w", id, err)
	}
	switch h := &t.leases[i]; h.State {
	case StatePrepared:
		if h.Epoch != k.Epoch {
			return t, fmt.Errorf("start lease %v: prepared in epoch %v: %w", id, h.Epoch, ErrDifferent)
		}
		h.State = StateRunning
		h.started = now
		h.expires = now.Add(TTL)
		return t, nil
	case StateRunning:
		return t, nil
	default:
		return t, fmt.Errorf("start lease %v: %w: %s", id, ErrOver, h.State)
	}
}

// Checkpoint ends a task that was checkpointed. The worker calls it once the
// checkpoint is stored.
func (t Table) Checkpoint(now time.Time, k Token, id ID) (Table, error) {
	t, i, err := t.command(now, k, id)
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
		return t, fmt.Errorf("checkpoint lease %v: %w", id, ErrNoCheckpoint)
	}
	t.leases[i] = h.over(now, StateCheckpointed, "checkpointed by command")
	return t, nil
}

// Throttle checks that the worker may hold a task to the resources of its lease.
func (t Table) Throttle(now time.Time, k Token, id ID) (Table, error) {
	t, i, err := t.command(now, k, id)
	if err != nil {
		return t, fmt.Errorf("throttle lease %v: %w", id, err)
	}
	if t.leases[i].State != StateRunning {
		return t, fmt.Errorf("throttle lease %v: %w: %s", id, ErrNotRunning, t.leases[i].State)
	}
	return t, nil
}

// Stop ends a lease. One that isn't known is remembered as stopped, so that a
// prepare or start which was sent before and arrives after is refused.
func (t Table) Stop(now time.Time, k Token, id ID) (Table, error) {
	t, err := t.Fence(now, k)
	if err != nil {
		return t, fmt.Errorf("stop lease %v: %w", id, err)
	}
	i, ok := t.find(id)
	if !ok {
		h := held{Lease: Lease{ID: id, Epoch: k.Epoch}}
		t.leases = slices.Insert(t.leases, i, h.over(now, StateStopped, "stopped before it was prepared"))
		return t, nil
	}
	if h := t.leases[i]; !h.State.Ended() {
		t.leases[i] = h.over(now, StateStopped, "stopped by command")
	}
	return t, nil
}

// Renew prolongs the running leases among ids to ttl from now, or TTL if that is
// less. It needs no token, for it decides nothing.
func (t Table) Renew(now time.Time, ttl time.Duration, ids []ID) Table {
	t, _ = t.Lapse(now)
	until := now.Add(min(ttl, TTL))
	for _, id := range ids {
		i, ok := t.find(id)
		if ok && t.leases[i].State == StateRunning && t.leases[i].expires.Before(until) {
			t.leases[i].expires = until
		}
	}
	return t
}

// End notes that a task ended by itself, as succeeded or failed.
func (t Table) End(now time.Time, id ID, s State, reason string) (Table, error) {
	t, _ = t.Lapse(now)
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
	t.leases[i] = t.leases[i].over(now, s, reason)
	return t, nil
}

// Acknowledge takes leases that are over out of the inventory. They are still
// remembered for Retention.
func (t Table) Acknowledge(now time.Time, ids []ID) Table {
	t, _ = t.Lapse(now)
	for _, id := range ids {
		if i, ok := t.find(id); ok && t.leases[i].State.Ended() {
			t.leases[i].listed = false
			t.leases[i].ended = now
		}
	}
	return t
}

// command admits a command to a lease that must be known.
func (t Table) command(now time.Time, k Token, id ID) (Table, int, error) {
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
