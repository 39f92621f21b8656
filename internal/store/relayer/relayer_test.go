package relayer_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/relayer"
)

var errNoAnswer = errors.New("no answer")

// fakeStore is a store that holds one record, or fails every call with err.
type fakeStore struct {
	err   error
	calls int
}

func (s *fakeStore) client() accessor.Client {
	return accessor.Client{
		Append: func(context.Context, accessor.Append) (int64, error) {
			s.calls++
			return 7, s.err
		},
		Read: func(context.Context, string, int64, time.Duration) ([]accessor.Record, int64, error) {
			s.calls++
			if s.err != nil {
				return nil, 0, s.err
			}
			return []accessor.Record{{Offset: 3, Key: "k", Value: []byte("v")}}, 4, nil
		},
		Newest: func(context.Context, string) ([]accessor.Record, int64, error) {
			s.calls++
			if s.err != nil {
				return nil, 0, s.err
			}
			return []accessor.Record{{Offset: 3, Key: "k", Value: []byte("v")}}, 4, nil
		},
	}
}

// newRelayerPair returns a relayer with one peer, its own store and that of the peer.
func newRelayerPair(t *testing.T) (*relayer.Relayer, *fakeStore, *fakeStore) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	own, other := &fakeStore{}, &fakeStore{}
	noPeers := func() []string { return nil }
	changed := func(string, bool) {}
	remote := &relayer.Relayer{Direct: other.client(), Peers: noPeers, DirectChanged: changed, Now: func() time.Time { return now }}
	server := httptest.NewServer(remote.Handler())
	t.Cleanup(server.Close)
	local := &relayer.Relayer{
		Direct: own.client(),
		Peer: func(string) accessor.Client {
			return relayer.PeerClient(server.Client(), server.Listener.Addr().String())
		},
		Peers: func() []string { return []string{"other"} }, DirectChanged: changed, Now: func() time.Time { return now },
	}
	return local, own, other
}

// Guards against a store that stays unavailable to this VM although a peer can reach it,
// after a rejection or a missing response.
func TestFailedDirectCallGoesThroughPeer(t *testing.T) {
	for _, failure := range []error{accessor.ErrNotDone, errNoAnswer} {
		is := is.New(t)
		r, own, other := newRelayerPair(t)
		own.err = failure
		offset, err := r.StoreClient().Append(t.Context(), accessor.Append{Topic: "t", ExpectedEnd: accessor.AnyOffset})
		is.NoErr(err)
		is.Equal(offset, int64(7))
		records, end, err := r.StoreClient().Read(t.Context(), "t", 3, 0)
		is.NoErr(err)
		is.Equal(end, int64(4))
		is.Equal(records, []accessor.Record{{Offset: 3, Key: "k", Value: []byte("v")}})
		is.Equal(other.calls, 2)
		is.Equal(own.calls, 1) // the direct route is not tried again after it failed
	}
}

// Guards against calls that the store has handled and that are made again through a peer.
func TestStoreErrorsAreNotRetriedThroughPeer(t *testing.T) {
	for _, failure := range []error{accessor.ErrOffsetMismatch, accessor.ErrFenced, accessor.ErrTrimmed, &accessor.SequenceError{Expected: 9}} {
		is := is.New(t)
		r, own, other := newRelayerPair(t)
		own.err = failure
		_, err := r.StoreClient().Append(t.Context(), accessor.Append{})
		is.True(errors.Is(err, failure))
		is.Equal(other.calls, 0)
	}
}

// Guards against errors of the store that lose their type or data between two VMs.
func TestPeerPassesStoreErrorsOn(t *testing.T) {
	is := is.New(t)
	r, own, other := newRelayerPair(t)
	own.err = accessor.ErrNotDone
	for _, failure := range []error{accessor.ErrOffsetMismatch, accessor.ErrFenced, accessor.ErrTrimmed} {
		other.err = failure
		_, err := r.StoreClient().Append(t.Context(), accessor.Append{})
		is.True(errors.Is(err, failure))
	}
	other.err = &accessor.SequenceError{Expected: 9}
	_, err := r.StoreClient().Append(t.Context(), accessor.Append{})
	var s *accessor.SequenceError
	is.True(errors.As(err, &s))
	is.Equal(s.Expected, int64(9))
}

// Guards against ErrNotDone for a call of which one attempt may have been carried out.
func TestOneUncertainAttemptMakesTheCallUncertain(t *testing.T) {
	is := is.New(t)
	r, own, other := newRelayerPair(t)
	own.err, other.err = errNoAnswer, accessor.ErrNotDone
	_, err := r.StoreClient().Append(t.Context(), accessor.Append{})
	is.True(!errors.Is(err, accessor.ErrNotDone))

	r, own, other = newRelayerPair(t)
	own.err, other.err = accessor.ErrNotDone, errNoAnswer
	_, err = r.StoreClient().Append(t.Context(), accessor.Append{})
	is.True(!errors.Is(err, accessor.ErrNotDone))

	r, own, other = newRelayerPair(t)
	own.err, other.err = accessor.ErrNotDone, accessor.ErrNotDone
	_, err = r.StoreClient().Append(t.Context(), accessor.Append{})
	is.True(errors.Is(err, accessor.ErrNotDone))
}

