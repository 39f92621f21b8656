// Package assembler runs an entry VM on the users' platform: it connects the scheduler,
// the elector and the gatekeeper with the adapter in package platform.
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
	"golang.org/x/time/rate"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/acceptor"
	"github.com/lacewingdoor/lacewingdoor/internal/node/commander"
	"github.com/lacewingdoor/lacewingdoor/internal/node/gatekeeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/relayer"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
	"github.com/lacewingdoor/lacewingdoor/recorder"
)

// topicLeader holds the leadership claims; all records have the key keyLeader.
const (
	topicLeader = "leader"
	keyLeader   = "leader"
)

// Assembler is one entry VM. Its exported fields are set before Run is called.
type Assembler struct {
	Settings platform.Settings
	Logger   *logrus.Logger
	Dropped  func() int64 // number of dropped log lines
	Now      func() time.Time

	// JobMemoryMB is the memory that accepted jobs may take on each VM, 0 for the default. It
	// must be the same on all VMs, and the smallest VM must have room for it.
	JobMemoryMB int

	instance   string // identifies this process
	client     *platform.Client
	store      accessor.Client
	relayer    *relayer.Relayer
	peers      *peers
	waves      waves
	evacuated  evacuations
	view       operatorView
	speeds     workerSpeeds
	executors  *platform.Executors
	registrar  *registrar.Registrar
	commander  *commander.Commander
	gatekeeper *gatekeeper.Gatekeeper
	admission  *admission
	metrics    *recorder.Recorder
	acceptors  []*acceptor.Acceptor // of all listeners, set before they serve

	answerLines *rate.Limiter // of log lines for answers other than 200

	config         atomic.Pointer[gatekeeper.Config]
	storeDownSince atomic.Int64 // Unix time in milliseconds when the current outage of the store began, 0 if there is none
	leaving        atomic.Bool
	operatorRead   atomic.Bool  // the operator's topic was read at least once
	operatorNext   atomic.Int64 // offset from which it was not read yet
	leading        atomic.Bool
	releasedAt     atomic.Pointer[time.Time] // when this process began to release the leadership, nil before
	electorEvents  chan electorEvent
	parts          parts
	partsRead      sharedRead
	claimNumber    int64                     // number of claims and renewals sent
	unconfirmed    map[int64]time.Time       // send times of claims and renewals that are not known to be stored, by number
	lastConfirmed  atomic.Pointer[time.Time] // send time of the newest stored claim or renewal
}

// Run serves requests until the context ends, then shuts down gracefully.
func (a *Assembler) Run(ctx context.Context) error {
	a.assemble()
	a.log("start").WithFields(logrus.Fields{"zone": a.Settings.Zone, "store": a.Settings.Store, "life": a.instance}).Info("entry VM is starting")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	callerServer, err := a.listen(work, g)
	if err != nil {
		return err
	}
	a.followTopics(work, g)
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
	a.log("stop").Info("entry VM is shutting down and reports that it is not ready")
	a.drain(context.WithoutCancel(ctx), callerServer)
	stop()
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	a.log("stop").WithField("dropped-lines", a.Dropped()).Info("entry VM has stopped")
	return nil
}

func (a *Assembler) assemble() {
	a.instance = uuid.NewString()
	a.client = &platform.Client{Store: a.Settings.Store}
	a.peers = &peers{self: a.Settings.Peers, seeds: a.Settings.Seeds}
	a.relayer = a.newRelayer()
	a.store = a.relayer.StoreClient()
	a.metrics = recorder.New()
	a.answerLines = rate.NewLimiter(answerLineRate, answerLineBurst)
	a.executors = &platform.Executors{Client: a.client, CallFailed: a.recordCallFailure}
	a.registrar = registrar.New()
	a.registrar.Malformed = a.logMalformed
	a.admission = newAdmission(a)
	a.electorEvents = make(chan electorEvent, electorQueueSize)
	adviser := &platform.Adviser{Client: a.client, Address: a.Settings.Advice, CallFailed: func(step string, err error) {
		a.log("advise").WithField("for", step).WithError(err).Warn("placement advice request failed")
	}}
	machineService := &platform.MachineService{Client: a.client, Address: a.Settings.MachineService, VM: a.Settings.VM, CallFailed: func(step string, err error) {
		a.log("cloud").WithField("call", step).WithError(err).Warn("machine API call failed")
	}}
	a.commander = &commander.Commander{
		Hold: func(ctx context.Context, h scheduler.Hold, margin time.Duration) scheduler.HoldResult {
			return a.executors.Hold(ctx, h, margin, a.Now)
		},
		Start: a.startUnlessEvacuated,
		Stop:  a.executors.Stop,
		Pace:  a.executors.Pace,
		Advise: func(ctx context.Context, v scheduler.Advise) scheduler.AdviceResult {
			return adviser.Advise(ctx, v, a.Now)
		},
		ListMachines:      machineService.List,
		BeginUpkeep:       machineService.Upkeep,
		MoveMachine:       machineService.Move,
		StoreWave:         a.storeWave,
		StoreLoans:        a.storeLoans,
		ReportSpeeds:      a.reportSpeeds,
		LogDecision:       a.logDecision,
		ReportEvacuations: func(e scheduler.EvacuationsReported) { a.evacuated.seen.Store(&e) },
		ObserveDuration: func(measure string, d time.Duration) {
			a.metrics.Observe(recorder.Series{Measure: measure}, d)
		},
		Now: a.Now,
	}
	a.registrar.Submitted = func(e registrar.Entry) { a.commander.Post(a.submittedEvent(e)) }
	a.registrar.Cancelled = func(id string) { a.commander.Post(scheduler.Cancelled{Job: id}) }
	a.gatekeeper = &gatekeeper.Gatekeeper{
		Config: a.config.Load, Registrar: a.registrar, Now: a.Now,
		StoreJob: a.storeJob, StoreCancellation: a.storeCancellation, CatchUpJobs: a.catchUpJobs,
		RetryAfter: retryAfter, RoomRetryAfter: roomRetryAfter,
		CatchUpProgress: (&progressReader{Read: a.catchUpProgress, Now: a.Now, Failed: a.recordStaleStatus}).read,
	}
	if a.numParts() > 1 {
		a.gatekeeper.CatchUpOtherParts = a.catchUpOtherParts
	}
}

