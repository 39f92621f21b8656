package assembler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

const (
	readWait    = time.Second            // of a read that waits for a record; the store may leave one without news
	peersWait   = 15 * time.Second       // of a read for other VMs, which come and go rarely
	followRest  = time.Second            // between two reads of jobs and of their progress: half of how old a count of waiting jobs may be
	workersRest = 350 * time.Millisecond // between two such reads: each executor writes every 1.5 s
)

// The parts of the store's reads per second that all VMs may use for a topic. Half is
// left to new leaders, to VMs that catch up, and to what callers ask for.
const (
	partLeader   = 0.15 // 1 s between two reads at 300 VMs and 2,000 reads; a renewal is missed after 2.6 s
	partProgress = 0.15
	partOperator = 0.10 // a new configuration is in force within 2 s
	partJobs     = 0.05
	partPeers    = 0.05
)

// share returns the least time between two reads of a topic by this VM.
func (a *Assembler) share(part float64) time.Duration {
	return tailer.Share(len(a.peers.list())+1, a.Settings.StoreReads, part)
}

// follow starts to read all topics that every VM follows.
func (a *Assembler) follow(ctx context.Context, g *errgroup.Group) {
	jobsPause := func(took time.Duration) time.Duration {
		if a.leading.Load() {
			return 0 // jobs wait for the leader to read them
		}
		return max(followRest, a.share(partJobs)-took)
	}
	progressPause := func(took time.Duration) time.Duration { return max(followRest, a.share(partProgress)-took) }
	shared := func(part float64) func(time.Duration) time.Duration {
		return func(took time.Duration) time.Duration { return a.share(part) - took }
	}
	a.tail(ctx, g, a.tailer(platform.TopicOperator, readWait, shared(partOperator), a.takeConfig))
	a.tail(ctx, g, a.tailer(platform.OwnTopic(registrar.TopicJobs), readWait, jobsPause, a.registrar.TakeJobs))
	a.tail(ctx, g, a.tailer(platform.OwnTopic(registrar.TopicProgress), readWait, progressPause, a.registrar.TakeProgress))
	a.tail(ctx, g, a.tailer(platform.OwnTopic(topicLeader), readWait, shared(partLeader), a.takeClaims))
	a.tail(ctx, g, a.tailer(platform.OwnTopic(topicPeers), peersWait, shared(partPeers), a.peers.take))
	g.Go(func() error {
		a.register(ctx)
		return nil
	})
	g.Go(func() error {
		a.relayer.Probe(ctx, platform.OwnTopic(topicPeers))
		return nil
	})
}

func (a *Assembler) tail(ctx context.Context, g *errgroup.Group, t *tailer.Tailer) {
	g.Go(func() error {
		t.Run(ctx)
		return nil
	})
}

func (a *Assembler) tailer(topic string, wait time.Duration, pause func(took time.Duration) time.Duration, take func(tailer.Batch)) *tailer.Tailer {
	return &tailer.Tailer{
		Newest: func(ctx context.Context) ([]accessor.Record, int64, error) { return a.store.Newest(ctx, topic) },
		Read: func(ctx context.Context, from int64, wait time.Duration) ([]accessor.Record, int64, error) {
			return a.store.Read(ctx, topic, from, wait)
		},
		Take:  take,
		State: func(err error) { a.storeChanged(topic, err) },
		Wait:  wait,
		Now:   a.Now,
		Pause: pause,
	}
}

// storeChanged logs that a topic can no longer be read, or can be read again.
func (a *Assembler) storeChanged(t string, err error) {
	l := a.log("read").WithField("topic", t)
	if err != nil {
		l.WithError(err).Warn("store does not answer")
	} else {
		l.Info("store answers again")
	}
	if t != platform.OwnTopic(topicLeader) {
		return
	}
	if err != nil {
		a.storeDown.Store(a.Now().UnixMilli())
	} else {
		a.storeDown.Store(0)
	}
	a.claims <- claimEvent{storeChanged: true, up: err == nil}
}

// takeConfig takes in the operator's records.
func (a *Assembler) takeConfig(b tailer.Batch) {
	for _, r := range b.Records {
		if r.Key == platform.KeyConfiguration && len(r.Value) > 0 {
			a.applyConfig(r.Value, r.Offset)
			continue
		}
		fresh, err := a.waves.take(r)
		if err != nil {
			a.malformed(r.Key, r.Offset, err)
		}
		if fresh {
			a.commander.Post(scheduler.WavesChanged{Waves: a.waves.list()})
		}
	}
}

// applyConfig brings a configuration into force unless it is older than the one
// in force.
func (a *Assembler) applyConfig(raw []byte, offset int64) {
	c, err := platform.DecodeConfiguration(raw)
	l := a.log("configure").WithField("offset", offset)
	if err != nil {
		l.WithError(err).Warn("configuration can't be read; the one before stays in force")
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
	a.commander.Post(scheduler.ConfigChanged{Terms: c.Terms()})
}

// workers keeps the platform's list of workers.
type workers struct {
	byID map[string]scheduler.Listed
}

// take takes in entries and reports whether the list has changed.
func (w *workers) take(b tailer.Batch, skipped func(key string, offset int64, err error)) bool {
	before := w.byID
	changed := false
	if b.Snapshot || before == nil {
		w.byID = map[string]scheduler.Listed{}
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
			skipped(r.Key, r.Offset, err)
			continue
		}
		if old, ok := before[r.Key]; !ok || !same(old, l) {
			changed = true
		}
		w.byID[r.Key] = l
	}
	return changed || len(before) != len(w.byID)
}

func same(a, b scheduler.Listed) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Rack == b.Rack &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && a.Left == b.Left && a.Born == b.Born
}
