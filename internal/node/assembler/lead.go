package assembler

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/commander"
	"github.com/lacewingdoor/lacewingdoor/internal/node/elector"
	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

const (
	electorQueueSize = 64
	electionInterval = 200 * time.Millisecond // a quarter of the renewal interval
	claimTimeout     = time.Second            // of a claim or a release; a later one would be useless
	renewTimeout     = 500 * time.Millisecond // of a renewal; if it is stored, the topic shows it even without an answer
	storeRetryDelay  = 100 * time.Millisecond // between two attempts to read or store records as the leader
)

// electorEvent is input for the elector: new records, or a state change of the store.
type electorEvent struct {
	records      []accessor.Record
	next         int64
	storeChanged bool
	up           bool
}

func (a *Assembler) postClaims(b tailer.Batch) {
	a.electorEvents <- electorEvent{records: b.Records, next: b.Next}
}

// elect claims the leadership when it is vacant, and leads while it holds it. Once
// shutdown is closed it releases the leadership, but continues to lead until another VM
// has claimed it.
func (a *Assembler) elect(ctx context.Context, shutdown <-chan struct{}) {
	e := &elector.Elector{Self: a.Settings.VM, Instance: a.instance, Cores: a.Settings.Cores}
	t := time.NewTicker(electionInterval)
	defer t.Stop()
	leader := ""
	current := leadership{}
	a.unconfirmed = map[int64]time.Time{}
	for {
		select {
		case <-ctx.Done():
			current.end()
			return
		case <-shutdown:
			shutdown = nil
			e.Leave()
		case v := <-a.electorEvents:
			a.applyElectorEvent(e, v)
		case <-t.C:
		}
		switch e.Decide(a.Now()) {
		case elector.MakeClaim:
			a.claim(ctx, e, 0)
		case elector.Renew:
			a.claim(ctx, e, e.Epoch())
		case elector.Release:
			a.release(ctx, e)
		case elector.NoAction:
		}
		if l := e.Leader(); l != leader {
			leader = l
			a.log("elect").WithFields(logrus.Fields{"leader": l, "epoch": e.Epoch()}).Info("leader changed")
		}
		a.setClaimedParts(e.Parts())
		current = a.updateLeadership(ctx, e, current)
	}
}

// leadership is a term of this VM as the leader. The zero value is no leadership.
type leadership struct {
	epoch int64
	stop  context.CancelFunc
	done  chan struct{}
}

func (l leadership) end() {
	if l.stop != nil {
		l.stop()
		<-l.done
	}
}

// updateLeadership starts or ends a leadership to match the elector's state.
func (a *Assembler) updateLeadership(ctx context.Context, e *elector.Elector, l leadership) leadership {
	if e.Leading() && l.stop != nil && l.epoch == e.Epoch() {
		select {
		case <-l.done: // the others see a leader, but nothing schedules
			e.End(l.epoch)
		default:
			return l
		}
	}
	l.end()
	if !e.Leading() {
		return leadership{}
	}
	x, cancel := context.WithCancel(ctx)
	n := leadership{epoch: e.Epoch(), stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		a.lead(x, n.epoch)
	}()
	return n
}

func (a *Assembler) applyElectorEvent(e *elector.Elector, v electorEvent) {
	now := a.Now()
	if v.storeChanged {
		e.SetStoreUp(now, v.up)
		return
	}
	for _, r := range v.records {
		c, err := elector.Decode(r.Offset, r.Value)
		if err != nil {
			a.logMalformed(r.Key, r.Offset, err)
			continue
		}
		e.Apply(now, r.Offset, c)
		a.confirm(c)
	}
	e.CaughtUp(now, v.next)
}

