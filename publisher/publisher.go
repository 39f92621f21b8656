package publisher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrNotAppended says that a change is surely not in the log, nor will be.
var ErrNotAppended = errors.New("change was not appended")

// ErrRefused says that a VM refuses to be read, and asking again is of no use.
var ErrRefused = errors.New("reading is refused")

// ErrWithdrawn says that a change is void, as it did not reach the log before its
// withdrawal.
var ErrWithdrawn = errors.New("withdrawn")

// ErrUnknown says that a change may or may not be in force: its fate could not
// be read back in time.
var ErrUnknown = errors.New("change may or may not be in force")

// DefaultSettle is how long a publisher whose append got no answer looks for the
// change before it withdraws it.
const DefaultSettle = 5 * time.Second

// Publisher is the flow of a publication. Its functions may be tried on any
// entry VM; they are called from one goroutine.
type Publisher struct {
	Append    func(ctx context.Context, c Change) error       // ErrNotAppended, or any other error when it is not known
	Withdraw  func(ctx context.Context, id string) error      // appends a Withdrawal
	Read      func(ctx context.Context) (State, error)        // of any VM
	Revisions func(ctx context.Context) ([]VMRevision, error) // of every live VM
	Wait      func(ctx context.Context) error                 // until the next look; the error is that of ctx
	Now       func() time.Time
	NewID     func() string
	Report    func(line string) // tells what goes on
	Settle    time.Duration     // DefaultSettle when 0
}

// Result is how a publication went.
type Result struct {
	ID       string      `json:"id"`       // of the change, empty when there was nothing to publish
	Revision int64       `json:"revision"` // in force
	Diff     string      `json:"diff"`
	Changes  []KeyChange `json:"changes"` // by file and key
	Dropped  []string    `json:"dropped"` // organisations and services that disappear
	DryRun   bool        `json:"dry-run"`
	Arrived  []Arrival   `json:"arrived"` // in the order in which VMs had it
	Missing  []string    `json:"missing"` // live VMs that did not have it in time
}

// Arrival is when a VM had the revision in force.
type Arrival struct {
	VM     string `json:"vm"`
	TookMS int64  `json:"took-ms"` // milliseconds since the change was sent
}

// settleTimes is how many times DefaultSettle a change may take until its fate is
// known: its append, the look for it, and its withdrawal.
const settleTimes = 3

// Publish brings r into force and waits until every live VM has it, or ctx ends.
// The context needs a deadline. A change that got lost is withdrawn and, while
// there is time to settle another, sent anew under another id, if NewID gives one.
//
// The error is ErrUnknown only when what became of the change could not be read
// back; any other error means that it is not in force and never will be. A
// change in force is no error, even when some VM does not have it in time.
func (p *Publisher) Publish(ctx context.Context, r Request) (Result, error) {
	result, err := p.publish(ctx, r, p.NewID())
	for errors.Is(err, ErrWithdrawn) && p.timeLeft(ctx) {
		id := p.NewID()
		if id == result.ID {
			break
		}
		p.report("publishing the files anew, as change %s", id)
		result, err = p.publish(ctx, r, id)
	}
	return result, err
}

// timeLeft reports whether one more change could be settled before ctx ends.
func (p *Publisher) timeLeft(ctx context.Context) bool {
	end, ok := ctx.Deadline()
	return !ok || end.Sub(p.Now()) > settleTimes*p.settleTime()
}

// publish brings r into force as one change.
func (p *Publisher) publish(ctx context.Context, r Request, id string) (Result, error) {
	s, err := p.readComplete(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("read the configuration in force: %w", err)
	}
	plan, err := NewPlan(s, r, id, p.Now())
	if errors.Is(err, ErrNothing) {
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
		return Result{Revision: s.Revision(), Diff: plan.Diff, Changes: plan.Changes, Dropped: plan.Dropped, DryRun: true}, nil
	}
	return p.bringIntoForce(ctx, plan)
}

// bringIntoForce appends the change once and follows it.
func (p *Publisher) bringIntoForce(ctx context.Context, plan Plan) (Result, error) {
	result := Result{ID: plan.Change.ID, Diff: plan.Diff, Changes: plan.Changes, Dropped: plan.Dropped}
	sent := p.Now()
	err := p.append(ctx, plan.Change)
	if errors.Is(err, ErrNotAppended) {
		return result, err
	}
	if err != nil {
		p.report("no answer to change %s, reading it back: %v", result.ID, err)
	}
	v, err := p.settle(ctx, result.ID, err == nil)
	if err != nil {
		return result, err
	}
	if err := v.Err(); err != nil {
		return result, fmt.Errorf("change %s is not in force: %w", result.ID, err)
	}
	result.Revision = v.Offset
	p.report("revision %d is in force", v.Offset)
	result.Arrived, result.Missing = p.spread(ctx, v.Offset, sent)
	return result, nil
}

func (p *Publisher) append(ctx context.Context, c Change) error {
	ctx, cancel := context.WithTimeout(ctx, p.settleTime())
	defer cancel()
	return p.Append(ctx, c)
}

func (p *Publisher) settleTime() time.Duration {
	if p.Settle == 0 {
		return DefaultSettle
	}
	return p.Settle
}

// readComplete reads the state of a VM that lacks nothing.
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
			err = errors.New("the VM lacks part of the configuration stream")
		}
		if w := p.Wait(ctx); w != nil {
			return State{}, fmt.Errorf("%w: %w", w, err)
		}
	}
}

// settle looks for the verdict on a change. A change whose append was not
// confirmed is withdrawn after a while, so that it has one in either case.
func (p *Publisher) settle(ctx context.Context, id string, appended bool) (Verdict, error) {
	asked := p.Now()
	for {
		s, err := p.Read(ctx)
		if v, ok := s.Verdict(id); err == nil && ok {
			return v, nil
		}
		if !appended && p.Now().Sub(asked) >= p.settleTime() {
			asked = p.Now()
			p.report("change %s was not seen in the log, withdrawing it if it is not there", id)
			err = because(p.Withdraw(ctx, id), err)
		}
		if w := p.Wait(ctx); w != nil {
			return Verdict{}, fmt.Errorf("%w: read back change %s: %w", ErrUnknown, id, because(w, err))
		}
	}
}

// spread waits until every live VM has a revision, and returns when each had it
// and which ones had not when ctx ended.
func (p *Publisher) spread(ctx context.Context, revision int64, sent time.Time) ([]Arrival, []string) {
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
				took := p.Now().Sub(sent)
				arrived = append(arrived, Arrival{VM: v.VM, TookMS: took.Milliseconds()})
				p.report("%s has revision %d after %v", v.VM, revision, took.Round(time.Millisecond))
			}
		}
		if err == nil && len(vms) > 0 && len(missing) == 0 {
			return arrived, nil
		}
		if w := p.Wait(ctx); w != nil {
			p.report("in force, but not yet seen everywhere: missing %q: %v", missing, because(w, err))
			return arrived, missing
		}
	}
}

// because adds the cause of an error, on the same line. Both may be nil.
func because(err, cause error) error {
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
