package assembler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

const (
	// maxViewPercent is the share of the time for evacuations that may pass between a read of
	// the operator's topic and a start that relies on it. The rest is the start window, in
	// which a worker accepts the start.
	maxViewPercent = 100 - scheduler.EvacuateStartPercent

	refreshTimeout = 400 * time.Millisecond // of a read that starts wait for; the store answers in 4 ms, and 60 times slower at worst
)

// operatorView is how current this VM's view of the operator's topic is. A VM that was paused
// must not start anything by what it knew before.
type operatorView struct {
	readAt   atomic.Pointer[time.Time] // when the last read that succeeded was sent
	failedAt atomic.Pointer[time.Time] // when the last read failed: the last known state holds then
	mu       sync.Mutex                // held by the start that reads the topic for all
}

// age returns for how long the topic was neither read nor found unreadable.
func (v *operatorView) age(now time.Time) time.Duration {
	age := time.Hour
	for _, at := range []*time.Time{v.readAt.Load(), v.failedAt.Load()} {
		if at != nil {
			age = min(age, now.Sub(*at))
		}
	}
	return age
}

// noteRead notes that a read sent at a time was applied.
func (v *operatorView) noteRead(sent time.Time) { v.readAt.Store(&sent) }

// noteFailure notes that a read failed at a time.
func (v *operatorView) noteFailure(at time.Time) { v.failedAt.Store(&at) }

// watch notes the reads of a tailer of the operator's topic.
func (v *operatorView) watch(t *tailer.Tailer) {
	var sent time.Time
	note := func(err error) {
		if err != nil {
			v.noteFailure(t.Now())
		}
	}
	newest, read, apply := t.Newest, t.Read, t.Apply
	t.Newest = func(ctx context.Context) ([]accessor.Record, int64, error) {
		sent = t.Now()
		r, end, err := newest(ctx)
		note(err)
		return r, end, err
	}
	t.Read = func(ctx context.Context, from int64, wait time.Duration) ([]accessor.Record, int64, error) {
		sent = t.Now()
		r, end, err := read(ctx, from, wait)
		note(err)
		return r, end, err
	}
	t.Apply = func(b tailer.Batch) {
		apply(b)
		v.noteRead(sent)
	}
}

// refreshOperatorView reads the operator's topic if the view of it is too old to start tasks.
func (a *Assembler) refreshOperatorView(ctx context.Context) {
	limit := a.Settings.Evacuate * maxViewPercent / 100
	if limit <= 0 || a.view.age(a.Now()) <= limit {
		return
	}
	a.view.mu.Lock()
	defer a.view.mu.Unlock()
	if a.view.age(a.Now()) <= limit {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	a.metrics.Count("evacuations-refreshed", 1)
	if err := a.catchUpOperatorRecords(ctx); err != nil {
		a.log("read").WithError(err).Warn("can't read evacuations before a start; the last known ones hold")
	}
}

// startUnlessEvacuated sends a start unless the zone of its worker is evacuated: the scheduler
// may have decided it before it knew, and the start may have waited for a slot or a retry since.
func (a *Assembler) startUnlessEvacuated(ctx context.Context, f scheduler.Start, wait, margin time.Duration) scheduler.StartResult {
	a.refreshOperatorView(ctx)
	left := f.TimeLeft(a.Now())
	if a.evacuated.load().Evacuated(f.Zone) {
		a.metrics.Count("starts-dropped-by-evacuation", 1)
		left = -1
	}
	if left < 0 {
		return scheduler.StartResult{Start: f, Outcome: scheduler.OutcomeDropped}
	}
	return a.executors.Start(ctx, f, min(wait, left), margin)
}
