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

// recentWindow is how far back a new leader reads entries of workers. An entry expires
// after three missed heartbeats, 4.5 s, and up to 4 s may pass between the last action of
// the previous leader and the claim of its successor.
const recentWindow = 8500 * time.Millisecond

// postRecentWorkers posts all listed workers to the scheduler, and those whose entries
// have expired recently: an entry expires if heartbeats do not reach the store, while the
// runs on that worker continue.
func (a *Assembler) postRecentWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		all, err := a.recentWorkers(ctx)
		if err == nil {
			a.commander.Post(scheduler.WorkersListed{Workers: all})
			return
		}
		a.log("lead").WithError(err).Warn("can't read the list of workers; retrying")
		_ = sleeper.Sleep(ctx, storeRetryDelay) // fails only when the context ends
	}
}

func (a *Assembler) recentWorkers(ctx context.Context) ([]scheduler.WorkerInfo, error) {
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
		if l.Draining && a.Settings.MachineService == "" {
			continue // it has announced its shutdown, and no list of machines tells when it has left
		}
		a.log("lead").WithField("worker", l.ID).Info("worker entry has expired recently")
		l.Expired = true
		all = append(all, l)
	}
	slices.SortFunc(all, func(x, y scheduler.WorkerInfo) int { return cmp.Compare(x.ID, y.ID) })
	return all, nil
}

// recentRecords returns the newest entry of each worker within recentWindow. The number of
// records to read depends on the number of workers, which is unknown if all entries have
// expired: it reads again from an earlier offset until the records read are enough for
// all workers that occur in them.
func (a *Assembler) recentRecords(ctx context.Context, end int64, workers int) (map[string]accessor.Record, error) {
	heartbeats := int64(recentWindow/a.Settings.Heartbeat) + 1
	for {
		from := max(0, end-heartbeats*int64(workers+1))
		recent, seen := map[string]accessor.Record{}, map[string]bool{}
		err := tailer.CatchUp(ctx, a.store, platform.TopicExecutors, from, func(b tailer.Batch) {
			for _, r := range b.Records {
				seen[r.Key] = true
				if len(r.Value) > 0 {
					recent[r.Key] = r
				}
			}
		})
		if err != nil || from == 0 || len(seen) <= workers {
			return recent, err
		}
		workers = len(seen)
	}
}

// decodeWorkers decodes entries and skips malformed ones.
func (a *Assembler) decodeWorkers(records []accessor.Record) []scheduler.WorkerInfo {
	var all []scheduler.WorkerInfo
	for _, r := range records {
		l, err := platform.DecodeExecutor(r.Key, r.Value)
		if err != nil {
			a.logMalformed(r.Key, r.Offset, err)
			continue
		}
		all = append(all, l)
	}
	return all
}
