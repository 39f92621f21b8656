package gatekeeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// Verdict is what a caller is told.
type Verdict string

// The verdicts.
const (
	VerdictOK           Verdict = "ok"
	VerdictNoQueue      Verdict = "no-queue"     // no such queue
	VerdictNoKey        Verdict = "no-key"       // the key is not known
	VerdictInvalid      Verdict = "invalid"      // the request can't be read or served
	VerdictTooLarge     Verdict = "too-large"    // the body exceeds the limit
	VerdictUnknownJob   Verdict = "unknown-job"  // no such job
	VerdictRefused      Verdict = "refused"      // nothing was done, and nothing will be
	VerdictUncertain    Verdict = "uncertain"    // it may have been done, or be done later
	VerdictUnconfigured Verdict = "unconfigured" // no configuration is known yet
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	Reason     string
	State      scheduler.State // of the job asked for
	Pending    int             // jobs of the queue that have not begun
	RetryAfter time.Duration   // when a refused request is worth another try
}

// Target is what a request is about.
type Target struct {
	Route        Route
	Organisation string
	Rest         string // of the path after the prefix: the id of a job, or nothing
	Version      int64  // of the configuration that decided
}

// ErrNotStored says that a record has certainly not been stored.
var ErrNotStored = errors.New("not stored")

const (
	retrySoon = time.Second // the store is usually back within seconds
)

// Gatekeeper answers callers. Its fields are set before use.
type Gatekeeper struct {
	Config    func() *Config // nil when none is known
	Registrar *registrar.Registrar
	StoreJob  func(context.Context, scheduler.Job) error // wraps ErrNotStored, or it is uncertain
	StoreEnd  func(ctx context.Context, id string) error // as StoreJob, for a cancellation
	Refresh   func(context.Context) error                // returns once all that was stored before is read
	Look      func(context.Context) error                // reads what was stored of jobs' progress, for a short while at most
	Now       func() time.Time
}

// Resolve finds out what a request is about and whether its caller may ask.
func (g *Gatekeeper) Resolve(host, path, key string) (Target, Answer) {
	c := g.Config()
	if c == nil {
		return Target{}, Answer{Verdict: VerdictUnconfigured, Reason: "no configuration is known yet", RetryAfter: retrySoon}
	}
	r, ok := c.Match(host, path)
	if !ok {
		return Target{Version: c.Version}, Answer{Verdict: VerdictNoQueue, Reason: "no queue at this host and path"}
	}
	t := Target{Route: r, Rest: path[len(r.Prefix):], Version: c.Version, Organisation: c.Keys[key]}
	if t.Organisation == "" && !r.Public {
		return t, Answer{Verdict: VerdictNoKey, Reason: "the key is not known"}
	}
	return t, Answer{Verdict: VerdictOK}
}

// Submit stores a job, once. The caller's part of it is set.
func (g *Gatekeeper) Submit(ctx context.Context, t Target, j scheduler.Job) Answer {
	if _, ok := g.Registrar.Get(t.Rest); ok {
		return Answer{Verdict: VerdictOK, Reason: "stored before"}
	}
	if err := check(j); err != nil {
		return Answer{Verdict: VerdictInvalid, Reason: err.Error()}
	}
	j.ID, j.Queue, j.Organisation = t.Rest, t.Route.Name, t.Organisation
	j.AcceptedMS, j.Terms = g.Now().UnixMilli(), t.Route.Queue
	err := g.StoreJob(ctx, j)
	return stored(err)
}

func stored(err error) Answer {
	switch {
	case err == nil:
		return Answer{Verdict: VerdictOK}
	case errors.Is(err, ErrNotStored):
		return Answer{Verdict: VerdictRefused, Reason: err.Error(), RetryAfter: retrySoon}
	default:
		return Answer{Verdict: VerdictUncertain, Reason: err.Error()}
	}
}

const (
	maxSteps = 256   // bounds what one submission costs
	maxTasks = 10000 // of one step
	maxTimes = 1000  // occurrences of one job
)

// check reports what makes a job impossible to run.
func check(j scheduler.Job) error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("job of %d steps, want 1 to %d", len(j.Steps), maxSteps)
	}
	if j.Times < 0 || j.Times > maxTimes || j.IntervalMS < 0 {
		return fmt.Errorf("job of %d occurrences every %d ms, want at most %d", j.Times, j.IntervalMS, maxTimes)
	}
	for i, s := range j.Steps {
		if s.Tasks < 1 || s.Tasks > maxTasks {
			return fmt.Errorf("step %d has %d tasks, want 1 to %d", i, s.Tasks, maxTasks)
		}
		if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
			return fmt.Errorf("step %d needs a negative amount", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d depends on step %d, want an earlier one", i, a)
			}
		}
	}
	return nil
}

// entry returns a job that the caller may see.
func (g *Gatekeeper) entry(ctx context.Context, t Target) (registrar.Entry, Answer) {
	e, ok := g.Registrar.Get(t.Rest)
	if !ok {
		c, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if err := g.Refresh(c); err != nil {
			return e, Answer{Verdict: VerdictRefused, Reason: fmt.Sprintf("job is not known here and the store does not answer: %v", err), RetryAfter: retrySoon}
		}
		e, ok = g.Registrar.Get(t.Rest)
	}
	if !ok || (e.Job.Organisation != t.Organisation && !t.Route.Public) {
		return e, Answer{Verdict: VerdictUnknownJob, Reason: "no such job"}
	}
	return e, Answer{Verdict: VerdictOK, State: e.State()}
}

// Status returns where a job stands.
func (g *Gatekeeper) Status(ctx context.Context, t Target) Answer {
	e, a := g.entry(ctx, t)
	if a.Verdict != VerdictOK || a.State.Ended() {
		return a
	}
	if err := g.Look(ctx); err != nil {
		a.Reason = err.Error()
	}
	if n, ok := g.Registrar.Get(t.Rest); ok {
		e = n
	}
	a.State = e.State()
	return a
}

// Cancel cancels a job.
func (g *Gatekeeper) Cancel(ctx context.Context, t Target) Answer {
	e, a := g.entry(ctx, t)
	if a.Verdict != VerdictOK || e.Cancelled || e.State().Ended() {
		return a
	}
	return stored(g.StoreEnd(ctx, t.Rest))
}

// Pending returns how many jobs of a queue have not begun.
func (g *Gatekeeper) Pending(t Target) Answer {
	return Answer{Verdict: VerdictOK, Pending: g.Registrar.Pending(t.Route.Name)}
}
