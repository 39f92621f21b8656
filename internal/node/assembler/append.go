package assembler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/node/gatekeeper"
	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/partitioner"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

const (
	appendRetryDelay = 50 * time.Millisecond  // between two attempts to append a deletion
	confirmInterval  = 150 * time.Millisecond // between checks whether an unanswered append is stored; the store usually answers in 10 ms
	lastSendMargin   = 50 * time.Millisecond  // before the end of a caller's request; the answer to a later append would come too late, and the result would be unknown
	maxRetryAfter    = 2                      // seconds; a refused caller waits for one to so many, so that they do not all return at once
)

// retryAfter returns how long a refused caller is to wait.
func retryAfter() time.Duration {
	return time.Duration(1+rand.IntN(maxRetryAfter)) * time.Second //nolint:gosec // spreads load, needs no secrecy
}

// jobsPartition returns the name of a partition of the topic of jobs.
func jobsPartition(part int) string {
	return accessor.Partition(platform.WireTopic(registrar.TopicJobs), part)
}

// sent is the result of an append to a partition.
type sent struct {
	part   int
	result partitioner.Result
	err    error
}

// storeRecords stores the records of a job, in another partition if the first one fails. It
// returns ErrNotStored if they are certainly not stored.
func (a *Assembler) storeRecords(ctx context.Context, records []accessor.Record, stored func() bool) error {
	t := &partitioner.Attempt{}
	if d, ok := ctx.Deadline(); ok {
		t.Deadline = d.Add(-lastSendMargin)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan sent)
	var last error
	for {
		recovered := a.parts.awaitRecovery()
		step := a.nextStep(t)
		if step.Done {
			return storeError(step.Result, last)
		}
		if step.Send {
			go a.send(ctx, step.Part, records, stored, results)
			continue
		}
		var due <-chan time.Time
		if !step.Until.IsZero() {
			due = time.After(step.Until.Sub(a.Now()))
		}
		select {
		case <-ctx.Done():
			return storeError(a.abandon(t), cmp.Or(last, ctx.Err()))
		case r := <-results:
			last = cmp.Or(r.err, last)
			a.recordSent(t, r)
		case <-due:
		case <-recovered:
		}
	}
}

// storeError returns the error for what is known of a record.
func storeError(r partitioner.Result, cause error) error {
	if cause == nil {
		cause = errTimeout
	}
	switch r {
	case partitioner.Stored:
		return nil
	case partitioner.NotStored:
		return fmt.Errorf("%w: %w", gatekeeper.ErrNotStored, cause)
	default:
		return fmt.Errorf("%w: %w", errUnknownResult, cause)
	}
}

// send appends records to a partition. While it waits for the answer it also reads the
// partition, and reports the records as stored once they are there: then only the answer was
// lost.
func (a *Assembler) send(ctx context.Context, part int, records []accessor.Record, stored func() bool, results chan<- sent) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	report := func(r sent) {
		select {
		case results <- r:
		case <-ctx.Done():
		}
	}
	go func() {
		for sleeper.Sleep(c, confirmInterval) == nil {
			if a.catchUpPart(c, part) == nil && stored() {
				a.metrics.Count("appends-seen", 1)
				report(sent{part: part, result: partitioner.Stored})
				return
			}
		}
	}()
	_, err := a.store.Append(c, accessor.Append{Topic: jobsPartition(part), Records: records, ExpectedEnd: accessor.AnyOffset})
	if err != nil {
		a.metrics.Count("appends-failed", 1)
	} else if part != 0 {
		a.metrics.Count("appends-to-other-partitions", 1)
	}
	report(sent{part, appendResult(err), err})
}

// appendResult returns what the error of an append says of its records.
func appendResult(err error) partitioner.Result {
	switch {
	case err == nil:
		return partitioner.Stored
	case errors.Is(err, accessor.ErrNotDone):
		return partitioner.NotStored
	default:
		return partitioner.Unknown
	}
}

func (a *Assembler) nextStep(t *partitioner.Attempt) partitioner.Step {
	a.parts.mu.Lock()
	defer a.parts.mu.Unlock()
	defer a.reportParts()
	return t.Next(a.Now(), &a.parts.partitioner, rand.Float64()) //nolint:gosec // spreads load, needs no secrecy
}

func (a *Assembler) abandon(t *partitioner.Attempt) partitioner.Result {
	a.parts.mu.Lock()
	defer a.parts.mu.Unlock()
	return t.Abandon(&a.parts.partitioner)
}

func (a *Assembler) recordSent(t *partitioner.Attempt, r sent) {
	a.parts.mu.Lock()
	defer a.parts.mu.Unlock()
	defer a.reportParts()
	t.Record(r.part, r.result)
	if r.result == partitioner.Stored {
		a.parts.partitioner.RecordSuccess(r.part)
		a.parts.noteAnswer(r.part, a.Now())
		return
	}
	a.parts.partitioner.RecordFailure(a.Now(), r.part)
}

// appendUncertain appends records to a partition of the topic of jobs. It returns ErrNotStored if
// they are certainly not stored, else it retries until the context ends. Appending them twice has
// no effect.
func (a *Assembler) appendUncertain(ctx context.Context, part int, records []accessor.Record) error {
	uncertain := false
	for {
		_, err := a.store.Append(ctx, accessor.Append{Topic: jobsPartition(part), Records: records, ExpectedEnd: accessor.AnyOffset})
		if err == nil {
			return nil
		}
		a.metrics.Count("appends-failed", 1)
		if !errors.Is(err, accessor.ErrNotDone) {
			uncertain = true
		}
		if !uncertain {
			return fmt.Errorf("%w: %w", gatekeeper.ErrNotStored, err)
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(appendRetryDelay)
	}
}

func (a *Assembler) storeCancellation(ctx context.Context, id string) error {
	return a.storeRecords(ctx, []accessor.Record{registrar.CancelRecord(id)}, func() bool {
		e, ok := a.registrar.Get(id)
		return ok && e.Cancelled
	})
}

// catchUpJobs returns once all jobs are read that were stored in partition 0 before the call.
func (a *Assembler) catchUpJobs(ctx context.Context) error { return a.catchUpPart(ctx, 0) }
