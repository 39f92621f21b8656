package assembler

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// topicWaves holds how far each wave is, by number, for the next leader.
const topicWaves = "waves"

// waveProgress is a record of topicWaves.
type waveProgress struct {
	Over bool     `json:"over"`
	Done []string `json:"done"` // machines whose upkeep has begun
}

// waves keeps the waves that the operator has asked for. It is safe for
// concurrent use.
type waves struct {
	mu  sync.Mutex
	all map[int]scheduler.Wave
}

// take takes in a record of the operator and reports whether it is a new wave.
func (w *waves) take(r accessor.Record) (bool, error) {
	v, ok, err := platform.DecodeWave(r)
	if !ok || err != nil {
		return false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.all == nil {
		w.all = map[int]scheduler.Wave{}
	}
	_, known := w.all[v.Number]
	w.all[v.Number] = v
	return !known, nil
}

func (w *waves) list() []scheduler.Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []scheduler.Wave
	for _, v := range w.all {
		all = append(all, v)
	}
	return all
}

// storedWaves returns the waves with how far earlier leaders brought them.
func (a *Assembler) storedWaves(ctx context.Context) []scheduler.Wave {
	all := a.waves.list()
	if len(all) == 0 {
		return nil
	}
	records, _, err := a.store.Newest(ctx, platform.OwnTopic(topicWaves))
	for err != nil && ctx.Err() == nil {
		a.log("lead").WithError(err).Warn("waves can't be read yet")
		_ = sleeper.Sleep(ctx, retryStore) // ends early with the context only
		records, _, err = a.store.Newest(ctx, platform.OwnTopic(topicWaves))
	}
	for i := range all {
		for _, r := range records {
			var p waveProgress
			if r.Key != strconv.Itoa(all[i].Number) {
				continue
			}
			if err := json.Unmarshal(r.Value, &p); err != nil {
				a.malformed(r.Key, r.Offset, err)
				continue
			}
			all[i].Over, all[i].Done = p.Over, p.Done
		}
	}
	return all
}

// storeWave stores how far a wave is, for the next leader and for the operator.
func (a *Assembler) storeWave(ctx context.Context, w scheduler.StoreWave) {
	b, err := json.Marshal(waveProgress{Over: w.Over, Done: w.Done})
	if err != nil {
		a.log("store").WithError(err).Error("wave can't be encoded")
		return
	}
	for _, x := range []accessor.Append{
		{Topic: platform.OwnTopic(topicWaves), At: accessor.Anywhere, Records: []accessor.Record{{Key: strconv.Itoa(w.Number), Value: b}}},
		{Topic: platform.TopicStatus, At: accessor.Anywhere, Records: []accessor.Record{platform.WaveStatus(w)}},
	} {
		for {
			_, err := a.store.Append(ctx, x)
			if err == nil || ctx.Err() != nil {
				break
			}
			a.log("store").WithField("wave", w.Number).WithError(err).Warn("wave is not stored yet")
			_ = sleeper.Sleep(ctx, retryStore) // ends early with the context only
		}
	}
}
