package publisher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrNotAppended reports that a change is not in the log and never will be.
var ErrNotAppended = errors.New("change was not appended")

// ErrRefused reports that a VM rejected a read, and that retrying is of no use.
var ErrRefused = errors.New("VM refused the read")

// ErrWithdrawn reports that a change is void because its withdrawal precedes it in the
// log or it was never appended.
var ErrWithdrawn = errors.New("withdrawn")

// ErrUnknown reports that a change may or may not be in force: its verdict could not
// be read in time.
var ErrUnknown = errors.New("change may or may not be in force")

// DefaultSettleTimeout is how long a publisher waits for the verdict on a change whose
// append got no answer, before it withdraws the change.
const DefaultSettleTimeout = 5 * time.Second

// Publisher publishes changes. Its functions may use any entry VM; they are called
// from one goroutine.
type Publisher struct {
	Append        func(ctx context.Context, c Change) error       // fails with ErrNotAppended, or with another error when the result is unknown
	Withdraw      func(ctx context.Context, id string) error      // appends a Withdrawal
	Read          func(ctx context.Context) (State, error)        // from any VM
	Revisions     func(ctx context.Context) ([]VMRevision, error) // of every live VM
	Wait          func(ctx context.Context) error                 // waits before the next poll; fails with the error of ctx
	Now           func() time.Time
	NewID         func() string
	Report        func(line string) // receives progress messages; may be nil
	SettleTimeout time.Duration     // DefaultSettleTimeout when 0
}

// Result is the result of a publication.
type Result struct {
	ID       string      `json:"id"`       // of the change, empty when there was nothing to publish
	Revision int64       `json:"revision"` // in force
	Diff     string      `json:"diff"`
	Changes  []KeyChange `json:"changes"` // by file and key
	Removed  []string    `json:"dropped"` // organisations and services that are removed
	DryRun   bool        `json:"dry-run"`
	Arrived  []Arrival   `json:"arrived"` // in the order in which the VMs were seen to have the revision
	Missing  []string    `json:"missing"` // live VMs that did not have the revision in time
}

// Arrival is the time at which a VM was seen to have the revision in force.
type Arrival struct {
	VM     string `json:"vm"`
	TookMS int64  `json:"took-ms"` // milliseconds since the change was sent
}

// settlePhases is the number of settle timeouts that a change may take until its
// verdict is known: append, wait for the verdict, and withdrawal.
const settlePhases = 3

// Publish brings r into force and waits until every live VM has it, or ctx ends.
// The context needs a deadline. A change that was lost is withdrawn and, while there
// is time for another attempt, published again under a new id, if NewID returns one.
//
// The error is ErrUnknown only when the verdict on the change could not be read; any
// other error means that the change is not in force and never will be. A change in
// force is not an error, even when some VMs do not have it in time.
func (p *Publisher) Publish(ctx context.Context, r Request) (Result, error) {
	result, err := p.publish(ctx, r, p.NewID())
	for errors.Is(err, ErrWithdrawn) && p.canRetry(ctx) {
		id := p.NewID()
		if id == result.ID {
			break
		}
		p.report("publishing the files again as change %s", id)
		result, err = p.publish(ctx, r, id)
	}
	return result, err
}

// canRetry reports whether there is time for one more change before ctx ends.
func (p *Publisher) canRetry(ctx context.Context) bool {
	end, ok := ctx.Deadline()
	return !ok || end.Sub(p.Now()) > settlePhases*p.settleTimeout()
}

// publish brings r into force as one change.
func (p *Publisher) publish(ctx context.Context, r Request, id string) (Result, error) {
	s, err := p.readComplete(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("read the configuration in force: %w", err)
	}
	plan, err := NewPlan(s, r, id, p.Now())
	if errors.Is(err, ErrNothingToPublish) {
		p.report("nothing to publish: revision %d is in force with these files", s.Revision())
		return Result{Revision: s.Revision()}, nil
	}
	p.report("%s", plan.Diff)
	if err != nil {
		return Result{Diff: plan.Diff}, err
	}
	if v, ok := s.Verdict(id); ok {
		return Result{ID: id, Diff: plan.Diff}, fmt.Errorf("%w: id %s was used before at offset %d, with the outcome %s", ErrNotAppended, id, v.Offset, v.Outcome)
	}
	if r.DryRun {
		p.report("dry run: nothing was published")
		return Result{Revision: s.Revision(), Diff: plan.Diff, Changes: plan.Changes, Removed: plan.Removed, DryRun: true}, nil
	}
	return p.appendAndFollow(ctx, plan)
}