// Guards against a submission that is reported as refused although its first attempt may have
// been carried out: a later one was rejected on a route that answers other calls.
func TestAnswersOfOtherCallsDoNotMakeAnUncertainCallCertain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	tick := func() time.Time { now = now.Add(time.Millisecond); return now }
	var r *relayer.Relayer
	nested := false
	fail := func(direct bool) func(context.Context, accessor.Append) (int64, error) {
		return func(ctx context.Context, a accessor.Append) (int64, error) {
			if a.Topic == "other" {
				return 1, nil
			}
			if direct {
				return 0, errNoAnswer
			}
			nested = true
			_, err := r.StoreClient().Append(ctx, accessor.Append{Topic: "other"}) // through the same peer
			is.NoErr(err)
			return 0, accessor.ErrNotDone
		}
	}
	r = &relayer.Relayer{
		Direct: accessor.Client{Append: fail(true)}, Peer: func(string) accessor.Client { return accessor.Client{Append: fail(false)} },
		Peers: func() []string { return []string{"peer"} }, DirectChanged: func(string, bool) {}, Now: tick,
	}
	_, err := r.StoreClient().Append(t.Context(), accessor.Append{Topic: "jobs"})
	is.True(nested)
	is.True(errors.Is(err, errNoAnswer))
	is.True(!errors.Is(err, accessor.ErrNotDone))
}

// Guards against calls on routes that have just failed, and a direct route that is never
// probed or used again.
func TestFailedRoutesAreSkipped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	var r relayer.RouteSelector
	peers := []string{"a", "b", "c"}
	is.Equal(r.Candidates(now, peers)[0], relayer.Direct)
	r.RecordResult(now, relayer.Direct, false)
	order := r.Candidates(now, peers)
	is.Equal(len(order), 2) // two peers without the direct route
	is.True(!r.ProbeDue(now))
	for _, p := range peers {
		r.RecordResult(now, p, false)
	}
	is.Equal(len(r.Candidates(now, peers)), 0) // no route is left
	later := now.Add(time.Second)
	is.True(r.ProbeDue(later))
	r.RecordResult(later, relayer.Direct, true)
	is.True(!r.DirectFailed())
}

// Guards against frequent attempts on a peer that is gone for good but stays on the list of
// VMs: each one delays a caller.
func TestRetryDelayOfUnreachablePeerDoubles(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	var r relayer.RouteSelector
	r.RecordResult(now, relayer.Direct, false)
	for _, seconds := range []int{3, 6, 12, 24, 48, 48} {
		delay := time.Duration(seconds) * time.Second
		r.RecordUnreachable(now, "a")
		is.Equal(len(r.Candidates(now.Add(delay-1), []string{"a"})), 0)
		now = now.Add(delay)
		is.Equal(len(r.Candidates(now, []string{"a"})), 1)
	}
	r.RecordResult(now, "a", true)
	r.RecordUnreachable(now, "a")
	is.Equal(len(r.Candidates(now.Add(3*time.Second), []string{"a"})), 1)
}

// Guards against a call that fails although the direct route recovers while the call waits
// for an unavailable peer.
func TestDirectRouteIsTriedWhenItRecoversDuringACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var up atomic.Bool
		result := func() error {
			if up.Load() {
				return nil
			}
			return accessor.ErrNotDone
		}
		r := &relayer.Relayer{
			Direct: accessor.Client{
				Append: func(context.Context, accessor.Append) (int64, error) { return 0, result() },
				Read: func(context.Context, string, int64, time.Duration) ([]accessor.Record, int64, error) {
					return nil, 0, result()
				},
			},
			Peer: func(string) accessor.Client {
				return accessor.Client{Append: func(context.Context, accessor.Append) (int64, error) {
					time.Sleep(time.Second)
					return 0, accessor.ErrNotDone
				}}
			},
			Peers: func() []string { return []string{"gone"} }, DirectChanged: func(string, bool) {}, Now: time.Now,
		}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { r.Probe(ctx) })
		_, err := r.StoreClient().Append(ctx, accessor.Append{})
		is.True(errors.Is(err, accessor.ErrNotDone))
		time.Sleep(2 * time.Second) // until the peer may be tried again
		up.Store(true)
		_, err = r.StoreClient().Append(ctx, accessor.Append{})
		is.NoErr(err)
		cancel()
		g.Wait()
	})
}

// Guards against calls that are sent while no route works: their outcome would be
// uncertain, where an immediate ErrNotDone is certain.
func TestCallIsNotSentWhileNoRouteWorks(t *testing.T) {
	is := is.New(t)
	r, own, other := newRelayerPair(t)
	own.err, other.err = errNoAnswer, accessor.ErrNotDone
	_, err := r.StoreClient().Append(t.Context(), accessor.Append{})
	is.True(!errors.Is(err, accessor.ErrNotDone)) // the first call was sent
	calls := own.calls
	_, err = r.StoreClient().Append(t.Context(), accessor.Append{})
	is.True(errors.Is(err, accessor.ErrNotDone))
	is.Equal(own.calls, calls)
}

// Guards against an uncertain outcome when the connection to a peer fails: nothing was sent.
func TestCallToUnreachablePeerIsNotDone(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	server.Close()
	_, err := relayer.PeerClient(server.Client(), address).Append(t.Context(), accessor.Append{})
	is.True(errors.Is(err, accessor.ErrNotDone))
}
