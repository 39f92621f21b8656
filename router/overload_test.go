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
	loadSpan      = 2 * time.Second
)

// size is the number of entry VMs and of executors.
type size struct {
	vms, executors int
}

var (
	fullSize  = size{8, 50}
	smallSize = size{2, 12}
)

// simulation is a number of entry VMs, each with its own state, that send requests
// through do.
type simulation struct {
	size

	fleet *fleet
	do    func(vm int, q router.Request) error
	seed  uint64

	mu        sync.Mutex
	answered  int             // short requests answered in time
	offered   int             // short requests sent
	latencies []time.Duration // from arrival to answer, of short requests answered in time
	waits     []time.Duration // from arrival to the slot, of the same requests
	work      sync.WaitGroup
}

// load offers factor times the capacity for span. The part stragglers of the short
// requests runs 20 times as long.
func (w *simulation) load(factor float64, span time.Duration, stragglers float64) {
	r := rand.New(rand.NewPCG(w.seed, 7))
	slots := w.executors * fleetSlots
	rate := factor * 0.72 * float64(slots) / shortMean.Seconds() // short work fills 72 % of the slots at factor 1
	start := time.Now()
	longs := time.Duration(0)
	for at := time.Duration(0); at < span; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(at)))
		for longs < at { // long work is offered at twice its part of the slots
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
		w.work.Go(func() { w.doShort(vm, q) })
	}
	w.work.Wait()
}

func (w *simulation) doShort(vm int, q router.Request) {
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
	w.latencies = append(w.latencies, took)
	w.waits = append(w.waits, max(took-run, 0))
}

func (w *simulation) quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[int(q*float64(len(d)-1))].Round(100 * time.Microsecond)
}

func (w *simulation) String() string {
	return fmt.Sprintf("offered %6d  in time %5.1f %%  per second %5.0f  wait p50 %v p99 %v  attempts per request %.2f  refused by executors %d",
		w.offered, 100*float64(w.answered)/float64(w.offered), float64(w.answered)/loadSpan.Seconds(),
		w.quantile(w.waits, 0.5), w.quantile(w.waits, 0.99),
		float64(w.fleet.attempts())/float64(w.offered), w.fleet.refused)
}

// newSimulation returns a simulation with a router for each entry VM, 8 at full size.
// Without ownSlots each VM may use all slots of every executor, and learns that one is
// full from its refusal.
func newSimulation(z size, ownSlots bool, set func(r *router.Router)) *simulation {
	w := &simulation{size: z, fleet: newFleet(fleetSlots), seed: 1}
	s := service(
		decoder.Route{Path: "/proof", Class: "short", Deadline: shortDeadline, DeclaredRun: shortMean * 3 / 2},
		decoder.Route{Path: "/rebuild", Class: "long", Deadline: time.Minute, DeclaredRun: longRun},
	)
	w.startRouters(s, ownSlots, set)
	return w
}

// startRouters sets do to send requests through the routers of the entry VMs.
func (w *simulation) startRouters(s decoder.Service, ownSlots bool, set func(r *router.Router)) {
	z := w.size
	vms := make([]string, z.vms)
	for i := range vms {
		vms[i] = fmt.Sprintf("vm%d", i)
	}
	routers := make([]*router.Router, z.vms)
	for i, vm := range vms {
		x := executors(z.executors, fleetSlots)
		for j := range x {
			if ownSlots {
				x[j].Slots = limiter.OwnedSlots(vms, vm, x[j].ID, fleetSlots)
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

// newBaseline returns a simulation without routers: first come, first served at an
// executor chosen by pick, and up to two unconditional retries.
func newBaseline(z size, pick func(n int, f *fleet, r *rand.Rand) int) *simulation {
	w := &simulation{size: z, fleet: newFleet(fleetSlots), seed: 1}
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
			err := sendQueued(ctx, w.fleet, queues[i], x[i], q)
			cancel()
			if err == nil {
				return nil
			}
		}
		return errors.New("all attempts failed")
	}
	return w
}

// sendQueued waits for a slot of an executor and runs the request.
func sendQueued(ctx context.Context, f *fleet, queue chan struct{}, x router.Executor, q router.Request) error {
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

// strategies are the compared ways to choose an executor.
var strategies = []struct {
	name  string
	start func(z size) *simulation
}{
	{"owned-slots", func(z size) *simulation { return newSimulation(z, true, nil) }},
	{"no-coordination", func(z size) *simulation { return newSimulation(z, false, nil) }},
	{"first-come-random", func(z size) *simulation { return newBaseline(z, random) }},
	{"first-come-two-choices", func(z size) *simulation { return newBaseline(z, twoChoices) }},
}

// simulate starts a simulation and runs its load in virtual time.
func simulate(t *testing.T, start func() *simulation, factor, stragglers float64) *simulation {
	t.Helper()
	var w *simulation
	synctest.Test(t, func(*testing.T) {
		w = start()
		w.load(factor, loadSpan, stragglers)
	})
	return w
}

// TestOverload compares owned slots with first come, first served at ten times the
// load that fits.
func TestOverload(t *testing.T) {
	is := is.New(t)
	for _, stragglers := range []float64{0, 0.02} {
		owned := simulate(t, func() *simulation { return newSimulation(smallSize, true, nil) }, 10, stragglers)
		fifo := simulate(t, func() *simulation { return newBaseline(smallSize, random) }, 10, stragglers)
		t.Logf("stragglers %v\nowned slots             %v\nfirst come, first served %v", stragglers, owned, fifo)
		is.True(2*owned.answered > 3*fifo.answered)
		is.Equal(owned.fleet.refused, 0) // no VM uses more slots than it owns
		is.True(owned.quantile(owned.waits, 0.99) < fifo.quantile(fifo.waits, 0.99))
	}
}

// TestGoodputUnderOverload checks that at ten times the load that fits, as many
// requests are answered in time, to within 5 %, as at that load.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	fitting := simulate(t, func() *simulation { return newSimulation(smallSize, true, nil) }, 1, 0)
	overload := simulate(t, func() *simulation { return newSimulation(smallSize, true, nil) }, 10, 0)
	t.Logf("\nfitting  %v\noverload %v", fitting, overload)
	is.True(float64(overload.answered) >= 0.95*float64(fitting.answered))
}

// TestMeasureStrategies prints the figures of docs/MEASURES-TRAFFIC.md at full size.
func TestMeasureStrategies(t *testing.T) {
	if os.Getenv("LACEWINGDOOR_MEASURE") == "" {
		t.Skip("set LACEWINGDOOR_MEASURE to measure")
	}
	for _, s := range strategies {
		t.Run(s.name, func(t *testing.T) {
			for _, factor := range []float64{0.5, 1, 2, 5, 10} {
				for _, stragglers := range []float64{0, 0.02} {
					w := simulate(t, func() *simulation { return s.start(fullSize) }, factor, stragglers)
					fmt.Printf("%-22s load %4.1f stragglers %.0f %%  %v\n", s.name, factor, 100*stragglers, w)
				}
			}
		})
	}
}
