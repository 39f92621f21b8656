package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// publishConfig publishes the configuration and waits until every entry VM has it.
func publishConfig(ctx context.Context, w *cluster, r *Report) error {
	c := publisher.Change{ID: uuid.NewString(), Created: time.Now()}
	for name, text := range w.configuration() {
		c.Files = append(c.Files, publisher.FileChange{Name: name, Content: text})
	}
	at := time.Now()
	var a publisher.ChangeResponse
	if err := w.call(ctx, w.liveVM(0), http.MethodPost, publisher.PathChanges, w.operatorKey, c, &a); err != nil {
		return err
	}
	err := waitUntil(ctx, "the configuration is in force everywhere", func() (bool, error) {
		all, err := w.statuses(ctx)
		for _, s := range all {
			if s.ConfigRevision < a.Offset {
				return false, err
			}
		}
		return len(all) == entryVMs, err
	})
	r.addPromise("an accepted configuration is in force everywhere", err == nil, "%v after it was published", time.Since(at).Round(time.Millisecond))
	return err
}

// checkPromises compares the responses to callers with what executors ran.
func (w *cluster) checkPromises(ctx context.Context, r *Report) {
	runs, perKey := w.runCounts(ctx)
	misdelivered, withoutOutcome := 0, 0
	mayHaveRun := map[string]bool{} // by digest; false if every attempt was refused as not-run
	for _, c := range w.calls {
		mayHaveRun[c.digest] = mayHaveRun[c.digest] || c.outcome != refuser.OutcomeNotRun
		switch {
		case c.status == http.StatusOK && !c.matches:
			misdelivered++
		case c.status == http.StatusOK || c.status == 0:
		case c.outcome != refuser.OutcomeNotRun && c.outcome != refuser.OutcomeUnknown:
			withoutOutcome++
		}
	}
	ranDespiteRefusal := 0
	for d, may := range mayHaveRun {
		if !may && runs[d] > 0 {
			ranDespiteRefusal++
		}
	}
	maxRuns := 0
	for _, n := range perKey {
		maxRuns = max(maxRuns, n)
	}
	r.addPromise("each caller gets the whole answer to its own request", misdelivered == 0, "%d of %d calls got the answer to another request", misdelivered, len(w.calls))
	r.addPromise("a request refused as not-run is never run", ranDespiteRefusal == 0 && withoutOutcome == 0, "%d ran despite a refusal as not-run, %d refusals without an outcome", ranDespiteRefusal, withoutOutcome)
	r.addPromise("a non-idempotent request runs at most once", maxRuns == 1, "%d keys, at most %d runs of a key", len(perKey), maxRuns)
	var times []time.Duration
	total := time.Duration(0)
	for _, j := range w.jobs {
		times = append(times, j.took)
		total += j.took
	}
	r.addMeasure("completion time", "%d jobs, mean %v, 95th percentile %v", len(times),
		(total / time.Duration(max(len(times), 1))).Round(time.Millisecond), quantile(times, 95).Round(time.Millisecond))
}

// runCounts returns the number of runs by digest of the request body, and by
// service and idempotency key.
func (w *cluster) runCounts(ctx context.Context) (digests, keys map[string]int) {
	digests, keys = map[string]int{}, map[string]int{}
	for s, all := range w.executors {
		for _, x := range all {
			var h standin.ExecutorHistory
			if err := w.get(ctx, x.address, "/history", &h); err != nil {
				keys[err.Error()] = -1 // stands for an unreadable history
				continue
			}
			for _, r := range h.Runs {
				digests[r.Digest]++
			}
			for k, n := range h.PerKey {
				keys[s+"/"+k] += n
			}
		}
	}
	return digests, keys
}

// sampleFragmentation measures the share of free accelerators that a rebuild, a gang
// with all tasks on one worker, cannot use.
func (w *cluster) sampleFragmentation(ctx context.Context, r *Report) {
	var all []placer.Worker
	free := 0
	for id, a := range w.workerAddresses {
		var i leaser.Inventory
		if err := w.get(ctx, a, "/inventory", &i); err != nil {
			continue
		}
		k := placer.Worker{ID: id, Rack: i.Rack, Zone: i.Zone, Capacity: i.Capacity, Free: i.Capacity}
		for _, l := range i.Leases {
			if !l.State.Ended() {
				k.Free = k.Free.Minus(l.Resources)
			}
		}
		free += k.Free.Accelerators
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b placer.Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	rebuild := placer.Request{Tasks: accelerators, PerTask: placer.Resources{Accelerators: 1}, Adjacency: placer.AdjacencyWorker}
	f := placer.Fragmentation(all, []placer.Request{rebuild})
	r.addMeasure("fragmentation", "%.0f %% of %d free accelerators cannot be used by a rebuild that needs %d adjacent", 100*f, free, accelerators)
}

func (w *cluster) get(ctx context.Context, address, path string, response any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("make request to %s: %w", address, err)
	}
	a, err := w.client.Do(q)
	if err != nil {
		return fmt.Errorf("call %s: %w", address, err)
	}
	defer func() { _ = a.Body.Close() }()
	return json.NewDecoder(a.Body).Decode(response)
}

// quantile returns the p-th percentile, or 0 if d is empty.
func quantile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(d))
	return s[min(len(s)*p/100, len(s)-1)]
}
