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

// topicWaves holds the progress of maintenance waves, keyed by number, and the machine
// loans, for the next leader.
const topicWaves = "waves"

// waveProgress is a record of topicWaves.
type waveProgress struct {
	Completed bool     `json:"over"`
	Started   []string `json:"done"` // machines whose maintenance has started
}

// waves holds the maintenance waves that the operator has requested. It is safe for
// concurrent use.
type waves struct {
	mu  sync.Mutex
	all map[int]scheduler.Wave

	storeMu     sync.Mutex // serialises stores; guards the fields below
	stored      map[int]scheduler.StoreWave
	storedLoans scheduler.StoreLoans // the last ones stored
}

// apply applies a record of the operator and reports whether it is a new wave.
func (w *waves) apply(r accessor.Record) (bool, error) {
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

// readWavesAndLoans returns the waves with the progress that earlier leaders made, and the
// machines that they lent to other pools. It reads nothing if there are no waves and at
// most one pool.
func (a *Assembler) readWavesAndLoans(ctx context.Context) ([]scheduler.Wave, scheduler.Loans) {
	all := a.waves.list()
	c := a.config.Load()
	if len(all) == 0 && (c == nil || len(c.Pools) <= 1) {
		return nil, nil
	}
	records, _, err := a.store.Newest(ctx, platform.WireTopic(topicWaves))
	for err != nil && ctx.Err() == nil {
		a.log("lead").WithError(err).Warn("can't read waves and loans; retrying")
		_ = sleeper.Sleep(ctx, storeRetryDelay) // fails only when the context ends
		records, _, err = a.store.Newest(ctx, platform.WireTopic(topicWaves))
	}
	var loans scheduler.Loans
	for _, r := range records {
		var err error
		if r.Key == keyLoans {
			err = json.Unmarshal(r.Value, &loans)
		} else {
			err = restoreProgress(all, r)
		}
		if err != nil {
			a.logMalformed(r.Key, r.Offset, err)
		}
	}
	return all, loans
}

// restoreProgress sets the stored progress of a wave.
func restoreProgress(all []scheduler.Wave, r accessor.Record) error {
	i := slices.IndexFunc(all, func(w scheduler.Wave) bool { return strconv.Itoa(w.Number) == r.Key })
	if i < 0 {
		return nil
	}
	var p waveProgress
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return err
	}
	all[i].Completed, all[i].Started = p.Completed, p.Started
	return nil
}

// storeWave stores the progress of a wave, for the next leader and for the operator.
func (a *Assembler) storeWave(ctx context.Context, w scheduler.StoreWave) {
	a.waves.storeMu.Lock()
	defer a.waves.storeMu.Unlock()
	if !a.waves.advance(w) {
		return
	}
	b, err := json.Marshal(waveProgress{Completed: w.Completed, Started: w.Started})
	if err != nil {
		a.log("store").WithError(err).Error("can't encode wave")
		return
	}
	a.appendUntilStored(ctx, platform.WireTopic(topicWaves), accessor.Record{Key: strconv.Itoa(w.Number), Value: b})
	a.appendUntilStored(ctx, platform.TopicStatus, platform.WaveStatus(w))
}

// advance records the progress of a wave and reports whether it is ahead of what was
// stored; stores may arrive out of order.
func (w *waves) advance(v scheduler.StoreWave) bool {
	old, ok := w.stored[v.Number]
	if ok && (old.Completed || !v.Completed && len(v.Started) < len(old.Started)) {
		return false
	}
	if w.stored == nil {
		w.stored = map[int]scheduler.StoreWave{}
	}
	w.stored[v.Number] = v
	return true
}

// keyLoans is the key in topicWaves of the machines that are lent to other pools.
const keyLoans = "loans"

// storeLoans stores which machines are lent to other pools, for the next leader.
func (a *Assembler) storeLoans(ctx context.Context, l scheduler.StoreLoans) {
	a.waves.storeMu.Lock()
	defer a.waves.storeMu.Unlock()
	if o := a.waves.storedLoans; l.Epoch < o.Epoch || l.Epoch == o.Epoch && l.Number <= o.Number {
		return
	}
	a.waves.storedLoans = l
	b, err := json.Marshal(l.Loans)
	if err != nil {
		a.log("store").WithError(err).Error("can't encode machine loans")
		return
	}
	a.appendUntilStored(ctx, platform.WireTopic(topicWaves), accessor.Record{Key: keyLoans, Value: b})
}

// appendUntilStored appends a record and retries until it is stored or the context ends.
func (a *Assembler) appendUntilStored(ctx context.Context, topic string, r accessor.Record) {
	for {
		_, err := a.store.Append(ctx, accessor.Append{Topic: topic, ExpectedEnd: accessor.AnyOffset, Records: []accessor.Record{r}})
		if err == nil || ctx.Err() != nil {
			return
		}
		a.log("store").WithFields(logrus.Fields{"topic": topic, "key": r.Key}).WithError(err).Warn("can't store record; retrying")
		_ = sleeper.Sleep(ctx, storeRetryDelay) // fails only when the context ends
	}
}