// confirm tells the scheduler the send time of a claim or renewal of this process that is
// in the topic, even if the answer to the append was lost.
func (a *Assembler) confirm(c elector.Claim) {
	sent, ok := a.unconfirmed[c.Number]
	if c.Instance != a.instance || !ok {
		return
	}
	for n := range a.unconfirmed {
		if n <= c.Number {
			delete(a.unconfirmed, n)
		}
	}
	a.lastConfirmed.Store(&sent)
	a.commander.Post(scheduler.Confirmed{Sent: sent})
}

// claim appends a claim if epoch is 0, else a renewal.
func (a *Assembler) claim(ctx context.Context, e *elector.Elector, epoch int64) {
	a.claimNumber++
	c := elector.Claim{Holder: a.Settings.VM, Instance: a.instance, Epoch: epoch, Number: a.claimNumber, Parts: a.numParts()}
	timeout := claimTimeout
	if epoch != 0 {
		timeout = renewTimeout
	}
	x, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.unconfirmed[c.Number] = a.Now()
	offset, err := a.appendClaim(x, c, e.NextOffset())
	if errors.Is(err, accessor.ErrOffsetMismatch) {
		a.readClaims(x, e)
		if epoch != 0 && e.Leading() && e.Epoch() == epoch { // an earlier renewal was stored without an answer
			offset, err = a.appendClaim(x, c, e.NextOffset())
		}
	}
	if err != nil {
		if epoch == 0 {
			a.log("elect").WithField("at", e.NextOffset()).WithError(err).Info("leadership claim failed")
		}
		return
	}
	if epoch == 0 {
		c.Epoch = offset + 1
	}
	e.Apply(a.Now(), offset, c)
	a.confirm(c)
}

// readClaims reads the claims that other VMs have appended since the last read.
func (a *Assembler) readClaims(ctx context.Context, e *elector.Elector) {
	records, _, err := a.store.Read(ctx, platform.WireTopic(topicLeader), e.NextOffset(), 0)
	if err != nil {
		a.log("elect").WithField("from", e.NextOffset()).WithError(err).Info("can't read the leadership claims of other VMs")
		return
	}
	a.applyElectorEvent(e, electorEvent{records: records, next: e.NextOffset() + int64(len(records))})
}

func (a *Assembler) appendClaim(ctx context.Context, c elector.Claim, expectedEnd int64) (int64, error) {
	b, err := c.Encode()
	if err != nil {
		return 0, err
	}
	return a.store.Append(ctx, accessor.Append{
		Topic: platform.WireTopic(topicLeader), ExpectedEnd: expectedEnd, Records: []accessor.Record{{Key: keyLeader, Value: b}},
	})
}

// release tells the other VMs that they may claim the leadership.
func (a *Assembler) release(ctx context.Context, e *elector.Elector) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	now := a.Now()
	a.releasedAt.CompareAndSwap(nil, &now)
	if err := a.commander.PostAndWait(ctx, scheduler.Released{At: *a.releasedAt.Load()}); err != nil {
		a.log("elect").WithField("epoch", e.Epoch()).WithError(err).Warn("leadership is not released: jobs read meanwhile might start twice")
		return
	}
	c := elector.Claim{Holder: a.Settings.VM, Instance: a.instance, Epoch: e.Epoch(), Released: true, Parts: a.numParts()}
	offset, err := a.appendClaim(ctx, c, e.NextOffset())
	if errors.Is(err, accessor.ErrOffsetMismatch) {
		a.readClaims(ctx, e) // a renewal or the release itself was stored without an answer
	}
	if err != nil {
		a.log("elect").WithField("epoch", e.Epoch()).WithError(err).Warn("can't release the leadership; retrying")
		return
	}
	e.Apply(a.Now(), offset, c)
	a.log("elect").WithField("epoch", e.Epoch()).Info("leadership released")
}

