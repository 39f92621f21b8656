package router_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// loadWithLending loads a simulation where half of the slots are guaranteed to the
// owner. Borrowers offer twice the capacity, with the part stragglers of their
// requests running for 10 s; after 5 s the owner uses 40 % of the slots for 2 s. It
// returns how many requests of borrowers were answered before and after that moment.
func (w *simulation) loadWithLending(stragglers float64) (before, after int) {
	r := rand.New(rand.NewPCG(w.seed, 7))
	rate := float64(w.executors*fleetSlots) / shortMean.Seconds()
	start := time.Now()
	const calls, span = 5 * time.Second, 7 * time.Second
	nextOwn := calls
	for at := time.Duration(0); at < span; at += time.Duration(r.ExpFloat64() / (2 * rate) * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(at)))
		run := shortMean/2 + time.Duration(r.Int64N(int64(shortMean)))
		for ; nextOwn < at; nextOwn += time.Duration(r.ExpFloat64() / (0.4 * rate) * float64(time.Second)) {
			q := request("etiquetar", "/proof", run)
			vm := r.IntN(w.vms)
			w.work.Go(func() { w.doShort(vm, q) })
		}
		if r.Float64() < stragglers {
			run = 10 * time.Second
		}
		q := request("morfa", "/proof", run)
		vm := r.IntN(w.vms)
		w.work.Go(func() {
			if w.do(vm, q) != nil {
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if time.Since(start) < calls {
				before++
			} else {
				after++
			}
		})
	}
	w.work.Wait()
	return before, after
}

// TestMeasureGuarantee prints how long an owner waits for its guaranteed share.
func TestMeasureGuarantee(t *testing.T) {
	if os.Getenv("LACEWINGDOOR_MEASURE") == "" {
		t.Skip("set LACEWINGDOOR_MEASURE to measure")
	}
	for _, stragglers := range []float64{0, 0.001, 0.02, 0.1} {
		synctest.Test(t, func(*testing.T) {
			w := &simulation{size: fullSize, fleet: newFleet(fleetSlots), seed: 1}
			s := service(decoder.Route{Path: "/proof", Class: "short", Deadline: 30 * time.Second, DeclaredRun: shortMean * 3 / 2})
			s.Share = 50
			w.startRouters(s, true, nil)
			before, after := w.loadWithLending(stragglers)
			fmt.Printf("stragglers %4.1f %%  owner within %v %5.1f %%  wait p50 %v p99 %v most %v  borrowers answered %d, then %d  attempts %d\n",
				100*stragglers, shortDeadline, 100*float64(w.answered)/float64(w.offered),
				w.quantile(w.waits, 0.5), w.quantile(w.waits, 0.99), w.quantile(w.waits, 1), before, after, w.fleet.attempts())
		})
	}
}
