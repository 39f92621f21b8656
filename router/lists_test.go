package router_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/router"
)

// For 30 s the list names two executors that are gone and one that leaves, and
// lacks a new one. Every request is answered, non-idempotent ones included; the
// one that leaves is asked once, those gone three times and once after each bar.
// When the list has caught up, the new one gets work.
func TestListThatLagsAndIsWrong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		listed, right := executors(6, 8), executors(7, 8)[3:]
		current := snapshot(service(), listed)
		r := newRouter(f, current)
		r.Snapshot = func() *router.Snapshot { return current }
		send := func(span time.Duration) map[string]int {
			f.mu.Lock()
			f.sent = nil
			f.mu.Unlock()
			var w sync.WaitGroup
			for start := time.Now(); time.Since(start) < span; time.Sleep(20 * time.Millisecond) {
				for _, path := range []string{"/proof", "/print"} {
					w.Go(func() {
						_, err := r.Do(t.Context(), request("etiquetar", path, short))
						is.NoErr(err)
					})
				}
			}
			w.Wait()
			sent := map[string]int{}
			for _, id := range f.sent {
				sent[id]++
			}
			return sent
		}
		send(10 * time.Second) // earns retries
		f.down["e00"], f.down["e01"], f.leaving["e02"] = true, true, true
		sent := send(29 * time.Second)
		is.Equal(sent["e02"], 1)
		is.True(sent["e00"]+sent["e01"] <= 2*(3+4)) // bars of 1, 2, 4, 8 and 16 s
		current = snapshot(service(), right)
		r.Refresh()
		sent = send(time.Second)
		is.Equal(sent["e00"]+sent["e01"]+sent["e02"], 0)
		is.True(sent["e06"] > 0)
	})
}
