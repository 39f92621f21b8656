package assembler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/admitter"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/gatekeeper"
	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// DefaultJobMemoryMB is the default of Assembler.JobMemoryMB, a sixth of the smallest VM's memory.
const DefaultJobMemoryMB = 24

const megabyte = 1 << 20 // bytes

const (
	jobMemoryPercent = 20 // of the VM's own memory that accepted jobs may take, if that is less

	// storedPercent is the part of a partition's size that accepted jobs may take in the store, at
	// most: the rest is left to records that were replaced or deleted lately, and to progress. A
	// VM that starts holds all records at once, so they may also not take more than the memory.
	storedPercent = 50

	admissionTimeout   = time.Second // of a read before a job is refused; callers wait for 3 s
	exclusiveAttempts  = 5           // to store a job that must follow the last read
	minRoomRetryAfter  = 2           // seconds; a caller without room waits for as long at least, as room comes with the end of jobs
	roomRetryAfterSpan = 4           // seconds added at random, so that callers do not all return at once
)

// roomRetryAfter returns how long a caller whose job has no room is to wait.
func roomRetryAfter() time.Duration {
	return time.Duration(minRoomRetryAfter+rand.IntN(roomRetryAfterSpan)) * time.Second //nolint:gosec // spreads load, needs no secrecy
}

// admission admits jobs. It is safe for concurrent use.
type admission struct {
	mu       sync.Mutex
	admitter *admitter.Admitter

	reads     sharedRead
	lastRead  time.Time // used by the running read only
	assembler *Assembler
}

// newAdmission returns the admission of jobs that the registrar of a VM keeps.
func newAdmission(a *Assembler) *admission {
	x := &admission{admitter: admitter.New(a.jobLimit()), assembler: a}
	a.registrar.Kept = func(id, organisation string, s admitter.Size) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.admitter.Keep(id, organisation, s)
	}
	a.registrar.Removed = func(id string) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.admitter.Remove(id)
	}
	return x
}

// jobLimit returns what accepted jobs may take.
func (a *Assembler) jobLimit() admitter.Size {
	memory := int64(a.JobMemoryMB) * megabyte
	if memory <= 0 {
		memory = DefaultJobMemoryMB * megabyte
	}
	if own := int64(a.Settings.MemoryMB) * megabyte * jobMemoryPercent / 100; own > 0 {
		memory = min(memory, own)
	}
	part := a.Settings.PartMB
	if part <= 0 {
		part = platform.DefaultPartMB
	}
	return admitter.Size{Memory: memory, Stored: min(memory, int64(part)*megabyte*storedPercent/100)}
}

// gauges returns what accepted jobs take, by the name of the metric.
func (x *admission) gauges() map[string]int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	held, limit := x.admitter.Held(), x.admitter.Limit()
	return map[string]int64{
		"jobs-kept": int64(x.admitter.Jobs()), "jobs-memory-bytes": held.Memory, "jobs-memory-limit-bytes": limit.Memory,
		"jobs-stored-bytes": held.Stored, "jobs-stored-limit-bytes": limit.Stored,
	}
}

func (x *admission) reserve(j scheduler.Job, s admitter.Size) (bool, error) {
	vms := len(x.assembler.peers.list()) + 1
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.admitter.Reserve(x.assembler.Now(), j.ID, j.Organisation, s, vms)
}

// release gives back the room for a job that is certainly not stored.
func (x *admission) release(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.admitter.Release(id)
}

func (x *admission) fits() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.admitter.Fits()
}

