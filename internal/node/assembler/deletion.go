package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
)

const (
	deletionRetryDelay = time.Second // nobody waits for a deletion
	maxDeletions       = 500         // jobs and occurrences deleted by one append, whose size the store limits
)

// deletions are the jobs and occurrences that the leader still has to delete from the store.
type deletions struct {
	mu      sync.Mutex
	ids     []string
	running bool // a call of deleteJobs deletes them
}

// add adds jobs, and reports whether the caller has to delete them.
func (d *deletions) add(ids []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ids = append(d.ids, ids...)
	first := !d.running
	d.running = true
	return first
}

// take returns the next jobs to be deleted, none if all are.
func (d *deletions) take() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(len(d.ids), maxDeletions)
	next := d.ids[:n:n]
	d.ids = d.ids[n:]
	d.running = n > 0
	return next
}

// deleteJobs deletes the records of jobs that ended long ago, and of their occurrences. One
// call at a time does so, also for the others.
func (w *progressWriter) deleteJobs(ctx context.Context, ids []string) {
	if !w.deletions.add(ids) {
		return
	}
	for next := w.deletions.take(); len(next) > 0; next = w.deletions.take() {
		if err := w.deleteRecords(ctx, next); err != nil {
			w.assembler.log("store").WithError(err).Warn("can't delete old jobs from the store")
			return // the term is over; the next leader finds the rest
		}
	}
}

// deleteRecords deletes jobs first, and their progress once that is certainly stored: a job
// without progress would run again.
func (w *progressWriter) deleteRecords(ctx context.Context, ids []string) error {
	var records []accessor.Record
	for _, id := range ids {
		if job, _ := scheduler.SplitOccurrence(id); job == id {
			records = append(records, registrar.DeletionRecords(id)...)
		}
	}
	if err := w.deleteElsewhere(ctx, ids); err != nil {
		return err
	}
	if err := w.appendDeletions(ctx, 0, records); err != nil {
		return err
	}
	return w.deleteProgress(ctx, ids)
}

// deleteElsewhere deletes jobs from the partitions other than 0 that hold records of them. It
// waits until all partitions are read: a job that one of them still held would run again.
func (w *progressWriter) deleteElsewhere(ctx context.Context, ids []string) error {
	if err := w.assembler.awaitOtherParts(ctx); err != nil {
		return err
	}
	for part, held := range w.assembler.registrar.Elsewhere(ids) {
		var records []accessor.Record
		for _, id := range held {
			records = append(records, registrar.DeletionRecords(id)...)
		}
		if err := w.appendDeletions(ctx, part, records); err != nil {
			return err
		}
	}
	return nil
}

// appendDeletions deletes records of jobs from a partition, and retries until that is stored.
func (w *progressWriter) appendDeletions(ctx context.Context, part int, records []accessor.Record) error {
	for len(records) > 0 {
		err := w.assembler.appendUncertain(ctx, part, records)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return err
		}
		w.assembler.log("store").WithError(err).Warn("can't delete old jobs from the store; retrying")
		_ = sleeper.Sleep(ctx, deletionRetryDelay) // fails only when the context ends
	}
	return nil
}

func (w *progressWriter) deleteProgress(ctx context.Context, ids []string) error {
	var records []accessor.Record
	for _, id := range ids {
		records = append(records, accessor.Record{Key: id})
	}
	return w.append(ctx, records)
}

// deleteLeftovers deletes the progress that is left of jobs whose deletion an earlier leader
// has not finished. It must be called when all jobs are read and before any is started: a job
// that is submitted again has progress of its own.
func (w *progressWriter) deleteLeftovers(ctx context.Context) error {
	ids := w.assembler.registrar.RemoveLeftovers()
	for len(ids) > 0 {
		n := min(len(ids), maxDeletions)
		if err := w.deleteProgress(ctx, ids[:n]); err != nil {
			return err
		}
		ids = ids[n:]
	}
	return nil
}
