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

var errSilent = errors.New("no answer")

// store is a way to the store that fails with an error, or has one record.
type store struct {
	err   error
	calls int
}

func (s *store) access() accessor.Access {
	return accessor.Access{
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

// pair returns a relayer that knows one other VM, and the ways of both.
func pair(t *testing.T) (*relayer.Relayer, *store, *store) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	own, other := &store{}, &store{}
	none := func() []string { return nil }
	changed := func(bool) {}
	far := &relayer.Relayer{Direct: other.access(), Peers: none, Changed: changed, Now: func() time.Time { return now }}
	server := httptest.NewServer(far.Handler())
	t.Cleanup(server.Close)
	near := &relayer.Relayer{
		Direct: own.access(),
		Peer: func(string) accessor.Access {
			return relayer.PeerAccess(server.Client(), server.Listener.Addr().String())
		},
		Peers: func() []string { return []string{"other"} }, Changed: changed, Now: func() time.Time { return now },
	}
	return near, own, other
}

func TestStoreIsReachedThroughAnotherVM(t *testing.T) {
	for _, failure := range []error{accessor.ErrNotDone, errSilent} {
		is := is.New(t)
		r, own, other := pair(t)
		own.err = failure
		offset, err := r.Access().Append(t.Context(), accessor.Append{Topic: "t", At: accessor.Anywhere})
		is.NoErr(err)
		is.Equal(offset, int64(7))
		records, end, err := r.Access().Read(t.Context(), "t", 3, 0)
		is.NoErr(err)
		is.Equal(end, int64(4))
		is.Equal(records, []accessor.Record{{Offset: 3, Key: "k", Value: []byte("v")}})
		is.Equal(other.calls, 2)
		is.Equal(own.calls, 1) // the direct way rests after it failed
	}
}

func TestAnswersOfTheStoreAreNotAskedForAgain(t *testing.T) {
	for _, failure := range []error{accessor.ErrMoved, accessor.ErrFenced, accessor.ErrTrimmed, &accessor.SequenceError{Expected: 9}} {
		is := is.New(t)
		r, own, other := pair(t)
		own.err = failure
		_, err := r.Access().Append(t.Context(), accessor.Append{})
		is.True(errors.Is(err, failure))
		is.Equal(other.calls, 0)
	}
}

func TestAnswersOfTheStoreComeThroughAnotherVM(t *testing.T) {
	is := is.New(t)
	r, own, other := pair(t)
	own.err = accessor.ErrNotDone
	for _, failure := range []error{accessor.ErrMoved, accessor.ErrFenced, accessor.ErrTrimmed} {
		other.err = failure
		_, err := r.Access().Append(t.Context(), accessor.Append{})
		is.True(errors.Is(err, failure))
	}
	other.err = &accessor.SequenceError{Expected: 9}
	_, err := r.Access().Append(t.Context(), accessor.Append{})
	var s *accessor.SequenceError
	is.True(errors.As(err, &s))
	is.Equal(s.Expected, int64(9))
}

// A refusal says that nothing was done; that is true only when no try can have been.
func TestOneUncertainTryLeavesTheCallUncertain(t *testing.T) {
	is := is.New(t)
	r, own, other := pair(t)
	own.err, other.err = errSilent, accessor.ErrNotDone
	_, err := r.Access().Append(t.Context(), accessor.Append{})
	is.True(!errors.Is(err, accessor.ErrNotDone))

	r, own, other = pair(t)
	own.err, other.err = accessor.ErrNotDone, errSilent
	_, err = r.Access().Append(t.Context(), accessor.Append{})
	is.True(!errors.Is(err, accessor.ErrNotDone))

	r, own, other = pair(t)
	own.err, other.err = accessor.ErrNotDone, accessor.ErrNotDone
	_, err = r.Access().Append(t.Context(), accessor.Append{})
	is.True(errors.Is(err, accessor.ErrNotDone))
}

func TestRouteRestsWhatFailed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	var r relayer.Route
	peers := []string{"a", "b", "c"}
	is.Equal(r.Order(now, peers)[0], relayer.Direct)
	r.Note(now, relayer.Direct, false)
	order := r.Order(now, peers)
	is.Equal(len(order), 2) // two peers, and not the direct way
	is.True(!r.Probe(now))
	for _, p := range peers {
		r.Note(now, p, false)
	}
	is.Equal(len(r.Order(now, peers)), 0) // nobody can help
	later := now.Add(time.Second)
	is.True(r.Probe(later))
	r.Note(later, relayer.Direct, true)
	is.True(!r.Suspect())
}

// A peer that is gone for good stays on the list of VMs.
func TestPeerThatIsNotReachedRestsLongerEachTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	var r relayer.Route
	r.Note(now, relayer.Direct, false)
	for _, seconds := range []int{3, 6, 12, 24, 48, 48} {
		rests := time.Duration(seconds) * time.Second
		r.Miss(now, "a")
		is.Equal(len(r.Order(now.Add(rests-1), []string{"a"})), 0)
		now = now.Add(rests)
		is.Equal(len(r.Order(now, []string{"a"})), 1)
	}
	r.Note(now, "a", true)
	r.Miss(now, "a")
	is.Equal(len(r.Order(now.Add(3*time.Second), []string{"a"})), 1)
}

// A VM that is gone is asked while the store comes back.
func TestDirectWayIsTriedOnceItIsRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var up atomic.Bool
		answer := func() error {
			if up.Load() {
				return nil
			}
			return accessor.ErrNotDone
		}
		r := &relayer.Relayer{
			Direct: accessor.Access{
				Append: func(context.Context, accessor.Append) (int64, error) { return 0, answer() },
				Read: func(context.Context, string, int64, time.Duration) ([]accessor.Record, int64, error) {
					return nil, 0, answer()
				},
			},
			Peer: func(string) accessor.Access {
				return accessor.Access{Append: func(context.Context, accessor.Append) (int64, error) {
					time.Sleep(time.Second)
					return 0, accessor.ErrNotDone
				}}
			},
			Peers: func() []string { return []string{"gone"} }, Changed: func(bool) {}, Now: time.Now,
		}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { r.Probe(ctx, "t") })
		_, err := r.Access().Append(ctx, accessor.Append{})
		is.True(errors.Is(err, accessor.ErrNotDone))
		time.Sleep(2 * time.Second) // the peer may be asked again
		up.Store(true)
		_, err = r.Access().Append(ctx, accessor.Append{})
		is.NoErr(err)
		cancel()
		g.Wait()
	})
}

// While no way works, a call is refused for certain and without a try that would
// leave it uncertain.
func TestCallIsNotTriedWhileNoWayWorks(t *testing.T) {
	is := is.New(t)
	r, own, other := pair(t)
	own.err, other.err = errSilent, accessor.ErrNotDone
	_, err := r.Access().Append(t.Context(), accessor.Append{})
	is.True(!errors.Is(err, accessor.ErrNotDone)) // the first one was sent
	calls := own.calls
	_, err = r.Access().Append(t.Context(), accessor.Append{})
	is.True(errors.Is(err, accessor.ErrNotDone))
	is.Equal(own.calls, calls)
}

func TestVMThatIsNotReachedHasDoneNothing(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	server.Close()
	_, err := relayer.PeerAccess(server.Client(), address).Append(t.Context(), accessor.Append{})
	is.True(errors.Is(err, accessor.ErrNotDone))
}
