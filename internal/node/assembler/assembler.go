// Package assembler puts an entry VM on the users' platform together: it connects
// the deciding packages with the adapter in package platform.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/commander"
	"github.com/lacewingdoor/lacewingdoor/internal/node/gatekeeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/relayer"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
	"github.com/lacewingdoor/lacewingdoor/recorder"
)

// topicLeader holds the claims to leadership; its keys are of one kind.
const (
	topicLeader = "leader"
	keyLeader   = "leader"
)

// Assembler is one entry VM. Its fields are set before Run.
type Assembler struct {
	Settings platform.Settings
	Logger   *logrus.Logger
	Dropped  func() int64 // log lines that were left out
	Now      func() time.Time

	life      string // of this process
	client    *platform.Client
	store     accessor.Access
	relayer   *relayer.Relayer
	peers     *peers
	waves     waves
	executors *platform.Executors
	registrar *registrar.Registrar
	commander *commander.Commander
	gate      *gatekeeper.Gatekeeper
	metrics   *recorder.Recorder

	config    atomic.Pointer[gatekeeper.Config]
	storeDown atomic.Int64 // Unix time in milliseconds since when the store fails, 0 when it answers
	leaving   atomic.Bool
	leading   atomic.Bool
	claims    chan claimEvent
	claimed   int64                     // claims and renewals made
	sent      map[int64]time.Time       // when those were sent that the store has not taken yet, by number
	confirmed atomic.Pointer[time.Time] // when the last one was sent that the store has taken
}

// Run serves until the context ends, and then shuts down gracefully.
func (a *Assembler) Run(ctx context.Context) error {
	a.assemble()
	a.log("start").WithFields(logrus.Fields{"zone": a.Settings.Zone, "store": a.Settings.Store, "life": a.life}).Info("entry VM starts")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	front, err := a.listen(work, g)
	if err != nil {
		return err
	}
	a.follow(work, g)
	g.Go(func() error {
		a.elect(work, ctx.Done())
		return nil
	})
	select {
	case <-ctx.Done():
	case <-work.Done():
		stop()
		return g.Wait()
	}
	a.leaving.Store(true)
	a.log("stop").Info("entry VM leaves: it is not ready any more")
	a.drain(context.WithoutCancel(ctx), front)
	stop()
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	a.log("stop").WithField("dropped-lines", a.Dropped()).Info("entry VM has stopped")
	return nil
}

func (a *Assembler) assemble() {
	a.life = uuid.NewString()
	a.client = &platform.Client{Store: a.Settings.Store}
	a.peers = &peers{self: a.Settings.Peers, seeds: a.Settings.Seeds}
	a.relayer = &relayer.Relayer{
		Direct:  (&platform.Store{Client: a.client, Address: a.Settings.Store}).Access(),
		Peer:    a.peers.access,
		Peers:   a.peers.list,
		Changed: a.directChanged,
		Now:     a.Now,
	}
	a.store = a.relayer.Access()
	a.metrics = recorder.New()
	a.executors = &platform.Executors{Client: a.client, Failed: a.callFailed}
	a.registrar = registrar.New()
	a.registrar.Malformed = a.malformed
	a.claims = make(chan claimEvent, claimEvents)
	adviser := &platform.Adviser{Client: a.client, Address: a.Settings.Advice, Failed: func(step string, err error) {
		a.log("advise").WithField("for", step).WithError(err).Warn("advice was not given")
	}}
	cloud := &platform.Cloud{Client: a.client, Address: a.Settings.Cloud, VM: a.Settings.VM, Failed: func(step string, err error) {
		a.log("cloud").WithField("call", step).WithError(err).Warn("call about machines failed")
	}}
	a.commander = &commander.Commander{
		Hold: func(ctx context.Context, h scheduler.Hold) scheduler.Held {
			return a.executors.Hold(ctx, h, a.Now)
		},
		Start: a.executors.Start,
		Stop:  a.executors.Stop,
		Pace:  a.executors.Pace,
		Advise: func(ctx context.Context, v scheduler.Advise) scheduler.Advised {
			return adviser.Advise(ctx, v, a.Now)
		},
		List:   cloud.List,
		Upkeep: cloud.Upkeep,
		Move:   cloud.Move,
		Wave:   a.storeWave,
		Loans:  a.storeLoans,
		Note:   a.note,
		Took: func(what string, d time.Duration) {
			a.metrics.Observe(recorder.Series{Measure: what}, d)
		},
		Now: a.Now,
	}
	a.registrar.Submitted = func(e registrar.Entry) { a.commander.Post(submitted(e)) }
	a.registrar.Cancelled = func(id string) { a.commander.Post(scheduler.Cancelled{Job: id}) }
	a.gate = &gatekeeper.Gatekeeper{
		Config: a.config.Load, Registrar: a.registrar, Now: a.Now,
		StoreJob: a.storeJob, StoreEnd: a.storeCancel, Refresh: a.refresh,
		Look: (&looker{Read: a.readProgress, Now: a.Now, Slow: a.toldStale}).look,
	}
}

