package router_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// An executor that fails at once has free slots more often than the others and could
// attract most requests. A faulty executor loses few requests; when it has recovered
// it gets its share of the load again.
func TestFailingExecutorIsExcluded(t *testing.T) {
	for name, c := range map[string]struct {
		set     func(f *fleet, faulty bool)
		maxLost int // requests that may fail at the faulty executor
	}{
		"unreachable": {func(f *fleet, faulty bool) { f.unreachable["e03"] = faulty }, 20},
		"failing":     {func(f *fleet, faulty bool) { f.failing["e03"] = faulty }, 20},
		"silent":      {func(f *fleet, faulty bool) { f.hanging["e03"] = faulty }, 8}, // each fails after 2 s
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(8)
				r := newRouter(f, snapshot(service(), executors(10, 2)))
				load := func(requests int) (unanswered, sentToFaulty int) {
					var mu sync.Mutex
					var w sync.WaitGroup
					f.sent = nil
					for range requests {
						w.Go(func() {
							a, err := r.Do(t.Context(), request("etiquetar", "/proof", short))
							mu.Lock()
							defer mu.Unlock()
							if err != nil || a.Status != 200 {
								unanswered++
							}
						})
						time.Sleep(6 * time.Millisecond) // 17 of 20 slots are in use
					}
					w.Wait()
					for _, id := range f.sent {
						if id == "e03" {
							sentToFaulty++
						}
					}
					return unanswered, sentToFaulty
				}
				c.set(f, true)
				unanswered, sentToFaulty := load(2000) // 12 s
				t.Log(unanswered, sentToFaulty)
				is.True(unanswered <= c.maxLost)
				is.True(sentToFaulty <= c.maxLost)
				c.set(f, false)
				load(3000) // 18 s; by then the router has tried it again
				unanswered, sentToFaulty = load(1000)
				is.Equal(unanswered, 0)
				is.True(sentToFaulty >= 80) // an even share is 100
			})
		})
	}
}
