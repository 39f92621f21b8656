package router_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/router"
)

// For 30 s a stale list names two executors that are down and one that is leaving, and
// lacks a new one. Every request is still answered, non-idempotent ones included. The
// leaving executor gets one attempt; those that are down get three, and one after each
// exclusion. Once the list is current, the new executor gets requests.
func TestStaleExecutorList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		stale, correct := executors(6, 8), executors(7, 8)[3:]
		current := snapshot(service(), stale)
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
		send(10 * time.Second) // fills the retry budget
		f.unreachable["e00"], f.unreachable["e01"], f.leaving["e02"] = true, true, true
		sent := send(29 * time.Second)
		is.Equal(sent["e02"], 1)
		is.True(sent["e00"]+sent["e01"] <= 2*(3+4)) // exclusions of 1, 2, 4, 8 and 16 s
		current = snapshot(service(), correct)
		r.Refresh()
		sent = send(time.Second)
		is.Equal(sent["e00"]+sent["e01"]+sent["e02"], 0)
		is.True(sent["e06"] > 0)
	})
}