// lead runs the scheduler as the leader until the context ends or another VM has become
// the leader.
func (a *Assembler) lead(ctx context.Context, epoch int64) {
	began := a.Now()
	l := a.log("lead").WithField("epoch", epoch)
	l.Info("leadership started")
	a.leading.Store(true)
	defer a.leading.Store(false)
	w := &progressWriter{assembler: a, epoch: epoch}
	a.parts.beginTerm(a.numParts())
	defer a.parts.endTerm()
	x, cancel := context.WithCancel(ctx)
	var following sync.WaitGroup
	defer following.Wait() // what was read in this term must not reach the next one
	defer cancel()
	if err := w.takeOver(x, &following); err != nil {
		l.WithError(err).Info("leadership ended before the scheduler started")
		return
	}
	a.readOperatorRecords(ctx)
	storedWaves, loans := a.readWavesAndLoans(ctx)
	s := &scheduler.Scheduler{
		Settings: scheduler.Settings{
			Lease: a.Settings.Lease, GangTimeout: a.Settings.GangTimeout, StopTime: a.Settings.StopTime, Evacuate: a.Settings.Evacuate,
			Machines: a.Settings.MachineService != "",
		},
		Epoch: epoch, LeadingSince: a.Now(), ConfirmedAt: a.Now(), JobsUnread: !a.parts.allRead(),
		InheritedSpeeds: a.readSpeeds(ctx),
	}
	if sent := a.lastConfirmed.Load(); sent != nil {
		s.ConfirmedAt = *sent
	}
	a.commander.StoreProgress = w.store
	a.commander.DeleteJobs = w.deleteJobs
	err := a.commander.Lead(x, s, func() []scheduler.Event {
		following.Go(func() { a.followWorkers(x) })
		initial := append(a.initialEvents(), scheduler.WavesChanged{Waves: storedWaves},
			scheduler.WavesChanged{Waves: a.waves.list()}, // those read since; the scheduler ignores the ones that it knows
			scheduler.LoansRestored{Loans: loans})
		if s.JobsUnread && a.parts.allRead() {
			initial = append(initial, scheduler.JobsRead{}) // no event could tell it before
		}
		return initial
	})
	cancel()
	a.evacuated.seen.Store(nil)
	following.Wait()
	a.countSpeeds(0, 0)
	now := a.Now()
	l.WithError(err).WithFields(logrus.Fields{
		"after-ms": now.Sub(began).Milliseconds(), "released": a.releasedAt.Load() != nil, "unconfirmed-ms": now.Sub(s.ConfirmedAt).Milliseconds(),
		"leases-end-ms": max(0, s.GrantedUntil().Sub(now).Milliseconds()),
	}).Info("leadership ended")
}

// initialEvents returns the configuration and all known jobs as events.
func (a *Assembler) initialEvents() []scheduler.Event {
	var all []scheduler.Event
	if at := a.releasedAt.Load(); at != nil {
		all = append(all, scheduler.Released{At: *at}) // there was no scheduler yet that release could tell
	}
	if c := a.config.Load(); c != nil {
		all = append(all, scheduler.ConfigChanged{Config: c.SchedulerConfig()})
	}
	all = append(all, a.evacuated.event())
	for _, e := range a.registrar.Entries() {
		all = append(all, a.submittedEvent(e))
	}
	return all
}

// followWorkers posts the list of workers to the scheduler whenever it changes.
func (a *Assembler) followWorkers(ctx context.Context) {
	w := &workerList{now: a.Now}
	a.postRecentWorkers(ctx)
	pause := func(time.Duration) time.Duration { return workersReadPause }
	t := a.newTailer(platform.TopicExecutors, readWait, pause, func(b tailer.Batch) {
		if !w.apply(b, a.logMalformed) {
			return
		}
		all := slices.SortedFunc(maps.Values(w.byID), func(x, y scheduler.WorkerInfo) int { return cmp.Compare(x.ID, y.ID) })
		a.commander.Post(scheduler.WorkersListed{Workers: all})
	})
	t.Run(ctx)
}