func (a *Assembler) newRelayer() *relayer.Relayer {
	return &relayer.Relayer{
		Direct:        a.directStore(0),
		Served:        a.directStore(relayer.ServedPageKB),
		Charge:        acceptor.Charge,
		Peer:          a.peers.client,
		Peers:         a.peers.list,
		DirectChanged: a.logDirectAccess,
		Now:           a.Now,
		Recovered:     a.notePartRecovered,
		ProbeInterval: a.probeInterval,
	}
}

// directStore returns the client that calls the store directly, with a limit of its reads in
// kilobytes, 0 for the store's own.
func (a *Assembler) directStore(pageKB int) accessor.Client {
	return (&platform.Store{Client: a.client, Address: a.Settings.Store, LinkMbps: a.Settings.LinkMbps, PageKB: pageKB}).StoreClient()
}

// submittedEvent returns the event for a job that was read in the present term, if there is one.
func (a *Assembler) submittedEvent(e registrar.Entry) scheduler.Submitted {
	return scheduler.Submitted{
		Job: e.Job, Offset: e.Offset, Inherited: a.parts.inherited(e), Progress: e.Progress, Cancelled: e.Cancelled, Occurrences: e.Occurrences,
	}
}

func (a *Assembler) log(step string) *logrus.Entry {
	return a.Logger.WithFields(logrus.Fields{"step": step, "vm": a.Settings.VM})
}

// logDecision logs a scheduling decision.
func (a *Assembler) logDecision(n scheduler.Decision) {
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
	if n.Counter != "" {
		a.metrics.Count(n.Counter, max(1, n.Amount))
	}
}

func (a *Assembler) recordCallFailure(step, executor string, err error) {
	a.metrics.Count("executor-calls-failed", 1)
	if errors.Is(err, context.Canceled) {
		return // this VM is no longer the leader
	}
	a.log("call").WithFields(logrus.Fields{"call": step, "worker": executor}).WithError(err).Warn("worker did not answer the call")
}

func (a *Assembler) logMalformed(key string, offset int64, err error) {
	a.log("read").WithFields(logrus.Fields{"key": key, "offset": offset}).WithError(err).Warn("skipping malformed record")
}

// recordStaleStatus counts and logs that callers get states that may be stale.
func (a *Assembler) recordStaleStatus(err error) {
	a.metrics.Count("states-told-stale", 1)
	a.log("answer").WithError(err).WithField("for-ms", progressRetryDelay.Milliseconds()).Warn("job states in answers may be stale")
}

// catchUpProgress returns once all progress that was stored before the call is read.
func (a *Assembler) catchUpProgress(ctx context.Context) error {
	return a.catchUp(ctx, registrar.TopicProgress)
}

// catchUp reads partition 0 of a topic to its current end. It does not use the tailer's long poll,
// as the store may leave a long poll without an answer.
func (a *Assembler) catchUp(ctx context.Context, topic string) error {
	if topic == registrar.TopicJobs {
		return a.catchUpPart(ctx, 0)
	}
	next, _ := a.registrar.NextOffset(topic)
	if err := tailer.CatchUp(ctx, a.store, platform.WireTopic(topic), next, a.registrar.ApplyProgress); err != nil {
		return fmt.Errorf("catch up with %s: %w", topic, err)
	}
	return nil
}
