package assembler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

const (
	readWait         = time.Second            // of a long poll; the store may return one without records
	leaderReadWait   = 300 * time.Millisecond // of a long poll by the leader: one that is open while the store trims the topic ends only with its wait
	peersReadWait    = 15 * time.Second       // of a long poll for other VMs, which rarely change
	minReadPause     = time.Second            // between two reads of jobs and of progress: half of the age that a count of pending jobs may have
	workersReadPause = 350 * time.Millisecond // between two reads of the list of workers: each executor writes every 1.5 s
)

// Shares of the store's reads per second that all VMs together use to follow a topic.
// Half is left for new leaders, for VMs that catch up, and for callers' requests.
const (
	leaderReadShare   = 0.15 // 1 s between two reads with 300 VMs and 2,000 reads per second; a leader times out after 2.6 s
	progressReadShare = 0.15
	operatorReadShare = 0.10 // a new configuration must be in force within 2 s
	jobsReadShare     = 0.05
	peersReadShare    = 0.05
	probeShare        = 0.05 // while the store fails
)

// Limits of the time between two probes of the direct route to the store by this VM.
const (
	minProbeInterval = 100 * time.Millisecond // submissions wait for the end of an outage
	maxProbeInterval = 300 * time.Millisecond
)

func (a *Assembler) probeInterval() time.Duration {
	return min(max(minProbeInterval, a.readInterval(probeShare)), maxProbeInterval)
}

// readInterval returns the minimum interval between two reads of a topic by this VM.
func (a *Assembler) readInterval(share float64) time.Duration {
	return tailer.MinReadInterval(len(a.peers.list())+1, a.Settings.StoreReads, share)
}

// followTopics starts the tailers of all topics that every VM follows.
func (a *Assembler) followTopics(ctx context.Context, g *errgroup.Group) {
	jobsPause := func(took time.Duration) time.Duration {
		if a.leading.Load() {
			return 0 // a job can't start before the leader has read it
		}
		return max(minReadPause, a.readInterval(jobsReadShare)-took)
	}
	progressPause := func(took time.Duration) time.Duration {
		return max(minReadPause, a.readInterval(progressReadShare)-took)
	}
	topicPause := func(share float64) func(time.Duration) time.Duration {
		return func(took time.Duration) time.Duration { return a.readInterval(share) - took }
	}
	operator := a.newTailer(platform.TopicOperator, readWait, topicPause(operatorReadShare), a.applyOperatorRecords)
	a.view.watch(operator)
	a.startTailer(ctx, g, operator)
	a.startTailer(ctx, g, a.newTailer(platform.WireTopic(registrar.TopicJobs), readWait, jobsPause, a.registrar.ApplyJobs))
	a.startTailer(ctx, g, a.newTailer(platform.WireTopic(registrar.TopicProgress), readWait, progressPause, func(b tailer.Batch) {
		a.registrar.ApplyProgress(b)
		a.registrar.ForgetSteps(a.Now())
	}))
	a.startTailer(ctx, g, a.newTailer(platform.WireTopic(topicLeader), readWait, topicPause(leaderReadShare), a.postClaims))
	a.startTailer(ctx, g, a.newTailer(platform.WireTopic(topicPeers), peersReadWait, topicPause(peersReadShare), a.peers.apply))
	a.followOtherParts(ctx, g)
	g.Go(func() error {
		a.register(ctx)
		return nil
	})
	g.Go(func() error {
		a.relayer.Probe(ctx)
		return nil
	})
}

func (a *Assembler) startTailer(ctx context.Context, g *errgroup.Group, t *tailer.Tailer) {
	g.Go(func() error {
		t.Run(ctx)
		return nil
	})
}

func (a *Assembler) newTailer(topic string, wait time.Duration, pause func(took time.Duration) time.Duration, apply func(tailer.Batch)) *tailer.Tailer {
	return &tailer.Tailer{
		Newest: func(ctx context.Context) ([]accessor.Record, int64, error) { return a.store.Newest(ctx, topic) },
		Read: func(ctx context.Context, from int64, wait time.Duration) ([]accessor.Record, int64, error) {
			if a.leading.Load() {
				wait = min(wait, leaderReadWait)
			}
			return a.store.Read(ctx, topic, from, wait)
		},
		Apply:        apply,
		StateChanged: func(err error) { a.handleTopicState(topic, err) },
		Wait:         wait,
		Now:          a.Now,
		Pause:        pause,
		Recovered:    func() <-chan struct{} { return a.parts.awaitRecoveryOf(topic) },
	}
}