// progressWriter stores the progress of jobs in the epoch of the leader.
type progressWriter struct {
	assembler *Assembler
	epoch     int64
	deletions deletions

	mu       sync.Mutex // serialises appends, as each uses the next sequence number
	sequence int64
}

const writerName = "leader"

const (
	maxProgressBytes = 512 << 10 // of one append; the store takes 2 MB, and a link of 10 Mbit/s needs 0.4 s for this
	recordOverhead   = 5         // bytes of a record besides its key and value
)

// takeOver fences earlier leaders, which can then no longer store progress, and reads all
// stored progress and jobs.
func (w *progressWriter) takeOver(ctx context.Context, following *sync.WaitGroup) error {
	if err := w.append(ctx, nil); err != nil {
		return err
	}
	for _, t := range []string{registrar.TopicProgress, registrar.TopicJobs} {
		for {
			err := w.assembler.catchUp(ctx, t)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return err
			}
			w.assembler.log("lead").WithError(err).Warn("can't read stored jobs and progress; retrying")
			_ = sleeper.Sleep(ctx, storeRetryDelay) // fails only when the context ends
		}
	}
	w.assembler.parts.setBoundary(0, w.assembler.nextOffset(0))
	if !w.assembler.readOtherParts(ctx, following) {
		return nil // the progress that seems to be left over may be of jobs that are not read yet
	}
	return w.deleteLeftovers(ctx)
}

// append appends records in the writer's epoch, and retries until they are stored.
func (w *progressWriter) append(ctx context.Context, records []accessor.Record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		_, err := w.assembler.store.Append(ctx, accessor.Append{
			Topic: platform.WireTopic(registrar.TopicProgress), Records: records, ExpectedEnd: accessor.AnyOffset,
			Writer: accessor.Writer{Name: writerName, Epoch: w.epoch, Sequence: w.sequence},
		})
		var s *accessor.SequenceError
		switch {
		case err == nil:
			if len(records) > 0 {
				w.sequence++
			}
			return nil
		case errors.Is(err, accessor.ErrFenced):
			return errors.Join(commander.ErrLeadershipLost, err)
		case errors.As(err, &s):
			w.assembler.log("store").WithError(err).WithField("sequence", w.sequence).Warn("sequence number mismatch; using the number that the store expects")
			w.sequence = s.Expected
		case ctx.Err() != nil:
			return err
		default:
			w.assembler.log("store").WithError(err).Warn("can't store progress; retrying")
		}
		_ = sleeper.Sleep(ctx, storeRetryDelay) // fails only when the context ends
	}
}

// store stores the progress of jobs, in several appends if it is too much for one. Until all are
// stored, the scheduler relies on none.
func (w *progressWriter) store(ctx context.Context, all map[string]scheduler.Progress) error {
	var records []accessor.Record
	size := 0
	for _, id := range slices.Sorted(maps.Keys(all)) {
		r, err := w.progressRecord(id, all[id])
		if err != nil {
			return err
		}
		n := recordOverhead + len(r.Key) + len(r.Value)
		if size+n > maxProgressBytes && len(records) > 0 {
			if err := w.append(ctx, records); err != nil {
				return err
			}
			records, size = nil, 0
		}
		records = append(records, r)
		size += n
	}
	return w.append(ctx, records)
}

// progressRecord returns the record of a job's progress. If the store would not take it, it leaves
// out what a later leader can do without.
func (w *progressWriter) progressRecord(id string, p scheduler.Progress) (accessor.Record, error) {
	for level := 0; ; level++ {
		r, err := registrar.ProgressRecord(id, p)
		if err != nil {
			return r, err
		}
		if int64(len(r.Key)+len(r.Value)) <= w.assembler.maxRecord() {
			return r, nil
		}
		smaller, left := p.Reduced(level)
		if left == "" {
			return r, nil // the store refuses it, and the refusal is logged
		}
		w.assembler.log("store").WithField("job", id).WithField("left-out", left).Warn("progress of a job is too large for the store")
		p = smaller
	}
}