// admit reserves room for a job. Without room it reads the stored jobs first: some may have been
// deleted, and the job itself may be among them. It reports whether the job is known then.
func (x *admission) admit(ctx context.Context, j scheduler.Job, s admitter.Size) (exclusive, known bool, err error) {
	if exclusive, err = x.reserve(j, s); err == nil {
		return exclusive, false, nil
	}
	if errors.Is(err, admitter.ErrTooLarge) {
		return false, false, fmt.Errorf("%w: %w", gatekeeper.ErrTooLarge, err)
	}
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	if readErr := x.reads.do(ctx, x.read); readErr != nil {
		return false, false, fmt.Errorf("%w: %w: %w", gatekeeper.ErrNotStored, err, readErr)
	}
	if _, known = x.assembler.registrar.Get(j.ID); known {
		return false, true, nil
	}
	if exclusive, err = x.reserve(j, s); err != nil {
		x.assembler.metrics.Count("jobs-without-room", 1)
		return false, false, fmt.Errorf("%w: %w", gatekeeper.ErrNoRoom, err)
	}
	return exclusive, false, nil
}

// read reads all partitions that may hold jobs. All VMs together use a small part of the store's
// reads for that.
func (x *admission) read() error {
	a := x.assembler
	ctx, cancel := context.WithTimeout(context.Background(), admissionTimeout)
	defer cancel()
	if err := sleeper.Sleep(ctx, a.readInterval(jobsReadShare)-a.Now().Sub(x.lastRead)); err != nil {
		return fmt.Errorf("wait for the next read of jobs: %w", err)
	}
	x.lastRead = a.Now()
	err := a.catchUpPart(ctx, 0)
	if a.numParts() > 1 && a.parts.suspected(a.Now()) {
		err = errors.Join(err, a.catchUpOtherParts(ctx))
	}
	return err
}

// storeJob stores a job if there is room for it.
func (a *Assembler) storeJob(ctx context.Context, j scheduler.Job) error {
	r, err := registrar.JobRecord(j)
	if err != nil {
		return fmt.Errorf("%w: %w", gatekeeper.ErrNotStored, err)
	}
	size := registrar.SizeOf(j, r)
	if limit := a.maxRecord(); size.Stored > limit {
		return fmt.Errorf("%w: its record has %d bytes, the store takes %d", gatekeeper.ErrTooLarge, size.Stored, limit)
	}
	exclusive, known, err := a.admission.admit(ctx, j, size)
	if err != nil || known {
		return err
	}
	stored := func() bool {
		_, ok := a.registrar.Get(j.ID)
		return ok
	}
	if exclusive {
		err = a.storeExclusively(ctx, r, stored)
	} else {
		err = a.storeRecords(ctx, []accessor.Record{r}, stored)
	}
	if errors.Is(err, gatekeeper.ErrNotStored) {
		a.admission.release(j.ID)
	}
	return err
}

// maxRecord returns the size of the largest key and value that the store takes as one record.
func (a *Assembler) maxRecord() int64 {
	n := a.Settings.RecordSize
	if n <= 0 {
		n = platform.DefaultRecordSize
	}
	return int64(n) - 1 // the length of the key takes a byte
}

// storeExclusively stores the record of a job only if no other record was stored in partition 0
// since this VM read it, so that the job surely fits.
func (a *Assembler) storeExclusively(ctx context.Context, r accessor.Record, stored func() bool) error {
	result := gatekeeper.ErrNotStored
	var last error
	for range exclusiveAttempts {
		if last = a.catchUpPart(ctx, 0); last != nil {
			break
		}
		if stored() {
			return nil
		}
		if !a.admission.fits() {
			return fmt.Errorf("%w: %w", result, gatekeeper.ErrNoRoom)
		}
		_, last = a.store.Append(ctx, accessor.Append{
			Topic: jobsPartition(0), Records: []accessor.Record{r}, ExpectedEnd: a.nextOffset(0),
		})
		if last == nil {
			return nil
		}
		if !errors.Is(last, accessor.ErrOffsetMismatch) && !errors.Is(last, accessor.ErrNotDone) {
			result = errUnknownResult
		}
	}
	return fmt.Errorf("%w: a large job could not be stored: %w", result, last)
}

var errUnknownResult = errors.New("the result of an append is unknown")