// handleTopicState handles a change of whether a topic can be read.
func (a *Assembler) handleTopicState(t string, err error) {
	l := a.log("read").WithField("topic", t)
	if err != nil {
		l.WithError(err).Warn("store does not answer")
	} else {
		l.Info("store has recovered")
	}
	a.noteTopicState(t, err == nil)
	if t != platform.WireTopic(topicLeader) {
		return
	}
	if err != nil {
		a.storeDownSince.Store(a.Now().UnixMilli())
	} else {
		a.storeDownSince.Store(0)
	}
	a.electorEvents <- electorEvent{storeChanged: true, up: err == nil}
}

// applyOperatorRecords applies records of the operator: evacuations, configurations and waves.
func (a *Assembler) applyOperatorRecords(b tailer.Batch) {
	if a.evacuated.apply(a.Now(), b, a.logMalformed) {
		a.commander.Post(a.evacuated.event())
	}
	for _, r := range b.Records {
		if r.Key == platform.KeyConfiguration && len(r.Value) > 0 {
			a.applyConfig(r.Value, r.Offset)
			continue
		}
		added, err := a.waves.apply(r)
		if err != nil {
			a.logMalformed(r.Key, r.Offset, err)
		}
		if added {
			a.commander.Post(scheduler.WavesChanged{Waves: a.waves.list()})
		}
	}
	a.operatorNext.Store(max(a.operatorNext.Load(), b.Next))
	a.operatorRead.Store(true)
}

// readOperatorRecords returns once all records of the operator that were stored before the call
// are read: a new leader must not start anything in a zone that is evacuated.
func (a *Assembler) readOperatorRecords(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.catchUpOperatorRecords(ctx)
		if err == nil {
			return
		}
		a.log("lead").WithError(err).Warn("can't read the configuration, waves and evacuations; retrying")
		_ = sleeper.Sleep(ctx, storeRetryDelay) // fails only when the context ends
	}
}

// catchUpOperatorRecords reads the operator's topic to its present end.
func (a *Assembler) catchUpOperatorRecords(ctx context.Context) error {
	sent := a.Now()
	err := a.readOperatorTopic(ctx)
	if err != nil {
		a.view.noteFailure(a.Now())
		return err
	}
	a.view.noteRead(sent)
	return nil
}

func (a *Assembler) readOperatorTopic(ctx context.Context) error {
	if a.operatorRead.Load() {
		return tailer.CatchUp(ctx, a.store, platform.TopicOperator, a.operatorNext.Load(), a.applyOperatorRecords)
	}
	records, next, err := a.store.Newest(ctx, platform.TopicOperator)
	if err != nil {
		return err
	}
	a.applyOperatorRecords(tailer.Batch{Records: records, Snapshot: true, Next: next})
	return nil
}

// applyConfig applies a configuration unless the one in force is as new or newer.
func (a *Assembler) applyConfig(raw []byte, offset int64) {
	c, err := platform.DecodeConfiguration(raw)
	l := a.log("configure").WithField("offset", offset)
	if err != nil {
		l.WithError(err).Warn("can't decode configuration; the previous one stays in force")
		return
	}
	for {
		old := a.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if a.config.CompareAndSwap(old, c) {
			break
		}
	}
	l.WithField("version", c.Version).Info("configuration is in force")
	a.commander.Post(scheduler.ConfigChanged{Config: c.SchedulerConfig()})
}

// workerList is the platform's list of workers.
type workerList struct {
	now  func() time.Time
	byID map[string]scheduler.WorkerInfo
}

// apply applies entries of the list and reports whether the list has changed.
func (w *workerList) apply(b tailer.Batch, malformed func(key string, offset int64, err error)) bool {
	before := w.byID
	changed := false
	if b.Snapshot || before == nil {
		w.byID = map[string]scheduler.WorkerInfo{}
	}
	for _, r := range b.Records {
		if len(r.Value) == 0 {
			if _, ok := w.byID[r.Key]; ok {
				delete(w.byID, r.Key)
				changed = true
			}
			continue
		}
		l, err := platform.DecodeExecutor(r.Key, r.Value)
		if err != nil {
			malformed(r.Key, r.Offset, err)
			continue
		}
		if l.ColdRemaining > 0 {
			l.ColdUntil = w.now().Add(l.ColdRemaining)
		}
		if old, ok := before[r.Key]; !ok || !sameEntry(old, l) {
			changed = true
		}
		w.byID[r.Key] = l
	}
	return changed || len(before) != len(w.byID)
}

func sameEntry(a, b scheduler.WorkerInfo) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Zone == b.Zone && a.Rack == b.Rack &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && a.MinRemaining == b.MinRemaining && a.StartedMS == b.StartedMS &&
		a.ColdUntil.Sub(b.ColdUntil).Abs() < maxColdDrift
}

// maxColdDrift is by how much the end of a worker's cold time may differ between two of its
// entries without a new decision: more than entries are read late, so that workers that count
// down cause no decisions.
const maxColdDrift = time.Second
