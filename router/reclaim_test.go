package router_test

import (
	"flag"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/router"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// requestBatch is equal requests that arrive at the same time.
type requestBatch struct {
	pause        time.Duration // before the batch
	count        int
	organisation string
	path         string
	run          time.Duration
}

// drawBatches draws the requests of borrowers and the owner; the owner sends at most
// as many requests as it has guaranteed slots.
func drawBatches(r *rapid.T, slots, guaranteed int) []requestBatch {
	runs := []time.Duration{short, 900 * time.Millisecond, 3 * time.Second, 20 * time.Second}
	var list []requestBatch
	for range rapid.IntRange(1, 40).Draw(r, "arrivals") {
		a := requestBatch{
			pause: time.Duration(rapid.IntRange(0, 1500).Draw(r, "pause")) * time.Millisecond,
			run:   rapid.SampledFrom(runs).Draw(r, "run"), organisation: "morfa",
		}
		if guaranteed > 0 && rapid.IntRange(0, 3).Draw(r, "who") == 0 {
			a.organisation = "etiquetar"
			a.path = rapid.SampledFrom([]string{"/proof", "/print"}).Draw(r, "path")
			a.count = rapid.IntRange(1, guaranteed).Draw(r, "count")
			guaranteed -= a.count
		} else {
			a.path = rapid.SampledFrom([]string{"/proof", "/proof", "/print", "/rebuild"}).Draw(r, "path")
			a.count = rapid.IntRange(1, 2*slots).Draw(r, "count")
		}
		list = append(list, a)
	}
	return list
}

// runBatches sends batches through a router and returns its observations.
func runBatches(t *testing.T, n *router.Snapshot, list []requestBatch) []router.Observation {
	var seen []router.Observation
	synctest.Test(t, func(t *testing.T) {
		x := newRouter(newFleet(10), n)
		var mu sync.Mutex
		x.Observe = func(o router.Observation) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, o)
		}
		var work sync.WaitGroup
		for _, a := range list {
			time.Sleep(a.pause)
			for range a.count {
				work.Go(func() { _, _ = x.Do(t.Context(), request(a.organisation, a.path, a.run)) })
			}
		}
		work.Wait()
		_ = x.Drain(t.Context()) // work that is not preemptible runs on
	})
	return seen
}

const slots, guaranteed = 10, 5 // of the service

func guaranteedService() decoder.Service {
	s := service(
		decoder.Route{Path: "/proof", Class: "short", Deadline: time.Minute, DeclaredRun: short},
		decoder.Route{Path: "/print", Class: "short", Deadline: time.Minute, DeclaredRun: short, NonIdempotent: true},
		decoder.Route{Path: "/rebuild", Class: "long", Deadline: time.Minute, DeclaredRun: 10 * time.Second},
	)
	s.Share = 100 * guaranteed / slots
	return s
}

// A slow request of the owner has a hedge in a slot of the guaranteed share when other
// requests of the owner need that slot; the hedge is preempted for them.
func TestWaitingRequestsPreemptHedges(t *testing.T) {
	is := is.New(t)
	s := guaranteedService()
	s.RetryPercent = 100
	for _, o := range runBatches(t, snapshot(s, executors(1, slots)), []requestBatch{
		{count: 1, organisation: "etiquetar", path: "/proof", run: 3 * time.Second},
		{pause: 300 * time.Millisecond, count: 20, organisation: "morfa", path: "/proof", run: 3 * time.Second},
		{pause: time.Millisecond, count: 4, organisation: "etiquetar", path: "/print", run: 3 * time.Second},
	}) {
		is.True(o.Organisation == "morfa" || (o.Code == "" && o.Wait <= time.Second))
	}
}

// An owner with at most as many requests as guaranteed slots waits no longer than the
// run time limit of short work, whatever borrowers run. Requests of the owner are never
// preempted, and non-idempotent requests are sent once.
func TestGuaranteedShareIsReclaimed(t *testing.T) {
	s := guaranteedService()
	preempted := 0
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(r)
		s.RetryPercent = rapid.SampledFrom([]int{0, 100}).Draw(r, "retry-percent") // with and without hedges
		count := rapid.SampledFrom([]int{1, 2, 5}).Draw(r, "executors")
		for _, o := range runBatches(t, snapshot(s, executors(count, slots/count)), drawBatches(r, slots, guaranteed)) {
			is.True(o.Organisation == "morfa" || (o.Code == "" && o.Wait <= time.Second))
			if s.RetryPercent > 0 && o.Route != "/print" {
				continue
			}
			preempted += max(o.Attempts-1, 0)
			is.True(o.Attempts <= 1 || (o.Route == "/proof" && o.Organisation == "morfa"))
			is.True(o.Attempts <= 2) // preempted at most once
		}
	})
	is.New(t).True(preempted > 0)
}
