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
	claimEvents  = 64
	electionTick = 200 * time.Millisecond // a quarter of the time between renewals
	claimTimeout = time.Second            // of a claim; a later one would not help
	renewTimeout = 500 * time.Millisecond // of a renewal; one without an answer is known from the topic, if it was made
	retryStore   = 100 * time.Millisecond // between two tries to store progress
)

// claimEvent is news for the elector.
type claimEvent struct {
	records      []accessor.Record
	next         int64
	storeChanged bool
	up           bool
}

func (a *Assembler) takeClaims(b tailer.Batch) {
	a.claims <- claimEvent{records: b.Records, next: b.Next}
}

// elect claims the leadership when it is free, and leads while it holds it. Once
// leave is closed it releases the leadership, and leads on until another VM has
// claimed it.
func (a *Assembler) elect(ctx context.Context, leave <-chan struct{}) {
	e := &elector.Elector{Self: a.Settings.VM, Life: a.life, Cores: a.Settings.Cores}
	t := time.NewTicker(electionTick)
	defer t.Stop()
	leader := ""
	current := leadership{}
	a.sent = map[int64]time.Time{}
	for {
		select {
		case <-ctx.Done():
			current.end()
			return
		case <-leave:
			leave = nil
			e.Leave()
			a.release(ctx, e)
		case v := <-a.claims:
			a.takeClaim(e, v)
		case <-t.C:
		}
		switch e.Decide(a.Now()) {
		case elector.MakeClaim:
			a.claim(ctx, e, 0)
		case elector.Renew:
			a.claim(ctx, e, e.Epoch())
		case elector.Nothing:
		}
		if l := e.Leader(); l != leader {
			leader = l
			a.log("elect").WithFields(logrus.Fields{"leader": l, "epoch": e.Epoch()}).Info("leader changed")
		}
		current = a.follows(ctx, e, current)
	}
}

// leadership is a running leadership of this VM.
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

