package assembler

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// recentWindow is how far back a new leader reads entries of workers. An entry
// lapses after three heartbeats of silence, 4.5 s, and the leader before may have
// been silent for 4 s until its successor has claimed.
const recentWindow = 8500 * time.Millisecond

// listLapsed tells the scheduler of all workers on the list, and of those that were
// on it a moment ago: an entry lapses while heartbeats do not reach the store, and
// what the worker runs goes on.
func (a *Assembler) listLapsed(ctx context.Context) {
	for ctx.Err() == nil {
		all, err := a.recentWorkers(ctx)
		if err == nil {
			a.commander.Post(scheduler.WorkersListed{Workers: all})
			return
		}
		a.log("lead").WithError(err).Warn("list of workers can't be read yet")
		_ = sleeper.Sleep(ctx, retryStore) // ends early with the context only
	}
}

func (a *Assembler) recentWorkers(ctx context.Context) ([]scheduler.Listed, error) {
	present, end, err := a.store.Newest(ctx, platform.TopicExecutors)
	if err != nil {
		return nil, err
	}
	recent, err := a.recentRecords(ctx, end, len(present))
	if err != nil {
		return nil, err
	}
	for _, r := range present {
		delete(recent, r.Key)
	}
	all := a.decodeWorkers(present)
	for _, l := range a.decodeWorkers(slices.Collect(maps.Values(recent))) {
		if l.Draining {
			continue // it said that it would leave
		}
		a.log("lead").WithField("worker", l.ID).Info("worker was on the list a moment ago")
		l.Lapsed = true
		all = append(all, l)
	}
	slices.SortFunc(all, func(x, y scheduler.Listed) int { return cmp.Compare(x.ID, y.ID) })
	return all, nil
}

// recentRecords returns the newest entry of each worker that was written within the
// recent window. How many records that are follows from the number of workers, which is
// not known when all of them have lapsed: it is read anew from further back until what
// is read covers all the workers that it names.
func (a *Assembler) recentRecords(ctx context.Context, end int64, workers int) (map[string]accessor.Record, error) {
	beats := int64(recentWindow/a.Settings.Heartbeat) + 1
	for {
		from := max(0, end-beats*int64(workers+1))
		recent, named := map[string]accessor.Record{}, map[string]bool{}
		err := tailer.CatchUp(ctx, a.store, platform.TopicExecutors, from, func(b tailer.Batch) {
			for _, r := range b.Records {
				named[r.Key] = true
				if len(r.Value) > 0 {
					recent[r.Key] = r
				}
			}
		})
		if err != nil || from == 0 || len(named) <= workers {
			return recent, err
		}
		workers = len(named)
	}
}

// decodeWorkers decodes entries and leaves out what can't be read.
func (a *Assembler) decodeWorkers(records []accessor.Record) []scheduler.Listed {
	var all []scheduler.Listed
	for _, r := range records {
		l, err := platform.DecodeExecutor(r.Key, r.Value)
		if err != nil {
			a.malformed(r.Key, r.Offset, err)
			continue
		}
		all = append(all, l)
	}
	return all
}
