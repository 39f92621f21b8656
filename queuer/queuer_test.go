package queuer_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/queuer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against lost and duplicate requests: each accepted request leaves the
// queue once, as next, evicted or removed. The queue never exceeds its limit, and
// requests with the same organisation, class and deadline leave in arrival order.
func TestQueueReturnsEachAcceptedRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		q := queuer.Queue{Limit: rapid.IntRange(1, 8).Draw(t, "limit")}
		capacity := queuer.Capacity{Slots: 4, LongSlots: 3, Owner: "a", Guaranteed: 2}
		now := time.Unix(1_700_000_000, 0)
		var waiting []*queuer.Item // in the order of enqueueing
		removeWaiting := func(i *queuer.Item) int {
			n := slices.Index(waiting, i)
			is.True(n >= 0)
			waiting = slices.Delete(waiting, n, n+1)
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				i := &queuer.Item{
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), Weight: 1,
					Long: rapid.Bool().Draw(t, "long"), Estimate: 10 * time.Millisecond, Deadline: now.Add(time.Second),
				}
				v, _, evicted := q.Enqueue(now, i, capacity)
				if evicted != nil {
					is.Equal(v, queuer.Accepted)
					removeWaiting(evicted)
				}
				if v == queuer.Accepted {
					waiting = append(waiting, i)
				}
			},
			"next": func(*rapid.T) {
				i := q.Next(func(*queuer.Item) bool { return true }, func(string) float64 { return 0 })
				is.Equal(i == nil, len(waiting) == 0)
				if i == nil {
					return
				}
				for _, o := range waiting[:removeWaiting(i)] { // enqueued before
					is.True(o.Organisation != i.Organisation || o.Long != i.Long || !o.Deadline.Equal(i.Deadline))
				}
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				i := rapid.SampledFrom(waiting).Draw(t, "waiting")
				is.True(q.Remove(i))
				is.True(!q.Remove(i))
				removeWaiting(i)
			},
			"later": func(*rapid.T) { now = now.Add(time.Millisecond) },
			"":      func(*rapid.T) { is.Equal(q.Len(), len(waiting)); is.True(q.Len() <= q.Limit) },
		})
	})
}
