package assembler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/partitioner"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

const (
	partsReadTimeout  = 500 * time.Millisecond  // how long a takeover waits for partitions other than 0: a read takes 240 ms when the store is slow
	partsRetryDelay   = 300 * time.Millisecond  // between two reads by a new leader of a partition that fails
	partsPollDelay    = 2 * time.Second         // between two reads of a partition by a VM that does not lead: callers who ask for an unknown job cause a read of their own
	partsFailedDelay  = time.Second             // after a read of a partition that failed
	partsShareTimeout = 1500 * time.Millisecond // of a read for callers, who wait for a second
	partsAwaitDelay   = 100 * time.Millisecond  // between two checks whether all partitions were read
)

// catchUpPart reads a partition of the topic of jobs to its present end. What it reads of
// another partition than 0 is applied at once: the deletion of a job may follow on a later page.
func (a *Assembler) catchUpPart(ctx context.Context, part int) error {
	began := a.Now()
	next := a.nextOffset(part)
	all := tailer.Batch{Next: next}
	apply := func(b tailer.Batch) {
		if b.Snapshot {
			all = b
			return
		}
		all.Records, all.Next = append(all.Records, b.Records...), b.Next
	}
	if part == 0 {
		apply = a.registrar.ApplyJobs
	}
	if err := tailer.CatchUp(ctx, a.store, jobsPartition(part), next, apply); err != nil {
		return fmt.Errorf("catch up with partition %d of %s: %w", part, registrar.TopicJobs, err)
	}
	if part != 0 {
		a.applyPart(part, began, all)
	}
	return nil
}

// applyPart applies what was read of another partition than 0 up to its end.
func (a *Assembler) applyPart(part int, began time.Time, b tailer.Batch) {
	fresh := len(b.Records)
	a.registrar.ApplyJobsOf(part, b)
	a.parts.noteRead(part, began, a.Now(), fresh)
	if fresh > 0 {
		a.metrics.Count("records-read-from-other-partitions", int64(fresh))
	}
}

// pollPart waits for records of a partition other than 0 and applies them.
func (a *Assembler) pollPart(ctx context.Context, part int, wait time.Duration) error {
	next, known := a.registrar.NextOffset(accessor.Partition(registrar.TopicJobs, part))
	if wait == 0 || !known {
		return a.catchUpPart(ctx, part)
	}
	began := a.Now()
	records, end, err := a.store.Read(ctx, jobsPartition(part), next, wait)
	if errors.Is(err, accessor.ErrTrimmed) || (err == nil && next+int64(len(records)) < end) {
		return a.catchUpPart(ctx, part)
	}
	if err != nil {
		return err
	}
	a.applyPart(part, began, tailer.Batch{Records: records, Next: next + int64(len(records))})
	return nil
}

// followOtherParts starts the readers of the partitions other than 0. Each has its own, so that
// one without answers delays no other.
func (a *Assembler) followOtherParts(ctx context.Context, g *errgroup.Group) {
	for part := 1; part < a.numParts(); part++ {
		g.Go(func() error {
			a.followPart(ctx, part)
			return nil
		})
	}
}

// followPart reads a partition while this VM leads, and while partition 0 fails and for some time
// after.
func (a *Assembler) followPart(ctx context.Context, part int) {
	for ctx.Err() == nil {
		changed := a.parts.awaitChange()
		if !a.leading.Load() && !a.parts.suspected(a.Now()) {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		_, known := a.registrar.NextOffset(accessor.Partition(registrar.TopicJobs, part))
		recovered := a.parts.awaitRecovery()
		began := a.Now()
		err := a.pollPart(ctx, part, a.partWait(part))
		pause := a.partPause(part, a.Now().Sub(began))
		if !known {
			pause = 0 // the records after the first read are waited for
		}
		if err != nil {
			sleeper.SleepUntil(ctx, partsFailedDelay, recovered)
			continue
		}
		_ = sleeper.Sleep(ctx, pause) // ends early with the context only
	}
}

// partWait returns how long a read of a partition waits for a record.
func (a *Assembler) partWait(part int) time.Duration {
	if !a.leading.Load() {
		return 0
	}
	_, active := a.parts.countActive(a.Now(), part)
	return partitioner.ReadWait(active)
}

// partPause returns the pause after a read of a partition that took so long.
func (a *Assembler) partPause(part int, took time.Duration) time.Duration {
	if !a.leading.Load() {
		return max(partsPollDelay, a.readInterval(progressReadShare)*time.Duration(a.numParts())-took)
	}
	n, active := a.parts.countActive(a.Now(), part)
	return partitioner.ReadInterval(active, n, a.numParts()-1) - took
}

// readOtherParts reads the partitions other than 0 for a new leader. It waits for a short time
// and reports whether all were read; the others are read in the background.
func (a *Assembler) readOtherParts(ctx context.Context, background *sync.WaitGroup) bool {
	var unread sync.WaitGroup
	for part := 1; part < a.numParts(); part++ {
		unread.Add(1)
		background.Go(func() {
			defer unread.Done()
			a.readInheritedJobs(ctx, part)
		})
	}
	done := make(chan struct{})
	background.Go(func() {
		unread.Wait()
		close(done)
	})
	t := time.NewTimer(partsReadTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
		a.log("lead").Warn("a partition of the store does not answer; what may be in it is left as it is until it is read")
	case <-ctx.Done():
	}
	return a.parts.allRead()
}

// readInheritedJobs reads a partition to the end that it has after the claim of this VM.
func (a *Assembler) readInheritedJobs(ctx context.Context, part int) {
	for ctx.Err() == nil {
		err := a.catchUpPart(ctx, part)
		if err == nil {
			if a.parts.setBoundary(part, a.nextOffset(part)) {
				a.commander.Post(scheduler.JobsRead{}) // dropped before the scheduler starts, which is told then
			}
			return
		}
		_ = sleeper.Sleep(ctx, partsRetryDelay) // fails only when the context ends
	}
}

// awaitOtherParts returns once all partitions other than 0 were read after the call.
func (a *Assembler) awaitOtherParts(ctx context.Context) error {
	for began := a.Now(); !a.parts.readAllSince(a.numParts(), began); {
		if err := sleeper.Sleep(ctx, partsAwaitDelay); err != nil {
			return fmt.Errorf("wait until all partitions are read: %w", err)
		}
	}
	return nil
}

// catchUpOtherParts returns once all jobs are read that were stored in other partitions than 0
// before the call. Concurrent callers share the reads.
func (a *Assembler) catchUpOtherParts(ctx context.Context) error {
	return a.partsRead.do(ctx, func() error {
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), partsShareTimeout)
		defer cancel()
		var g errgroup.Group
		for part := 1; part < a.numParts(); part++ {
			g.Go(func() error { return a.catchUpPart(c, part) })
		}
		return g.Wait()
	})
}