// follows starts or ends the leadership that the elector says.
func (a *Assembler) follows(ctx context.Context, e *elector.Elector, l leadership) leadership {
	if e.Leading() && l.stop != nil && l.epoch == e.Epoch() {
		return l
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

func (a *Assembler) takeClaim(e *elector.Elector, v claimEvent) {
	now := a.Now()
	if v.storeChanged {
		e.StoreChanged(now, v.up)
		return
	}
	for _, r := range v.records {
		c, err := elector.Decode(r.Offset, r.Value)
		if err != nil {
			a.malformed(r.Key, r.Offset, err)
			continue
		}
		e.Take(now, r.Offset, c)
		a.confirm(c)
	}
	e.Reached(now, v.next)
}

// confirm tells the scheduler when a claim or renewal was sent that the store has
// taken, also if its answer was lost.
func (a *Assembler) confirm(c elector.Claim) {
	sent, ok := a.sent[c.Number]
	if c.Life != a.life || !ok {
		return
	}
	for n := range a.sent {
		if n <= c.Number {
			delete(a.sent, n)
		}
	}
	a.confirmed.Store(&sent)
	a.commander.Post(scheduler.Confirmed{Sent: sent})
}

// claim appends a claim, or a renewal of one.
func (a *Assembler) claim(ctx context.Context, e *elector.Elector, epoch int64) {
	a.claimed++
	c := elector.Claim{Holder: a.Settings.VM, Life: a.life, Epoch: epoch, Number: a.claimed}
	limit := claimTimeout
	if epoch != 0 {
		limit = renewTimeout
	}
	x, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a.sent[c.Number] = a.Now()
	offset, err := a.appendClaim(x, c, e.Next())
	if errors.Is(err, accessor.ErrMoved) {
		a.readClaims(x, e)
	}
	if err != nil {
		if epoch == 0 {
			a.log("elect").WithField("at", e.Next()).WithError(err).Info("claim was not taken")
		}
		return
	}
	if epoch == 0 {
		c.Epoch = offset + 1
	}
	e.Take(a.Now(), offset, c)
	a.confirm(c)
}

// readClaims reads at once what other VMs have claimed meanwhile.
func (a *Assembler) readClaims(ctx context.Context, e *elector.Elector) {
	records, _, err := a.store.Read(ctx, platform.OwnTopic(topicLeader), e.Next(), 0)
	if err != nil {
		a.log("elect").WithField("from", e.Next()).WithError(err).Info("claims of others can't be read")
		return
	}
	a.takeClaim(e, claimEvent{records: records, next: e.Next() + int64(len(records))})
}

func (a *Assembler) appendClaim(ctx context.Context, c elector.Claim, at int64) (int64, error) {
	b, err := c.Encode()
	if err != nil {
		return 0, err
	}
	return a.store.Append(ctx, accessor.Append{
		Topic: platform.OwnTopic(topicLeader), At: at, Records: []accessor.Record{{Key: keyLeader, Value: b}},
	})
}

// release tells the other VMs that the leadership is free.
func (a *Assembler) release(ctx context.Context, e *elector.Elector) {
	if !e.Leading() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := elector.Claim{Holder: a.Settings.VM, Life: a.life, Epoch: e.Epoch(), Released: true}
	offset, err := a.appendClaim(ctx, c, e.Next())
	if err != nil {
		a.log("elect").WithField("epoch", e.Epoch()).WithError(err).Warn("leadership could not be released")
		return
	}
	e.Take(a.Now(), offset, c)
	a.log("elect").WithField("epoch", e.Epoch()).Info("leadership is released")
}

// lead runs one leadership until the context ends or another VM leads.
func (a *Assembler) lead(ctx context.Context, epoch int64) {
	began := a.Now()
	l := a.log("lead").WithField("epoch", epoch)
	l.Info("leadership begins")
	a.leading.Store(true)
	defer a.leading.Store(false)
	w := &writer{assembler: a, epoch: epoch}
	if err := w.begin(ctx); err != nil {
		l.WithError(err).Info("leadership ended before it began")
		return
	}
	stored, loans := a.storedDuties(ctx)
	old, _ := a.registrar.Next(registrar.TopicJobs)
	s := &scheduler.Scheduler{
		Settings: scheduler.Settings{
			Lease: a.Settings.Lease, GangTimeout: a.Settings.GangTimeout, StopTime: a.Settings.StopTime,
			Machines: a.Settings.Cloud != "",
		},
		Epoch: epoch, Began: a.Now(), Old: old - 1, Confirmed: a.Now(),
	}
	if sent := a.confirmed.Load(); sent != nil {
		s.Confirmed = *sent
	}
	a.commander.Store = w.store
	a.commander.Forget = w.forget
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	err := a.commander.Lead(x, s, func() []scheduler.Event {
		go a.followWorkers(x)
		return append(a.firstEvents(), scheduler.WavesChanged{Waves: stored}, scheduler.LoansKnown{Loans: loans})
	})
	l.WithError(err).WithField("after-ms", a.Now().Sub(began).Milliseconds()).Info("leadership ended")
}

// firstEvents returns what a new leader knows.
func (a *Assembler) firstEvents() []scheduler.Event {
	var all []scheduler.Event
	if c := a.config.Load(); c != nil {
		all = append(all, scheduler.ConfigChanged{Terms: c.Terms()})
	}
	for _, e := range a.registrar.Entries() {
		all = append(all, submitted(e))
	}
	return all
}

// followWorkers follows the list of workers for the scheduler.
func (a *Assembler) followWorkers(ctx context.Context) {
	w := &workers{}
	a.listLapsed(ctx)
	rest := func(time.Duration) time.Duration { return workersRest }
	t := a.tailer(platform.TopicExecutors, readWait, rest, func(b tailer.Batch) {
		if !w.take(b, a.malformed) {
			return
		}
		all := slices.SortedFunc(maps.Values(w.byID), func(x, y scheduler.Listed) int { return cmp.Compare(x.ID, y.ID) })
		a.commander.Post(scheduler.WorkersListed{Workers: all})
	})
	t.Run(ctx)
}

// writer stores what the leader decides, in its epoch.
type writer struct {
	assembler *Assembler
	epoch     int64

	mu       sync.Mutex // one append at a time, as each takes the next sequence number
	sequence int64
}

const writerName = "leader"

// begin shuts out earlier leaders from the topic of progress, and reads all that
// they and the callers have stored.
func (w *writer) begin(ctx context.Context) error {
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
			w.assembler.log("lead").WithError(err).Warn("what is stored can't be read yet")
			_ = sleeper.Sleep(ctx, retryStore) // ends early with the context only
		}
	}
	return nil
}

// append appends records in the own epoch until the store has them.
func (w *writer) append(ctx context.Context, records []accessor.Record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		_, err := w.assembler.store.Append(ctx, accessor.Append{
			Topic: platform.OwnTopic(registrar.TopicProgress), Records: records, At: accessor.Anywhere,
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
			return errors.Join(commander.ErrOutranked, err)
		case errors.As(err, &s):
			w.assembler.log("store").WithError(err).WithField("sequence", w.sequence).Warn("sequence number is taken over from the store")
			w.sequence = s.Expected
		case ctx.Err() != nil:
			return err
		default:
			w.assembler.log("store").WithError(err).Warn("progress is not stored yet")
		}
		_ = sleeper.Sleep(ctx, retryStore) // ends early with the context only
	}
}

func (w *writer) store(ctx context.Context, all map[string]scheduler.Progress) error {
	var records []accessor.Record
	for _, id := range slices.Sorted(maps.Keys(all)) {
		r, err := registrar.ProgressRecord(id, all[id])
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	return w.append(ctx, records)
}

// forget drops what is stored of jobs that ended long ago.
func (w *writer) forget(ctx context.Context, jobs []string) {
	var records, progress []accessor.Record
	for _, id := range jobs {
		records = append(records, registrar.ForgetRecords(id)...)
		progress = append(progress, accessor.Record{Key: id})
	}
	if err := errors.Join(w.assembler.appendJobs(ctx, records), w.append(ctx, progress)); err != nil {
		w.assembler.log("store").WithError(err).Warn("old jobs stay in the store")
	}
}
