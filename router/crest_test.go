package router_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/router"
)

const (
	fleetSlots    = 8
	shortMean     = 100 * time.Millisecond
	shortDeadline = time.Second
	longRun       = 3 * time.Second
	crestSpan     = 2 * time.Second
)

// size is a number of entry VMs before a number of executors.
type size struct {
	vms, executors int
}

var (
	today = size{8, 50}
	small = size{2, 12}
)

// world is entry VMs that take requests by do, each with state of its own.
type world struct {
	size

	fleet *fleet
	do    func(vm int, q router.Request) error
	seed  uint64

	mu       sync.Mutex
	answered int // short ones, in time
	offered  int
	times    []time.Duration // from arrival to answer, of short ones answered
	waits    []time.Duration // from arrival to the slot, of the same
	work     sync.WaitGroup
}

// stragglers is the part of short requests that run 20 times as long.
func (w *world) load(factor float64, span time.Duration, stragglers float64) {
	r := rand.New(rand.NewPCG(w.seed, 7))
	slots := w.executors * fleetSlots
	rate := factor * 0.72 * float64(slots) / shortMean.Seconds() // short work fills 72 % of the slots at factor 1
	start := time.Now()
	longs := time.Duration(0)
	for at := time.Duration(0); at < span; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(at)))
		for longs < at { // long work offered: twice its part of the slots
			longs += longRun / time.Duration(slots*2/5)
			q := request("etiquetar", "/rebuild", longRun)
			vm := r.IntN(w.vms)
			w.work.Go(func() { _ = w.do(vm, q) })
		}
		run := shortMean/2 + time.Duration(r.Int64N(int64(shortMean)))
		if r.Float64() < stragglers {
			run *= 20
		}
		q := request("morfa", "/proof", run)
		vm := r.IntN(w.vms)
		w.work.Go(func() { w.one(vm, q) })
	}
	w.work.Wait()
}

func (w *world) one(vm int, q router.Request) {
	start := time.Now()
	err := w.do(vm, q)
	took := time.Since(start)
	run, _ := time.ParseDuration(q.Query)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.offered++
	if err != nil || took > shortDeadline {
		return
	}
	w.answered++
	w.times = append(w.times, took)
	w.waits = append(w.waits, max(took-run, 0))
}

func (w *world) quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[int(q*float64(len(d)-1))].Round(100 * time.Microsecond)
}

func (w *world) String() string {
	return fmt.Sprintf("offered %6d  in time %5.1f %%  per second %5.0f  wait p50 %v p99 %v  attempts per request %.2f  refused by executors %d",
		w.offered, 100*float64(w.answered)/float64(w.offered), float64(w.answered)/crestSpan.Seconds(),
		w.quantile(w.waits, 0.5), w.quantile(w.waits, 0.99),
		float64(w.fleet.attempts())/float64(w.offered), w.fleet.refused)
}

// ours is the routers of 8 entry VMs. Without ownership each VM may use all
// slots of every executor, and learns of a full one from its refusal.
func ours(z size, own bool, set func(r *router.Router)) *world {
	w := &world{size: z, fleet: newFleet(fleetSlots), seed: 1}
	s := service(
		decoder.Route{Path: "/proof", Class: "short", Deadline: shortDeadline, DeclaredRun: shortMean * 3 / 2},
		decoder.Route{Path: "/rebuild", Class: "long", Deadline: time.Minute, DeclaredRun: longRun},
	)
	w.route(s, own, set)
	return w
}

// route takes requests to a service by the routers of the entry VMs.
func (w *world) route(s decoder.Service, own bool, set func(r *router.Router)) {
	z := w.size
	vms := make([]string, z.vms)
	for i := range vms {
		vms[i] = fmt.Sprintf("vm%d", i)
	}
	routers := make([]*router.Router, z.vms)
	for i, vm := range vms {
		x := executors(z.executors, fleetSlots)
		for j := range x {
			if own {
				x[j].Slots = limiter.Own(vms, vm, x[j].ID, fleetSlots)
			}
		}
		routers[i] = newRouter(w.fleet, snapshot(s, x))
		if set != nil {
			set(routers[i])
		}
	}
	w.do = func(vm int, q router.Request) error {
		_, err := routers[vm].Do(context.Background(), q)
		return err
	}
}

