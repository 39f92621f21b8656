package router_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// An executor that fails at once, or never answers, does not draw the work of
// those that are busy; when it is well again it gets its part.
func TestExecutorThatFailsEverythingIsLeftOut(t *testing.T) {
	for name, c := range map[string]struct {
		set  func(f *fleet, bad bool)
		most int // requests that may be lost to it
	}{
		"unreachable": {func(f *fleet, bad bool) { f.down["e03"] = bad }, 20},
		"failing":     {func(f *fleet, bad bool) { f.failing["e03"] = bad }, 20},
		"silent":      {func(f *fleet, bad bool) { f.silent["e03"] = bad }, 8}, // each takes 2 s
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(8)
				r := newRouter(f, snapshot(service(), executors(10, 2)))
				drive := func(requests int) (unanswered, atBad int) {
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
						time.Sleep(6 * time.Millisecond) // 17 of 20 slots are busy
					}
					w.Wait()
					for _, id := range f.sent {
						if id == "e03" {
							atBad++
						}
					}
					return unanswered, atBad
				}
				c.set(f, true)
				unanswered, atBad := drive(2000) // 12 s
				t.Log(unanswered, atBad)
				is.True(unanswered <= c.most)
				is.True(atBad <= c.most)
				c.set(f, false)
				drive(3000) // 18 s, by then it was tried again
				unanswered, atBad = drive(1000)
				is.Equal(unanswered, 0)
				is.True(atBad >= 80) // a tenth is 100
			})
		})
	}
}