func submitted(e registrar.Entry) scheduler.Submitted {
	return scheduler.Submitted{
		Job: e.Job, Offset: e.Offset, Progress: e.Progress, Cancelled: e.Cancelled, Occurrences: e.Occurrences,
	}
}

func (a *Assembler) log(step string) *logrus.Entry {
	return a.Logger.WithFields(logrus.Fields{"step": step, "vm": a.Settings.VM})
}

// note logs a decision of the scheduler.
func (a *Assembler) note(n scheduler.Noted) {
	e := a.log("schedule")
	if n.Job != "" {
		e = e.WithField("job", n.Job)
	}
	if n.Worker != "" {
		e = e.WithField("worker", n.Worker)
	}
	if n.Run != 0 {
		e = e.WithFields(logrus.Fields{"task": fmt.Sprintf("%d.%d", n.Task.Step, n.Task.Index), "run": n.Run})
	}
	e.WithFields(logrus.Fields(n.Details)).Info(n.Message)
}

func (a *Assembler) callFailed(step, executor string, err error) {
	a.metrics.Count("executor-calls-failed", 1)
	if errors.Is(err, context.Canceled) {
		return // the leadership ended
	}
	a.log("call").WithFields(logrus.Fields{"call": step, "worker": executor}).WithError(err).Warn("call to a worker got no answer")
}

func (a *Assembler) malformed(key string, offset int64, err error) {
	a.log("read").WithFields(logrus.Fields{"key": key, "offset": offset}).WithError(err).Warn("record is skipped")
}

// storeOrSee appends records of jobs. When the answer is late it reads what is stored,
// and ends once the records are there: then only the answer was lost.
func (a *Assembler) storeOrSee(ctx context.Context, records []accessor.Record, seen func() bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- a.appendJobs(ctx, records) }()
	t := time.NewTicker(seenPause)
	defer t.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-t.C:
			if a.refresh(ctx) == nil && seen() {
				a.metrics.Count("appends-seen", 1)
				return nil
			}
		}
	}
}

// appendJobs appends records of jobs until the store has answered or the context
// ends. The records may be appended twice, which changes nothing.
func (a *Assembler) appendJobs(ctx context.Context, records []accessor.Record) error {
	uncertain := false
	for {
		_, err := a.store.Append(ctx, accessor.Append{Topic: platform.OwnTopic(registrar.TopicJobs), Records: records, At: accessor.Anywhere})
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
		time.Sleep(appendPause)
	}
}

const (
	appendPause = 50 * time.Millisecond  // between two tries of an append
	seenPause   = 150 * time.Millisecond // until the store is asked for what a call was to store; it answers in 10 ms on good days
)

func (a *Assembler) storeJob(ctx context.Context, j scheduler.Job) error {
	r, err := registrar.JobRecord(j)
	if err != nil {
		return fmt.Errorf("%w: %w", gatekeeper.ErrNotStored, err)
	}
	return a.storeOrSee(ctx, []accessor.Record{r}, func() bool {
		_, ok := a.registrar.Get(j.ID)
		return ok
	})
}

func (a *Assembler) storeCancel(ctx context.Context, id string) error {
	return a.storeOrSee(ctx, []accessor.Record{registrar.CancelRecord(id)}, func() bool {
		e, ok := a.registrar.Get(id)
		return ok && e.Cancelled
	})
}

// refresh returns once all jobs are read that were stored before the call.
func (a *Assembler) refresh(ctx context.Context) error {
	return a.catchUp(ctx, registrar.TopicJobs)
}

// toldStale logs that callers are told states as they were read before.
func (a *Assembler) toldStale(err error) {
	a.metrics.Count("states-told-stale", 1)
	a.log("answer").WithError(err).WithField("for-ms", lookPause.Milliseconds()).Warn("states are told as they were read before")
}

// readProgress returns once all progress is read that was stored before the call.
func (a *Assembler) readProgress(ctx context.Context) error {
	return a.catchUp(ctx, registrar.TopicProgress)
}

// catchUp reads a topic to its present end. It does not rely on the read that
// waits for records: the store may leave such a read without an answer.
func (a *Assembler) catchUp(ctx context.Context, topic string) error {
	take := a.registrar.TakeProgress
	if topic == registrar.TopicJobs {
		take = a.registrar.TakeJobs
	}
	next, _ := a.registrar.Next(topic)
	if err := tailer.CatchUp(ctx, a.store, platform.OwnTopic(topic), next, take); err != nil {
		return fmt.Errorf("catch up with %s: %w", topic, err)
	}
	return nil
}
