package assembler

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/profiler"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

const (
	topicSpeeds    = "speeds"               // what leaders have learnt about the speeds of workers
	keySpeeds      = "speeds"               // of its only record
	speedsReadTime = 300 * time.Millisecond // for which a new leader waits for the record: it can learn the speeds again, and jobs wait meanwhile
)

// workerSpeeds serialises reports of the speeds of workers.
type workerSpeeds struct {
	storeMu sync.Mutex
	last    scheduler.ReportSpeeds

	countMu    sync.Mutex
	slow, fast int // as counted
}

// readSpeeds returns the speeds that an earlier leader has stored, none if they can't be read.
func (a *Assembler) readSpeeds(ctx context.Context) profiler.Record {
	ctx, cancel := context.WithTimeout(ctx, speedsReadTime)
	defer cancel()
	records, _, err := a.store.Newest(ctx, platform.WireTopic(topicSpeeds))
	if err != nil {
		a.log("lead").WithError(err).Warn("can't read the speeds of workers; taking them as equal")
		return profiler.Record{}
	}
	for _, r := range records {
		if r.Key != keySpeeds {
			continue
		}
		v, err := profiler.DecodeRecord(r.Value)
		if err != nil {
			a.logMalformed(r.Key, r.Offset, err)
			continue
		}
		return v
	}
	return profiler.Record{}
}

// reportSpeeds counts slow and fast workers and stores the speeds for the next leader. A store
// that fails is not repeated: a newer record follows, and the next leader can learn them again.
func (a *Assembler) reportSpeeds(ctx context.Context, v scheduler.ReportSpeeds) {
	a.countSpeeds(v.Slow, v.Fast)
	a.speeds.storeMu.Lock()
	defer a.speeds.storeMu.Unlock()
	if o := a.speeds.last; !v.Store || v.Epoch < o.Epoch || v.Epoch == o.Epoch && v.Number <= o.Number {
		return
	}
	a.speeds.last = v
	b, err := json.Marshal(v.Speeds)
	if err != nil {
		a.log("store").WithError(err).Error("can't encode the speeds of workers")
		return
	}
	r := accessor.Record{Key: keySpeeds, Value: b}
	if _, err := a.store.Append(ctx, accessor.Append{Topic: platform.WireTopic(topicSpeeds), ExpectedEnd: accessor.AnyOffset, Records: []accessor.Record{r}}); err != nil {
		a.log("store").WithError(err).Warn("can't store the speeds of workers")
	}
}

// countSpeeds sets the metrics of the workers that are known to be slow and fast.
func (a *Assembler) countSpeeds(slow, fast int) {
	v := &a.speeds
	v.countMu.Lock()
	defer v.countMu.Unlock()
	if slow != v.slow {
		a.metrics.Count("workers-slow", int64(slow-v.slow))
	}
	if fast != v.fast {
		a.metrics.Count("workers-fast", int64(fast-v.fast))
	}
	v.slow, v.fast = slow, fast
}
