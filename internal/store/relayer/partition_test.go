package relayer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/relayer"
)

// The store may lose some partitions only. A failure of one must not take away the direct route
// to the others, nor to a peer that asks for them.
func TestRoutesOfPartitionsFailSeparately(t *testing.T) {
	is := is.New(t)
	r, own, other := newRelayerPair(t)
	own.err = accessor.ErrNotDone
	_, err := r.StoreClient().Append(t.Context(), accessor.Append{Topic: "t"})
	is.NoErr(err)
	is.Equal(other.calls, 1)
	own.err = nil
	_, err = r.StoreClient().Append(t.Context(), accessor.Append{Topic: accessor.Partition("t", 3)})
	is.NoErr(err)
	is.Equal(other.calls, 1) // the direct route to partition 3 was used
	own.err = accessor.ErrNotDone
	_, err = r.StoreClient().Append(t.Context(), accessor.Append{Topic: accessor.Partition("t", 3)})
	is.NoErr(err)
	is.Equal(other.calls, 2)
}

// Guards against renewals of the leadership that are not sent because another topic fails: the
// store may lose a partition of one topic and serve the partition of the same number of others.
func TestRoutesOfTopicsFailSeparately(t *testing.T) {
	is := is.New(t)
	r, own, other := newRelayerPair(t)
	own.err, other.err = accessor.ErrNotDone, accessor.ErrNotDone
	_, err := r.StoreClient().Append(t.Context(), accessor.Append{Topic: "jobs"})
	is.True(errors.Is(err, accessor.ErrNotDone))
	own.err = nil
	calls := other.calls
	_, err = r.StoreClient().Append(t.Context(), accessor.Append{Topic: "leader"})
	is.NoErr(err)
	is.Equal(other.calls, calls) // the direct route was used
}

// A peer of an older version would use partition 0 for any partition. It must not get such
// calls, and they are certainly not done there.
func TestOlderPeerGetsNoCallsToOtherPartitions(t *testing.T) {
	is := is.New(t)
	served := 0
	m := http.NewServeMux()
	m.HandleFunc("/store/append", func(http.ResponseWriter, *http.Request) { served++ })
	m.HandleFunc("/store/read", func(http.ResponseWriter, *http.Request) { served++ })
	server := httptest.NewServer(m)
	defer server.Close()
	c := relayer.PeerClient(server.Client(), server.Listener.Addr().String())
	_, err := c.Append(t.Context(), accessor.Append{Topic: accessor.Partition("t", 2)})
	is.True(errors.Is(err, accessor.ErrNotDone))
	_, _, err = c.Read(t.Context(), accessor.Partition("t", 2), 0, 0)
	is.True(errors.Is(err, accessor.ErrNotDone))
	is.Equal(served, 0)
}

// The first attempt of an append got no answer, and a peer that answers other calls has certainly
// not carried out the second one. The result of the second alone would have refused a job that
// the store carries out seconds later.
func TestAnswerOfABusyPeerDoesNotMakeAnUncertainCallCertain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	var r *relayer.Relayer
	r = &relayer.Relayer{
		Direct: accessor.Client{Append: func(context.Context, accessor.Append) (int64, error) { return 0, errNoAnswer }},
		Peer: func(string) accessor.Client {
			return accessor.Client{
				Append: func(ctx context.Context, _ accessor.Append) (int64, error) {
					_, _, err := r.StoreClient().Read(ctx, "t", 0, 0) // another call that the peer answers
					is.NoErr(err)
					return 0, accessor.ErrNotDone
				},
				Read: func(context.Context, string, int64, time.Duration) ([]accessor.Record, int64, error) {
					return nil, 0, nil
				},
			}
		},
		Peers:         func() []string { return []string{"peer"} },
		DirectChanged: func(string, bool) {},
		Now: func() time.Time {
			now = now.Add(time.Millisecond)
			return now
		},
	}
	_, err := r.StoreClient().Append(t.Context(), accessor.Append{Topic: "t"})
	is.True(errors.Is(err, errNoAnswer))
	is.True(!errors.Is(err, accessor.ErrNotDone))
}