// baseline is what callers would have without us: first come, first served at
// an executor chosen by pick, and up to two blind retries of what fails.
func baseline(z size, pick func(n int, f *fleet, r *rand.Rand) int) *world {
	w := &world{size: z, fleet: newFleet(fleetSlots), seed: 1}
	queues := make([]chan struct{}, z.executors)
	for i := range queues {
		queues[i] = make(chan struct{}, fleetSlots)
	}
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(3, 4))
	x := executors(z.executors, fleetSlots)
	w.do = func(_ int, q router.Request) error {
		deadline := shortDeadline
		if q.Path == "/rebuild" {
			deadline = time.Minute
		}
		for range 3 {
			mu.Lock()
			i := pick(z.executors, w.fleet, r)
			mu.Unlock()
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			err := queued(ctx, w.fleet, queues[i], x[i], q)
			cancel()
			if err == nil {
				return nil
			}
		}
		return errors.New("gave up")
	}
	return w
}

// queued waits at an executor for a slot and runs the request.
func queued(ctx context.Context, f *fleet, queue chan struct{}, x router.Executor, q router.Request) error {
	select {
	case queue <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-queue }()
	_, err := f.send(ctx, x, q)
	return err
}

func random(n int, _ *fleet, r *rand.Rand) int { return r.IntN(n) }

func twoChoices(n int, f *fleet, r *rand.Rand) int {
	a, b := r.IntN(n), r.IntN(n)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[fmt.Sprintf("e%02d", a)] > f.busy[fmt.Sprintf("e%02d", b)] {
		return b
	}
	return a
}

// strategies are the ways of choosing an executor that are compared.
var strategies = []struct {
	name string
	open func(z size) *world
}{
	{"owned-slots", func(z size) *world { return ours(z, true, nil) }},
	{"no-coordination", func(z size) *world { return ours(z, false, nil) }},
	{"first-come-random", func(z size) *world { return baseline(z, random) }},
	{"first-come-two-choices", func(z size) *world { return baseline(z, twoChoices) }},
}

// run loads a world in virtual time.
func run(t *testing.T, open func() *world, factor, stragglers float64) *world {
	t.Helper()
	var w *world
	synctest.Test(t, func(*testing.T) {
		w = open()
		w.load(factor, crestSpan, stragglers)
	})
	return w
}

// TestCrest compares service at the crest of a swing.
func TestCrest(t *testing.T) {
	is := is.New(t)
	for _, stragglers := range []float64{0, 0.02} {
		owned := run(t, func() *world { return ours(small, true, nil) }, 10, stragglers)
		fifo := run(t, func() *world { return baseline(small, random) }, 10, stragglers)
		t.Logf("stragglers %v\nours     %v\nbaseline %v", stragglers, owned, fifo)
		is.True(2*owned.answered > 3*fifo.answered)
		is.Equal(owned.fleet.refused, 0) // never more than owned
		is.True(owned.quantile(owned.waits, 0.99) < fifo.quantile(fifo.waits, 0.99))
	}
}

// TestGoodput checks that what is answered in time at ten times the load is not
// less than at the load that just fits.
func TestGoodput(t *testing.T) {
	is := is.New(t)
	fits := run(t, func() *world { return ours(small, true, nil) }, 1, 0)
	crest := run(t, func() *world { return ours(small, true, nil) }, 10, 0)
	t.Logf("\nfits  %v\ncrest %v", fits, crest)
	is.True(float64(crest.answered) >= 0.95*float64(fits.answered))
}

// TestMeasure prints the figures of docs/MEASURES-TRAFFIC.md at the size of
// today.
func TestMeasure(t *testing.T) {
	if os.Getenv("LACEWINGDOOR_MEASURE") == "" {
		t.Skip("set LACEWINGDOOR_MEASURE to measure")
	}
	for _, s := range strategies {
		t.Run(s.name, func(t *testing.T) {
			for _, factor := range []float64{0.5, 1, 2, 5, 10} {
				for _, stragglers := range []float64{0, 0.02} {
					w := run(t, func() *world { return s.open(today) }, factor, stragglers)
					fmt.Printf("%-22s load %4.1f stragglers %.0f %%  %v\n", s.name, factor, 100*stragglers, w)
				}
			}
		})
	}
}
