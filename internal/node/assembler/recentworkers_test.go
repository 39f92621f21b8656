package assembler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// A worker may run for many seconds after it has announced its shutdown.
func TestExpiredDrainingWorkerIsListedForNewLeader(t *testing.T) {
	is := is.New(t)
	const entry = `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"draining","capacity":{"cpu":1},"labels":["a","r1"],"born":1}`
	all := []accessor.Record{{Key: "i-1", Value: []byte(entry)}, {Offset: 1, Key: "i-1"}}
	log, _ := test.NewNullLogger()
	a := &Assembler{Logger: log, Settings: platform.Settings{Heartbeat: 1500 * time.Millisecond, MachineService: "10.0.0.1:80"}}
	a.store = accessor.Client{
		Read: func(_ context.Context, _ string, from int64, _ time.Duration) ([]accessor.Record, int64, error) {
			return all[from:], int64(len(all)), nil
		},
		Newest: func(context.Context, string) ([]accessor.Record, int64, error) { return nil, int64(len(all)), nil },
	}
	got, err := a.recentWorkers(t.Context())
	is.NoErr(err)
	is.Equal(len(got), 1)
	is.True(got[0].Expired)
}

// If heartbeats do not reach the store, the entries of all workers may expire at once. A
// new leader must still find all workers, whether none, one or all of them have been
// listed again.
func TestExpiredWorkersAreListedForNewLeader(t *testing.T) {
	const workers, heartbeats = 48, 6
	for _, returned := range []int{0, 1, workers} {
		is := is.New(t)
		var all []accessor.Record
		put := func(i int, value string) {
			all = append(all, accessor.Record{Offset: int64(len(all)), Key: fmt.Sprintf("i-%02d", i), Value: []byte(value)})
		}
		const entry = `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":1},"labels":["a","r1"],"born":1}`
		for range 3 * heartbeats {
			for i := range workers {
				put(i, entry)
			}
		}
		for i := range workers {
			put(i, "")
		}
		for i := range returned {
			put(i, entry)
		}
		log, _ := test.NewNullLogger()
		a := &Assembler{Logger: log, Settings: platform.Settings{Heartbeat: 1500 * time.Millisecond}}
		a.store = accessor.Client{
			Read: func(_ context.Context, _ string, from int64, _ time.Duration) ([]accessor.Record, int64, error) {
				return all[from:], int64(len(all)), nil
			},
			Newest: func(context.Context, string) ([]accessor.Record, int64, error) {
				return all[len(all)-returned:], int64(len(all)), nil
			},
		}
		got, err := a.recentWorkers(t.Context())
		is.NoErr(err)
		is.Equal(len(got), workers)
		expired := 0
		for _, l := range got {
			if l.Expired {
				expired++
			}
		}
		is.Equal(expired, workers-returned)
	}
}
