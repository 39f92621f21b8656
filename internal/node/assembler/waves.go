package assembler

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"

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

	storing sync.Mutex // one store at a time
	stored  map[int]scheduler.StoreWave
	loans   scheduler.StoreLoans // as stored last
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

// storedDuties returns the waves with how far earlier leaders brought them, and which
// machines these moved. Without waves, and with one pool only, nothing is read.
func (a *Assembler) storedDuties(ctx context.Context) ([]scheduler.Wave, scheduler.Loans) {
	all := a.waves.list()
	c := a.config.Load()
	if len(all) == 0 && (c == nil || len(c.Pools) <= 1) {
		return nil, nil
	}
	records, _, err := a.store.Newest(ctx, platform.OwnTopic(topicWaves))
	for err != nil && ctx.Err() == nil {
		a.log("lead").WithError(err).Warn("waves and loans can't be read yet")
		_ = sleeper.Sleep(ctx, retryStore) // ends early with the context only
		records, _, err = a.store.Newest(ctx, platform.OwnTopic(topicWaves))
	}
	var loans scheduler.Loans
	for _, r := range records {
		var err error
		if r.Key == keyLoans {
			err = json.Unmarshal(r.Value, &loans)
		} else {
			err = resume(all, r)
		}
		if err != nil {
			a.malformed(r.Key, r.Offset, err)
		}
	}
	return all, loans
}

// resume takes over how far an earlier leader brought a wave.
func resume(all []scheduler.Wave, r accessor.Record) error {
	i := slices.IndexFunc(all, func(w scheduler.Wave) bool { return strconv.Itoa(w.Number) == r.Key })
	if i < 0 {
		return nil
	}
	var p waveProgress
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return err
	}
	all[i].Over, all[i].Done = p.Over, p.Done
	return nil
}

// storeWave stores how far a wave is, for the next leader and for the operator.
func (a *Assembler) storeWave(ctx context.Context, w scheduler.StoreWave) {
	a.waves.storing.Lock()
	defer a.waves.storing.Unlock()
	if !a.waves.goesOn(w) {
		return
	}
	b, err := json.Marshal(waveProgress{Over: w.Over, Done: w.Done})
	if err != nil {
		a.log("store").WithError(err).Error("wave can't be encoded")
		return
	}
	a.keepStoring(ctx, platform.OwnTopic(topicWaves), accessor.Record{Key: strconv.Itoa(w.Number), Value: b})
	a.keepStoring(ctx, platform.TopicStatus, platform.WaveStatus(w))
}

// goesOn reports whether a wave is further than it was stored; stores may overtake
// each other.
func (w *waves) goesOn(v scheduler.StoreWave) bool {
	old, ok := w.stored[v.Number]
	if ok && (old.Over || !v.Over && len(v.Done) < len(old.Done)) {
		return false
	}
	if w.stored == nil {
		w.stored = map[int]scheduler.StoreWave{}
	}
	w.stored[v.Number] = v
	return true
}

// keyLoans is the key in topicWaves of the machines that are away from their pools.
const keyLoans = "loans"

// storeLoans stores which machines are away from their pools, for the next leader.
func (a *Assembler) storeLoans(ctx context.Context, l scheduler.StoreLoans) {
	a.waves.storing.Lock()
	defer a.waves.storing.Unlock()
	if o := a.waves.loans; l.Epoch < o.Epoch || l.Epoch == o.Epoch && l.Number <= o.Number {
		return
	}
	a.waves.loans = l
	b, err := json.Marshal(l.Loans)
	if err != nil {
		a.log("store").WithError(err).Error("loans of machines can't be encoded")
		return
	}
	a.keepStoring(ctx, platform.OwnTopic(topicWaves), accessor.Record{Key: keyLoans, Value: b})
}

// keepStoring appends a record until the store has it.
func (a *Assembler) keepStoring(ctx context.Context, topic string, r accessor.Record) {
	for {
		_, err := a.store.Append(ctx, accessor.Append{Topic: topic, At: accessor.Anywhere, Records: []accessor.Record{r}})
		if err == nil || ctx.Err() != nil {
			return
		}
		a.log("store").WithFields(logrus.Fields{"topic": topic, "key": r.Key}).WithError(err).Warn("record is not stored yet")
		_ = sleeper.Sleep(ctx, retryStore) // ends early with the context only
	}
}