// appendAndFollow appends the change once, and waits for its verdict and then for all
// VMs.
func (p *Publisher) appendAndFollow(ctx context.Context, plan Plan) (Result, error) {
	result := Result{ID: plan.Change.ID, Diff: plan.Diff, Changes: plan.Changes, Removed: plan.Removed}
	sentAt := p.Now()
	err := p.append(ctx, plan.Change)
	if errors.Is(err, ErrNotAppended) {
		return result, err
	}
	if err != nil {
		p.report("no answer to change %s; reading its verdict from the log: %v", result.ID, err)
	}
	v, err := p.awaitVerdict(ctx, result.ID, err == nil)
	if err != nil {
		return result, err
	}
	if err := v.Err(); err != nil {
		return result, fmt.Errorf("change %s is not in force: %w", result.ID, err)
	}
	result.Revision = v.Offset
	p.report("revision %d is in force", v.Offset)
	result.Arrived, result.Missing = p.awaitVMs(ctx, v.Offset, sentAt)
	return result, nil
}

func (p *Publisher) append(ctx context.Context, c Change) error {
	ctx, cancel := context.WithTimeout(ctx, p.settleTimeout())
	defer cancel()
	return p.Append(ctx, c)
}

func (p *Publisher) settleTimeout() time.Duration {
	if p.SettleTimeout == 0 {
		return DefaultSettleTimeout
	}
	return p.SettleTimeout
}

// readComplete reads until a VM returns a complete state.
func (p *Publisher) readComplete(ctx context.Context) (State, error) {
	for {
		s, err := p.Read(ctx)
		if err == nil && s.Complete() {
			return s, nil
		}
		if errors.Is(err, ErrRefused) {
			return State{}, err
		}
		if err == nil {
			err = errors.New("the VM lacks records of the configuration stream")
		}
		if w := p.Wait(ctx); w != nil {
			return State{}, fmt.Errorf("%w: %w", w, err)
		}
	}
}

// awaitVerdict waits for the verdict on a change. A change whose append was not
// confirmed is withdrawn after each settle timeout, so that it gets a verdict whether
// or not it was appended.
func (p *Publisher) awaitVerdict(ctx context.Context, id string, appended bool) (Verdict, error) {
	waitingSince := p.Now()
	for {
		s, err := p.Read(ctx)
		if v, ok := s.Verdict(id); err == nil && ok {
			return v, nil
		}
		if !appended && p.Now().Sub(waitingSince) >= p.settleTimeout() {
			waitingSince = p.Now()
			p.report("change %s not found in the log so far; withdrawing it", id)
			err = withCause(p.Withdraw(ctx, id), err)
		}
		if w := p.Wait(ctx); w != nil {
			return Verdict{}, fmt.Errorf("%w: read back change %s: %w", ErrUnknown, id, withCause(w, err))
		}
	}
}

// awaitVMs waits until every live VM has a revision. It returns when each VM was seen
// to have it, and the VMs that did not have it when ctx ended.
func (p *Publisher) awaitVMs(ctx context.Context, revision int64, sentAt time.Time) ([]Arrival, []string) {
	var arrived []Arrival
	seen := map[string]bool{}
	for {
		vms, err := p.Revisions(ctx)
		var missing []string
		for _, v := range vms {
			if v.Revision < revision {
				missing = append(missing, v.VM)
				continue
			}
			if !seen[v.VM] {
				seen[v.VM] = true
				elapsed := p.Now().Sub(sentAt)
				arrived = append(arrived, Arrival{VM: v.VM, TookMS: elapsed.Milliseconds()})
				p.report("%s has revision %d after %v", v.VM, revision, elapsed.Round(time.Millisecond))
			}
		}
		if err == nil && len(vms) > 0 && len(missing) == 0 {
			return arrived, nil
		}
		if w := p.Wait(ctx); w != nil {
			p.report("change is in force, but not yet seen on all VMs: missing %q: %v", missing, withCause(w, err))
			return arrived, missing
		}
	}
}

// withCause adds a cause to an error, on the same line. Both may be nil.
func withCause(err, cause error) error {
	if err == nil || cause == nil {
		return cmp.Or(err, cause)
	}
	return fmt.Errorf("%w (%w)", err, cause)
}

func (p *Publisher) report(format string, args ...any) {
	if p.Report != nil {
		p.Report(fmt.Sprintf(format, args...))
	}
}
