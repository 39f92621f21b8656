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

// configure publishes the configuration and waits until every entry VM has it.
func configure(ctx context.Context, w *world, r *Report) error {
	c := publisher.Change{ID: uuid.NewString(), Created: time.Now()}
	for name, text := range w.configuration() {
		c.Files = append(c.Files, publisher.FileChange{Name: name, Content: text})
	}
	at := time.Now()
	var a publisher.ChangeResponse
	if err := w.call(ctx, w.live(0), http.MethodPost, publisher.PathChanges, w.operatorKey, c, &a); err != nil {
		return err
	}
	err := until(ctx, "the configuration is in force everywhere", func() (bool, error) {
		all, err := w.status(ctx)
		for _, s := range all {
			if s.ConfigRevision < a.Offset {
				return false, err
			}
		}
		return len(all) == entryVMs, err
	})
	r.promise("an accepted configuration is in force everywhere", err == nil, "%v after it was published", time.Since(at).Round(time.Millisecond))
	return err
}

// judge compares what callers were told with what executors ran.
func (w *world) judge(ctx context.Context, r *Report) {
	runs, keyed := w.runs(ctx)
	crossed, unsaid := 0, 0
	mayHaveRun := map[string]bool{} // requests of which not every sending was refused as not-run
	for _, c := range w.calls {
		mayHaveRun[c.digest] = mayHaveRun[c.digest] || c.outcome != refuser.OutcomeNotRun
		switch {
		case c.status == http.StatusOK && !c.own:
			crossed++
		case c.status == http.StatusOK || c.status == 0:
		case c.outcome != refuser.OutcomeNotRun && c.outcome != refuser.OutcomeUnknown:
			unsaid++
		}
	}
	ranThough := 0
	for d, may := range mayHaveRun {
		if !may && runs[d] > 0 {
			ranThough++
		}
	}
	most := 0
	for _, n := range keyed {
		most = max(most, n)
	}
	r.promise("each caller gets the whole answer to its own request", crossed == 0, "%d of %d calls got another's", crossed, len(w.calls))
	r.promise("what was refused as not-run was not run", ranThough == 0 && unsaid == 0, "%d ran though refused as not-run, %d refusals without an outcome", ranThough, unsaid)
	r.promise("a non-idempotent request runs at most once", most == 1, "%d keys, at most %d runs of any", len(keyed), most)
	var times []time.Duration
	total := time.Duration(0)
	for _, j := range w.jobs {
		times = append(times, j.took)
		total += j.took
	}
	r.measure("completion time", "%d jobs, mean %v, 95th percentile %v", len(times),
		(total / time.Duration(max(len(times), 1))).Round(time.Millisecond), quantile(times, 95).Round(time.Millisecond))
}

// runs returns how often each request ran, by the digest of its body, and how
// often each idempotency key ran.
func (w *world) runs(ctx context.Context) (digests, keys map[string]int) {
	digests, keys = map[string]int{}, map[string]int{}
	for s, all := range w.executors {
		for _, x := range all {
			var h standin.ExecutorHistory
			if err := w.get(ctx, x.address, "/history", &h); err != nil {
				keys[err.Error()] = -1 // the promise is then not kept
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

// sampleFragmentation measures how much of what is free no rebuild could use.
func (w *world) sampleFragmentation(ctx context.Context, r *Report) {
	var all []placer.Worker
	free := 0
	for id, a := range w.workerAddrs {
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
	r.measure("fragmentation", "%.0f %% of %d free accelerators are of no use to a rebuild that needs %d adjacent", 100*f, free, accelerators)
}

func (w *world) get(ctx context.Context, address, path string, answer any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("make request to %s: %w", address, err)
	}
	a, err := w.client.Do(q)
	if err != nil {
		return fmt.Errorf("call %s: %w", address, err)
	}
	defer func() { _ = a.Body.Close() }()
	return json.NewDecoder(a.Body).Decode(answer)
}

// quantile returns the p-th percentile, 0 when there is nothing.
func quantile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(d))
	return s[min(len(s)*p/100, len(s)-1)]
}
